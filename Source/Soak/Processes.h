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

/// A child process, which is signalled and waited for by its process id. It is killed when this
/// object is destroyed or when the parent process ends.
class ChildProcess
{
public:
    /// Standard output and standard error are appended to \a logFile.
    ChildProcess(std::vector<std::string> command, std::string logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Throws std::runtime_error if the process can't be forked. Must be called from the main
    /// thread: the system kills the child when the thread that started it ends.
    void start();
    bool isRunning() const;
    pid_t id() const;
    void signal(int number) const;
    /// Returns how the process ended, once. Returns nothing while it is running.
    std::optional<ExitStatus> poll();

private:
    std::vector<std::string> command;
    std::string logFile;
    pid_t pid = 0;
};

} // namespace Soak
