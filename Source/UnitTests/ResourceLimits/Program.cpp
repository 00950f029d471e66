#include "Program.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace ResourceLimits {

namespace {

std::string writeSettings(const Program::Start &start)
{
    std::string path = start.directory + '/' + start.program + ".yaml";
    std::ofstream file(path);
    for (const std::string &line : start.settings) {
        file << line << '\n';
    }
    return path;
}

std::string quoted(const std::string &word)
{
    return '\'' + word + '\'';
}

/// The shell sets the limit and is replaced by the program.
std::vector<std::string> limitedCommand(const Program::Start &start)
{
    const auto folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    std::string command = "ulimit -n " + std::to_string(start.maxDescriptors) + " && exec "
                          + quoted((folder / start.program).string());
    for (const std::string &option : start.options) {
        command += ' ' + option;
    }
    command += " --settings " + quoted(writeSettings(start));
    return {"/bin/sh", "-c", command};
}

} // namespace

Program::Program(const Start &start)
    : log(start.directory + '/' + start.program + ".log")
    , process(std::make_unique<Soak::ChildProcess>(limitedCommand(start), this->log))
{
    this->process->start();
}

bool Program::isAlive()
{
    return this->process->isRunning() && !this->process->poll();
}

void Program::kill()
{
    constexpr std::chrono::milliseconds Pause{10};
    this->process->signal(SIGKILL);
    while (this->process->isRunning() && !this->process->poll()) {
        std::this_thread::sleep_for(Pause);
    }
}

void Program::start()
{
    this->process->start();
}

double Program::cpuSeconds() const
{
    // The fields after the name of the program, which is in parentheses.
    constexpr int FieldsBeforeUserTime = 11;
    std::ifstream file(this->procFile("stat"));
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (int field = 0; field < FieldsBeforeUserTime; ++field) {
        fields >> skipped;
    }
    double userTicks = 0;
    double systemTicks = 0;
    fields >> userTicks >> systemTicks;
    return (userTicks + systemTicks) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::string Program::procFile(const std::string &name) const
{
    return "/proc/" + std::to_string(this->process->id()) + '/' + name;
}

std::size_t Program::peakMemoryBytes() const
{
    constexpr std::size_t BytesPerKib = 1024;
    std::ifstream status(this->procFile("status"));
    for (std::string word; status >> word;) {
        if (word == "VmHWM:") {
            std::size_t kib = 0;
            status >> kib;
            return kib * BytesPerKib;
        }
    }
    return 0;
}

std::size_t Program::openDescriptors() const
{
    std::error_code ended;
    const std::filesystem::directory_iterator files(this->procFile("fd"), ended);
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

std::string Program::describe()
{
    constexpr std::size_t ShownBytes = 4000;
    std::ifstream file(this->log);
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const std::size_t begin = text.size() > ShownBytes ? text.size() - ShownBytes : 0;
    return this->log + (this->isAlive() ? ", running:\n" : ", ended:\n") + text.substr(begin);
}

TemporaryFolder::TemporaryFolder()
{
    std::string pattern =
            (std::filesystem::temp_directory_path() / "auburntrail-limits-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create " + pattern);
    }
    this->folder = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

} // namespace ResourceLimits
