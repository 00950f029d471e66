#include "Bench/BenchRun.h"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include "Net/HttpClient.h"

namespace Tool {

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;

/// Larger than any backlog of a run. If the limit were reached, arrivals would wait for answers,
/// and the load would no longer be open-loop.
constexpr int MaxConnections = 4000;
/// A gateway answers by the deadline. A call without an answer this long after it times out.
constexpr std::int64_t AnswerGraceMs = 10000;

std::string resultOf(std::size_t job, std::size_t task)
{
    return std::to_string(job) + '/' + std::to_string(task);
}

std::string payloadOf(const LoadStream &stream, double runMs, const std::string &result)
{
    Json payload = {{"runMs", runMs}, {"result", result}};
    if (stream.payloadBytes > 0) {
        payload["size"] = std::string(static_cast<std::size_t>(stream.payloadBytes), 'x');
    }
    return payload.dump();
}

std::string callerOf(const LoadStream &stream, int number)
{
    return stream.callers == 1 ? stream.caller : stream.caller + '-' + std::to_string(number);
}

std::string bodyOf(const BenchFile &file, const PlannedJob &job, std::size_t number,
                   const std::string &runId)
{
    const LoadStream &stream = file.streams[job.stream];
    const std::int64_t nowMs = Common::currentMoment().wallMs;
    Json body = {{"team", stream.team},
                 {"caller", callerOf(stream, job.caller)},
                 {"service", stream.service},
                 {"deadlineMs", nowMs + stream.deadlineMs},
                 {"tasks", Json::array()}};
    if (file.hasCallerIds) {
        body["id"] = runId + '-' + std::to_string(number);
        body["firstSubmittedMs"] = nowMs;
    }
    if (stream.declaredRunMs > 0) {
        body["declaredRunMs"] = stream.declaredRunMs;
    }
    for (std::size_t task = 0; task < job.runMs.size(); ++task) {
        body["tasks"].push_back(
                {{"payload", payloadOf(stream, job.runMs[task], resultOf(number, task))}});
    }
    return body.dump();
}

bool hasOwnResults(const Json &answer, std::size_t number, std::size_t tasks)
{
    if (!answer.contains("results") || answer.at("results").size() != tasks) {
        return false;
    }
    for (std::size_t task = 0; task < tasks; ++task) {
        if (answer.at("results").at(task) != resultOf(number, task)) {
            return false;
        }
    }
    return true;
}

const char *transportName(Net::HttpTransport transport)
{
    switch (transport) {
    case Net::HttpTransport::NotConnected:
        return "not_connected";
    case Net::HttpTransport::TimedOut:
        return "timed_out";
    default:
        return "lost";
    }
}

void readAnswer(const Net::HttpResult &result, std::size_t number, std::size_t tasks,
                JobRecord &record)
{
    if (result.transport != Net::HttpTransport::Answered) {
        record.outcome = transportName(result.transport);
        return;
    }
    const Json answer = Json::parse(result.body, nullptr, false);
    if (!answer.is_object()) {
        record.outcome = "status_" + std::to_string(result.status);
        return;
    }
    record.outcome = answer.value("outcome", "status_" + std::to_string(result.status));
    record.reason = answer.value("reason", "");
    record.isNotRun = answer.value("notRun", false);
    record.isWrong = record.outcome == "completed" && !hasOwnResults(answer, number, tasks);
}

/// State of a run in progress. Records are written by the clients' threads, each record by one
/// thread.
struct Run
{
    const BenchFile &file;
    const std::vector<PlannedJob> &jobs;
    std::string runId;
    Clock::time_point start;
    std::vector<JobRecord> records;
    std::mutex mutex;
    std::condition_variable ended;
    std::size_t open = 0;
};

Clock::time_point arrivalOf(const Run &run, std::size_t number)
{
    return run.start
           + std::chrono::duration_cast<Clock::duration>(Milliseconds(run.jobs[number].atMs));
}

void finishJob(Run &run, std::size_t number, const Net::HttpResult &result)
{
    JobRecord &record = run.records[number];
    record.responseMs = Milliseconds(Clock::now() - arrivalOf(run, number)).count();
    readAnswer(result, number, run.jobs[number].runMs.size(), record);
    const std::lock_guard<std::mutex> lock(run.mutex);
    --run.open;
    run.ended.notify_all();
}

void submitJob(Run &run, std::size_t number, Net::HttpClient &client, const std::string &gateway)
{
    const PlannedJob &job = run.jobs[number];
    Net::HttpCall call;
    call.method = "POST";
    call.url = "http://" + gateway + "/v1/jobs";
    call.body = bodyOf(run.file, job, number, run.runId);
    call.timeoutMs = run.file.streams[job.stream].deadlineMs + AnswerGraceMs;
    run.records[number].lateMs = Milliseconds(Clock::now() - arrivalOf(run, number)).count();
    client.send(std::move(call),
                [&run, number](const Net::HttpResult &result) { finishJob(run, number, result); });
}

} // namespace

std::vector<JobRecord> runJobs(const BenchFile &file, const std::vector<PlannedJob> &jobs,
                               const std::vector<std::string> &gateways)
{
    Common::Random random = Common::makeRandom();
    Run run{file, jobs, "bench-" + Common::randomId(random), Clock::now(), {}, {}, {}, jobs.size()};
    run.records.resize(jobs.size());
    std::vector<std::unique_ptr<Net::HttpClient>> clients;
    for (std::size_t index = 0; index < gateways.size(); ++index) {
        clients.push_back(std::make_unique<Net::HttpClient>(MaxConnections));
    }
    for (std::size_t number = 0; number < jobs.size(); ++number) {
        std::this_thread::sleep_until(arrivalOf(run, number));
        const std::size_t target = number % gateways.size();
        submitJob(run, number, *clients[target], gateways[target]);
    }
    std::unique_lock<std::mutex> lock(run.mutex);
    run.ended.wait(lock, [&run] { return run.open == 0; });
    return std::move(run.records);
}

} // namespace Tool
