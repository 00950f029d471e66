#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <thread>

#include "Common/Common.h"

namespace {

/// A temporary folder that is removed with this object.
struct Folder
{
    Folder()
    {
        Common::Random random = Common::makeRandom();
        this->path = std::filesystem::temp_directory_path()
                     / ("auburntrail-stop-" + Common::randomId(random));
        std::filesystem::create_directory(this->path);
    }
    ~Folder() { std::filesystem::remove_all(this->path); }
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    std::string file(const char *name) const { return (this->path / name).string(); }

    std::filesystem::path path;
};

std::string contentOf(const std::string &file)
{
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

/// Starts \a program in transient mode with the settings file \a settings. Its output goes to \a
/// log.
pid_t startProgram(const char *program, const std::string &settings, const std::string &ports,
                   const std::string &log)
{
    std::array<std::string, 6> words{program,  "--transient", "--settings",
                                     settings, "--port-file", ports};
    std::array<char *, 7> arguments{};
    for (std::size_t index = 0; index < words.size(); ++index) {
        arguments.at(index) = words.at(index).data();
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT, 0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    pid_t id = 0;
    const int failed = posix_spawn(&id, program, &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    REQUIRE(failed == 0);
    return id;
}

/// Waits for the process and returns its wait status. The process is killed if it has not ended
/// after 30 s.
int waitForExit(pid_t id)
{
    constexpr int Rounds = 3000;
    constexpr std::chrono::milliseconds Pause{10};
    int status = 0;
    for (int round = 0; round < Rounds; ++round) {
        if (waitpid(id, &status, WNOHANG) == id) {
            return status;
        }
        std::this_thread::sleep_for(Pause);
    }
    kill(id, SIGKILL);
    waitpid(id, &status, 0);
    return status;
}

void waitForFile(const std::string &file)
{
    constexpr int Rounds = 3000;
    constexpr std::chrono::milliseconds Pause{10};
    for (int round = 0; round < Rounds && contentOf(file).empty(); ++round) {
        std::this_thread::sleep_for(Pause);
    }
    REQUIRE_FALSE(contentOf(file).empty());
}

constexpr const char *GatewaySettings = "callerAddress: 127.0.0.1:0\n"
                                        "probeAddress: 127.0.0.1:0\n"
                                        "peerAddress: 127.0.0.1:0\n"
                                        "metricsPort: 0\n"
                                        "storeAddress: 127.0.0.1:9\n"
                                        "seeds: []\n";
constexpr const char *AgentSettings = "registrationAddress: 127.0.0.1:0\n"
                                      "backendAddress: 127.0.0.1:9\n"
                                      "metricsPort: 0\n"
                                      "storeAddress: 127.0.0.1:9\n"
                                      "seeds: []\n";

} // namespace

TEST_CASE("A program stops gracefully on SIGTERM and continues on SIGHUP")
{
    // A thread that was started before the signals were blocked receives SIGTERM, whose default
    // action ends the process at once. Callers then lose every request in progress when a gateway
    // is replaced, and the log has no line about the stop. SIGHUP must not end the process at all.
    struct Row
    {
        const char *what;
        const char *program;
        const char *settings;
    };
    const Row rows[] = {{"gateway", GATEWAY_PROGRAM, GatewaySettings},
                        {"agent", AGENT_PROGRAM, AgentSettings}};
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        const Folder folder;
        std::ofstream(folder.file("settings.yaml")) << row.settings;
        const pid_t id = startProgram(row.program, folder.file("settings.yaml"),
                                      folder.file("ports"), folder.file("log"));
        waitForFile(folder.file("ports"));
        kill(id, SIGHUP);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        kill(id, SIGTERM);
        const int status = waitForExit(id);
        const std::string log = contentOf(folder.file("log"));
        CAPTURE(log);
        CHECK(WIFEXITED(status));
        CHECK(WEXITSTATUS(status) == EXIT_SUCCESS);
        CHECK(log.find("event=reload_ignored") != std::string::npos);
        CHECK(log.find("event=stopped") != std::string::npos);
    }
}
