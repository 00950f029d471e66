#include <iostream>
#include <memory>

#include "Commands.h"
#include "Common/Common.h"
#include "GatewayApi.h"
#include "Output.h"

namespace Tool {

namespace {

using Json = nlohmann::json;

struct SubmitOptions
{
    std::string file;
    std::string id;
    std::int64_t firstSubmittedMs = 0;
    std::string team;
    std::string caller;
    std::string service;
    std::vector<std::string> payloads;
    std::size_t tasks = 0;
    std::int64_t deadlineInMs = 0;
    std::int64_t declaredRunMs = 0;
    bool isIdempotent = false;
    bool isWaiting = true;
};

void setIfGiven(Json &job, const char *name, const std::string &value)
{
    if (!value.empty()) {
        job[name] = value;
    }
}

/// Creates the job's tasks. --tasks repeats the given payloads until there are that many tasks.
Json tasksOf(const SubmitOptions &options)
{
    const std::vector<std::string> payloads =
            options.payloads.empty() ? std::vector<std::string>{""} : options.payloads;
    const std::size_t count = options.tasks == 0 ? payloads.size() : options.tasks;
    Json tasks = Json::array();
    for (std::size_t index = 0; index < count; ++index) {
        tasks.push_back({{"payload", payloads[index % payloads.size()]}});
    }
    return tasks;
}

Common::Outcome<Json> jobOf(const SubmitOptions &options)
{
    BOOST_LEAF_AUTO(job, Common::readYamlFile(options.file));
    const std::int64_t nowMs = Common::currentMoment().wallMs;
    setIfGiven(job, "id", options.id);
    setIfGiven(job, "team", options.team);
    setIfGiven(job, "caller", options.caller);
    setIfGiven(job, "service", options.service);
    if (options.firstSubmittedMs != 0) {
        job["firstSubmittedMs"] = options.firstSubmittedMs;
    }
    if (options.deadlineInMs != 0) {
        job["deadlineMs"] = nowMs + options.deadlineInMs;
    }
    if (options.declaredRunMs != 0) {
        job["declaredRunMs"] = options.declaredRunMs;
    }
    if (options.isIdempotent) {
        job["idempotent"] = true;
    }
    if (!job.contains("tasks") || !options.payloads.empty() || options.tasks != 0) {
        job["tasks"] = tasksOf(options);
    }
    // A resubmission needs both, so an id generated here is always sent with its time.
    if (!job.contains("id")) {
        Common::Random random = Common::makeRandom();
        job["id"] = Common::randomId(random);
    }
    if (!job.contains("firstSubmittedMs")) {
        job["firstSubmittedMs"] = nowMs;
    }
    BOOST_LEAF_CHECK(Common::checkMessage(job, "SubmitJob"));
    return job;
}

ExitCode submit(const Context &context, const SubmitOptions &options, const Json &job)
{
    // Printed to standard error before the call, so that an operator who does not receive the
    // answer can resubmit.
    std::cerr << "submitting id " << plainText(job.at("id")) << " first submitted "
              << plainText(job.at("firstSubmittedMs")) << '\n';
    ApiCall call;
    call.method = "POST";
    call.path = options.isWaiting ? "/v1/jobs" : "/v1/jobs?wait=false";
    call.body = job;
    return reportJob(context, callGateway(context, call));
}

ExitCode run(const Context &context, const SubmitOptions &options)
{
    return Common::handle(
            [&]() -> Common::Outcome<ExitCode> {
                BOOST_LEAF_AUTO(job, jobOf(options));
                return submit(context, options, job);
            },
            [](const Common::Failure &failed) {
                std::cerr << failed.detail << '\n';
                return ExitCode::Failed;
            });
}

} // namespace

void addSubmitCommand(CLI::App &app, Context &context)
{
    auto options = std::make_shared<SubmitOptions>();
    CLI::App *command = app.add_subcommand("submit", "submit a job and wait for its answer");
    command->add_option("--file", options->file,
                        "YAML or JSON file with the job; the options below override it");
    command->add_option("--id", options->id, "the job's id; generated if absent");
    command->add_option("--first-submitted-ms", options->firstSubmittedMs,
                        "time of the first submission, for a resubmission; now if absent");
    command->add_option("--team", options->team);
    command->add_option("--caller", options->caller);
    command->add_option("--service", options->service);
    command->add_option("--payload", options->payloads, "payload of a task; may be repeated")
            ->allow_extra_args(false);
    command->add_option("--tasks", options->tasks,
                        "number of tasks; payloads are repeated to reach it");
    command->add_option("--deadline-in-ms", options->deadlineInMs, "deadline, from now");
    command->add_option("--declared-run-ms", options->declaredRunMs);
    command->add_flag("--idempotent", options->isIdempotent);
    command->add_flag("--wait,!--no-wait", options->isWaiting,
                      "wait for the end of the job, the default");
    command->callback([&context, options] { context.exitCode = run(context, *options); });
}

} // namespace Tool
