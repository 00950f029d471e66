#include "Soak/Processes.h"

#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Soak {

ChildProcess::ChildProcess(std::vector<std::string> command, std::string logFile)
    : command(std::move(command))
    , logFile(std::move(logFile))
{}

ChildProcess::~ChildProcess()
{
    if (this->isRunning()) {
        this->signal(SIGKILL);
        waitpid(this->pid, nullptr, 0);
    }
}

void ChildProcess::start()
{
    std::vector<char *> arguments;
    arguments.reserve(this->command.size() + 1);
    for (std::string &argument : this->command) {
        arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    const pid_t parent = getpid();
    // All signals are blocked until the child has reset its handlers: until then it has this
    // program's handlers, which would swallow a signal.
    sigset_t all;
    sigset_t previousMask;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &previousMask);
    const pid_t child = fork();
    if (child != 0) {
        pthread_sigmask(SIG_SETMASK, &previousMask, nullptr);
    }
    if (child < 0) {
        throw std::runtime_error("can't start " + this->command[0]);
    }
    if (child > 0) {
        this->pid = child;
        return;
    }
    constexpr int CannotRun = 127;
    constexpr int Mode = 0644;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(CannotRun);
    }
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        std::signal(number, SIG_DFL);
    }
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    const int log = open(this->logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, Mode);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    closefrom(STDERR_FILENO + 1);
    execv(arguments[0], arguments.data());
    _exit(CannotRun);
}

bool ChildProcess::isRunning() const
{
    return this->pid != 0;
}

pid_t ChildProcess::id() const
{
    return this->pid;
}

void ChildProcess::signal(int number) const
{
    if (this->isRunning()) {
        kill(this->pid, number);
    }
}

std::optional<ExitStatus> ChildProcess::poll()
{
    int status = 0;
    if (!this->isRunning() || waitpid(this->pid, &status, WNOHANG) != this->pid) {
        return std::nullopt;
    }
    this->pid = 0;
    if (WIFSIGNALED(status)) {
        return ExitStatus{true, WTERMSIG(status)};
    }
    return ExitStatus{false, WEXITSTATUS(status)};
}

} // namespace Soak
