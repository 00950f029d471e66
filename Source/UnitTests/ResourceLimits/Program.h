#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "Soak/Processes.h"

namespace ResourceLimits {

/// One of the system's programs, started as a process with a limit on its descriptors.
class Program
{
public:
    struct Start
    {
        /// File name of the program, in the folder of the test program.
        std::string program;
        std::vector<std::string> options;
        /// Lines of the settings file.
        std::vector<std::string> settings;
        /// Folder for the settings and the log.
        std::string directory;
        std::size_t maxDescriptors = 0;
    };

    explicit Program(const Start &start);

    bool isAlive();
    /// Kills the process and waits until it has ended.
    void kill();
    /// Starts the process again after kill(). Its log is continued.
    void start();
    /// Processor time that the process has used.
    double cpuSeconds() const;
    /// Most memory that the process has held at any time.
    std::size_t peakMemoryBytes() const;
    std::size_t openDescriptors() const;
    const std::string &logFile() const { return this->log; }
    /// Whether the process runs, and the last lines of its log.
    std::string describe();

private:
    std::string procFile(const std::string &name) const;

    std::string log;
    std::unique_ptr<Soak::ChildProcess> process;
};

/// A folder under the system's temporary folder, removed on destruction.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::string &path() const { return this->folder; }

private:
    std::string folder;
};

} // namespace ResourceLimits
