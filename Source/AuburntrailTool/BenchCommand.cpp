#include <fstream>
#include <iostream>
#include <memory>

#include "Bench/BenchReport.h"
#include "Commands.h"
#include "Common/Common.h"
#include "Net/HttpClient.h"
#include "Output.h"

namespace Tool {

namespace {

using Json = nlohmann::json;

struct BenchOptions
{
    std::string file;
    std::string out;
    std::vector<std::string> agents;
    std::vector<std::string> backends;
    double load = 0;
    double seconds = 0;
};

/// Configures the stand-in backend servers with the slots and speeds of the file, in its order.
bool configureBackends(const BenchFile &file, const std::vector<std::string> &addresses)
{
    Net::HttpClient client(1);
    std::size_t next = 0;
    for (const BackendGroup &group : file.backends) {
        for (int number = 0; number < group.count && next < addresses.size(); ++number, ++next) {
            Net::HttpCall call;
            call.method = "POST";
            call.url = "http://" + addresses[next] + "/control";
            call.body = Json{{"slots", group.slots}, {"speed", group.speed}}.dump();
            if (client.perform(call).status != 200) {
                std::cerr << "backend server " << addresses[next]
                          << " did not accept its slots and speed\n";
                return false;
            }
        }
    }
    return true;
}

Json measure(const BenchFile &file, const BenchOptions &options, const Context &context)
{
    BenchResult result;
    result.file = file;
    result.jobs = planJobs(file);
    std::vector<std::string> processes = context.gateways;
    processes.insert(processes.end(), options.agents.begin(), options.agents.end());
    result.before = scrapeMetrics(processes);
    result.backendsBefore = scrapeBackends(options.backends);
    std::cerr << "submitting " << result.jobs.size() << " jobs in " << file.seconds << " s\n";
    result.records = runJobs(file, result.jobs, context.gateways);
    result.after = scrapeMetrics(processes);
    result.backendsAfter = scrapeBackends(options.backends);
    return reportJson(result);
}

ExitCode bench(const Context &context, const BenchOptions &options, BenchFile file)
{
    file.load = options.load > 0 ? options.load : file.load;
    file.seconds = options.seconds > 0 ? options.seconds : file.seconds;
    if (file.warmupSeconds >= file.seconds) {
        std::cerr << "the warm-up must be shorter than the run\n";
        return ExitCode::Failed;
    }
    if (!configureBackends(file, options.backends)) {
        return ExitCode::Failed;
    }
    const Json report = measure(file, options, context);
    std::cout << (context.isJson ? report.dump(2) + '\n' : reportTable(report));
    if (options.out.empty()) {
        return ExitCode::Done;
    }
    std::ofstream out(options.out);
    out << report.dump(2) << '\n';
    return out.good() ? ExitCode::Done : ExitCode::Failed;
}

ExitCode run(const Context &context, const BenchOptions &options)
{
    return Common::handle(
            [&]() -> Common::Outcome<ExitCode> {
                BOOST_LEAF_AUTO(file, readBenchFile(options.file));
                return bench(context, options, file);
            },
            [](const Common::Failure &failed) {
                std::cerr << failed.detail << '\n';
                return ExitCode::Failed;
            });
}

} // namespace

void addBenchCommand(CLI::App &app, Context &context)
{
    auto options = std::make_shared<BenchOptions>();
    CLI::App *command = app.add_subcommand(
            "bench",
            "submit an open-loop load, whose arrivals do not wait for answers, and measure it");
    command->add_option("--file", options->file, "YAML file of the experiment, as in bench/")
            ->required()
            ->check(CLI::ExistingFile);
    command->add_option("--out", options->out, "file to write the result to, as JSON");
    command->add_option("--agents", options->agents, "addresses of the agents' metrics, host:port")
            ->delimiter(',')
            ->allow_extra_args(false);
    command->add_option("--backends", options->backends,
                        "addresses of stand-in backend servers, host:port, in the file's order; "
                        "they are set to its slots and speeds")
            ->delimiter(',')
            ->allow_extra_args(false);
    command->add_option("--load", options->load, "overrides the file's load");
    command->add_option("--seconds", options->seconds, "overrides the file's duration");
    command->callback([&context, options] { context.exitCode = run(context, *options); });
}

} // namespace Tool
