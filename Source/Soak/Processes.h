#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Soak {

/// How a process ended.
struct ExitStatus
{
    bool isSignalled = false;
    /// Exit code or signal.
    int code = 0;
};

/// A program that is started, signalled and waited for by its id. It never outlives this object,
/// nor the process that started it.
class ChildProcess
{
public:
    /// \a logFile gets what it prints, behind what is there.
    ChildProcess(std::vector<std::string> command, std::string logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Throws std::runtime_error where it can't be started. Called from the main thread: the system
    /// ends the child with the thread that started it.
    void start();
    bool isRunning() const;
    pid_t id() const;
    void signal(int number) const;
    /// Tells once how it ended; nothing while it runs.
    std::optional<ExitStatus> poll();

private:
    std::vector<std::string> command;
    std::string logFile;
    pid_t pid = 0;
};

} // namespace Soak
