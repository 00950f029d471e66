#include "Soak/Soak.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <thread>

#include "Soak/Faults.h"
#include "Soak/Report.h"

namespace Soak {

namespace {

namespace Files = std::filesystem;

constexpr std::chrono::milliseconds TickInterval{10};
constexpr std::int64_t MsPerSecond = 1000;
/// Time for all processes to start and answer first requests, on a busy machine.
constexpr std::int64_t StartTimeoutMs = 60'000;
constexpr std::int64_t RecoveryTimeoutMs = 20'000;
/// The last requests are answered within the callers' timeout and one resubmission.
constexpr std::int64_t AnswerWaitMs = 12'000;

std::atomic<bool> isInterrupted{false};

Files::path directoryOf(const SoakOptions &options)
{
    const Files::path parent =
            options.keep.empty() ? Files::temp_directory_path() : Files::path(options.keep);
    Files::create_directories(parent);
    std::string pattern =
            (Files::absolute(parent) / ("soak-" + std::to_string(options.seed) + "-XXXXXX"))
                    .string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("can't make a folder under " + parent.string());
    }
    return pattern;
}

/// The run of one seed, from the start of the processes to their end.
class SoakRun
{
public:
    SoakRun(const SoakOptions &options, const std::string &directory)
        : options(options)
        , site({options.seed, options.gateways, options.agents, directory, options.binaries,
                options.program})
        , load(options.seed, this->site.gateways())
        , schedule(drawSchedule({options.seed, options.seconds * MsPerSecond, options.gateways,
                                 options.agents, static_cast<int>(this->site.linkNames().size())}))
        , faults(this->site, this->load, this->schedule)
    {}

    void run()
    {
        this->site.start();
        this->load.addVersion({1, nowMs(), nowMs()});
        this->load.startProbes();
        constexpr int CallersPerAgent = 6;
        constexpr int MaxCallers = 120;
        this->load.startCallers(std::min(CallersPerAgent * this->options.agents, MaxCallers));
        if (!this->waitServed(StartTimeoutMs)) {
            this->report({Invariant::Recovery, nowMs(), "requests are not served at the start"});
        } else {
            this->injectFaults();
            this->waitForRecovery();
        }
        const std::int64_t answerWaitMs = isInterrupted ? 0 : AnswerWaitMs;
        for (const std::string &job : this->load.finish(nowMs() + answerWaitMs)) {
            this->report({Invariant::EveryCallerAnswered, nowMs(), job});
        }
        this->site.stop();
        this->check();
    }

    Records records() const
    {
        return {this->site.backendIncarnations(), this->load.submissions(),
                this->faults.windows(),           this->load.versions(),
                this->load.writtenVersions(),     this->load.missingVersions(),
                this->faults.evacuations()};
    }

    std::vector<Finding> findings() const
    {
        std::vector<Finding> all = this->violations;
        const std::vector<Finding> &site = this->site.findings();
        all.insert(all.end(), site.begin(), site.end());
        return all;
    }

    void writeReport(const std::string &directory) const
    {
        Soak::writeReport(directory, this->schedule, this->records(), this->findings(),
                          this->startedMs);
    }

    Summary summary() const
    {
        Summary summary = summarize(this->records());
        summary.seed = this->options.seed;
        summary.gateways = this->options.gateways;
        summary.agents = this->options.agents;
        summary.servedAgainMs = this->servedAgainMs;
        return summary;
    }

    std::int64_t startMs() const { return this->startedMs; }

private:
    void report(Finding finding) { this->violations.push_back(std::move(finding)); }

    void tick()
    {
        this->site.tick();
        this->faults.tick();
        std::this_thread::sleep_for(TickInterval);
    }

    /// Waits until requests have been served at every gateway for three seconds. Returns false if
    /// that does not happen within \a withinMs, or if the soak is interrupted.
    bool waitServed(std::int64_t withinMs)
    {
        constexpr std::int64_t WindowMs = 3000;
        constexpr std::int64_t PollIntervalMs = 200;
        const std::int64_t fromMs = nowMs();
        std::int64_t nextPollMs = fromMs + WindowMs;
        while (nowMs() < fromMs + withinMs && !isInterrupted) {
            this->tick();
            if (nowMs() < nextPollMs) {
                continue;
            }
            nextPollMs = nowMs() + PollIntervalMs;
            if (isServed(this->load.submissions(), nowMs() - WindowMs, this->site.gatewayNames())) {
                this->servedAgainMs = nowMs() - WindowMs - fromMs;
                return true;
            }
        }
        return false;
    }

    void injectFaults()
    {
        constexpr std::int64_t CheckIntervalMs = 2000;
        this->startedMs = nowMs();
        this->faults.begin();
        std::int64_t nextCheckMs = nowMs() + CheckIntervalMs;
        while (!(this->faults.areFinished() && this->site.isFullyRunning()) && !isInterrupted) {
            this->tick();
            if (nowMs() < nextCheckMs) {
                continue;
            }
            if (this->areOverlapsConfirmed()) {
                this->faults.skipRemaining();
            }
            nextCheckMs = nowMs() + CheckIntervalMs;
        }
    }

    /// Whether overlapping runs were found in two consecutive checks. A single finding could be
    /// caused by event lines that are not written yet.
    bool areOverlapsConfirmed()
    {
        const std::vector<Finding> now = findOverlaps(this->site.backendIncarnations());
        const bool isConfirmed = !now.empty() && this->hadOverlaps;
        this->hadOverlaps = !now.empty();
        return isConfirmed;
    }

    void waitForRecovery()
    {
        this->servedAgainMs = -1;
        if (!this->waitServed(RecoveryTimeoutMs)) {
            this->report({Invariant::Recovery, nowMs(),
                          "within " + std::to_string(RecoveryTimeoutMs) + " ms of the last fault"});
        }
    }

    void check()
    {
        for (Finding &finding : findViolations(this->records(), GraceMs)) {
            this->report(std::move(finding));
        }
        if (isInterrupted) {
            this->report({Invariant::NoUnexpectedExit, nowMs(), "the soak itself was interrupted"});
        }
    }

    SoakOptions options;
    Site site;
    Load load;
    std::vector<Fault> schedule;
    Faults faults;
    std::vector<Finding> violations;
    bool hadOverlaps = false;
    std::int64_t startedMs = 0;
    std::int64_t servedAgainMs = -1;
};

} // namespace

int runSoak(const SoakOptions &options)
{
    // On these signals the run stops its children before this process ends. If the process is
    // killed, the children are killed with it.
    for (const int number : {SIGINT, SIGTERM, SIGHUP}) {
        std::signal(number, [](int) { isInterrupted = true; });
    }
    std::signal(SIGPIPE, SIG_IGN);
    const Files::path directory = directoryOf(options);
    std::vector<Finding> findings;
    {
        SoakRun run(options, directory.string());
        run.run();
        findings = run.findings();
        std::cout << describe(run.summary()) << '\n';
        for (const Finding &finding : findings) {
            std::cout << "BROKEN " << describe(finding, run.startMs()) << '\n';
        }
        if (!findings.empty()) {
            run.writeReport(directory.string());
        }
    }
    if (findings.empty()) {
        Files::remove_all(directory);
        return 0;
    }
    std::cout << "seed " << options.seed << " failed; kept: " << directory.string() << '\n';
    return 1;
}

} // namespace Soak
