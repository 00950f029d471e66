#include <algorithm>
#include <memory>
#include <thread>

#include "Site.h"

/// A worker crashes while it runs a task, and starts again under its id as a worker of another
/// kind. A job that requires the former kind is handed in seconds later.
namespace Review {

namespace {

constexpr const char *RequiredKind = "a";
constexpr const char *OtherKind = "b";
constexpr std::int64_t TaskCpu = 6000;
/// A worker pings about every 1.5 s; this one does so for the first time after half of that.
constexpr std::int64_t FirstPingMs = 750;
constexpr std::int64_t QuietMs = 6000;

std::unique_ptr<Worker> makeWorker(const Site &site, std::size_t agent, const std::string &kind,
                                   std::int64_t firstPingAfterMs, Record &record)
{
    WorkerOptions options;
    options.id = "i-" + std::to_string(agent + 1);
    options.service = ServiceName;
    options.labels = {kind, "r1-" + std::to_string(agent + 1)};
    options.port = site.agents()[agent].workerPort;
    options.registrationPort = site.agents()[agent].registrationPort;
    options.firstPingAfterMs = firstPingAfterMs;
    return std::make_unique<Worker>(options, record);
}

int run(Record &record)
{
    Site site({2, 3}, record);
    site.store().setConfig(configText(7, {{"/lohu930/", 60, 1.6}}));
    std::vector<std::unique_ptr<Worker>> workers;
    workers.push_back(makeWorker(site, 0, RequiredKind, 0, record));
    workers.push_back(makeWorker(site, 1, OtherKind, 0, record));
    workers.push_back(makeWorker(site, 2, OtherKind, 0, record));
    if (!site.waitUntilReady(15'000)) {
        return NotRun;
    }
    sleepMs(4000);
    const auto post = [&](const std::string &id) {
        Job job;
        job.id = id;
        job.pathPrefix = "/lohu930/";
        job.runMs = 900;
        job.cpu = TaskCpu;
        job.requiredLabel = RequiredKind;
        return submit(job, site.gateways()[0].callerPort, record);
    };
    std::thread client([&] { post("5c0e7a21d94b3601"); });
    sleepMs(300);
    const bool hasRun = !workers[0]->running().empty();
    if (isDisrupted()) {
        workers[0]->crash();
        sleepMs(500);
        workers[0] = makeWorker(site, 0, OtherKind, FirstPingMs, record);
    }
    client.join();
    sleepMs(QuietMs);
    const std::int64_t quietSinceMs = nowMs();
    for (int index = 2; index < 6; ++index) {
        post("5c0e7a21d94b360" + std::to_string(index));
    }
    sleepMs(500);
    int wrong = 0;
    for (const RunEvent &event : record.runs()) {
        const bool isRequired = std::find(event.labels.begin(), event.labels.end(), RequiredKind)
                                != event.labels.end();
        if (event.end.empty() && !isRequired && event.atMs >= quietSinceMs) {
            record.write("started without the label " + std::string(RequiredKind) + ": "
                         + event.task + " on " + event.worker + ", "
                         + std::to_string(event.atMs - quietSinceMs)
                         + " ms after the end of the quiet time");
            ++wrong;
        }
    }
    for (const std::string &name : site.endedByThemselves()) {
        record.write("ended by itself: " + name);
    }
    if (!hasRun) {
        return NotRun;
    }
    return wrong == 0 ? Held : Broken;
}

} // namespace

} // namespace Review

int main(int, char **argv)
{
    Review::Record record(std::string(argv[1]) + "/record.txt");
    const int result = Review::run(record);
    record.write(result == Review::Broken ? "result: ROUTE is broken"
                 : result == Review::Held ? "result: the rule held"
                                          : "result: not run");
    return result;
}
