#include <doctest/doctest.h>

#include "AuburntrailTool/Bench/BenchReport.h"

namespace {

using Json = nlohmann::json;

Json minimalFile()
{
    return {{"name", "test"},
            {"seconds", 10},
            {"warmupSeconds", 0},
            {"load", 0.5},
            {"backends", {{{"count", 2}, {"slots", 4}, {"speed", 2.0}}}},
            {"streams",
             {{{"name", "only"},
               {"team", "t"},
               {"caller", "c"},
               {"service", "s"},
               {"leastTasks", 1},
               {"mostTasks", 3},
               {"leastRunMs", 20},
               {"mostRunMs", 40}}}}};
}

/// Returns the error in \a json, or an empty string.
std::string errorOf(const Json &json)
{
    return Common::handle(
            [&json]() -> Common::Outcome<std::string> {
                BOOST_LEAF_CHECK(Tool::parseBenchFile(json));
                return std::string();
            },
            [](const Common::Failure &failed) { return failed.detail; });
}

Tool::BenchFile minimalBench()
{
    return Tool::parseBenchFile(minimalFile()).value();
}

Tool::BenchResult resultOf(const std::vector<Tool::JobRecord> &records)
{
    Tool::BenchResult result;
    result.file = minimalBench();
    result.file.warmupSeconds = 1;
    for (std::size_t number = 0; number < records.size(); ++number) {
        Tool::PlannedJob job;
        job.atMs = 1000;
        job.runMs = {40};
        job.idealMs = 20;
        result.jobs.push_back(job);
    }
    result.records = records;
    return result;
}

} // namespace

TEST_CASE("A bench file's fault is named")
{
    struct Row
    {
        const char *pointer;
        Json value;
        const char *error;
    };
    const Row rows[] = {
            {"/seconds", 10, ""},
            {"/speed", 1, "bench file: speed: unknown key"},
            {"/load", 0, "load: allowed"},
            {"/seconds", "ten", "seconds: found \"ten\""},
            {"/backends", Json::array(), "at least one"},
            {"/backends/0/slots", 0, "slots: allowed"},
            {"/streams/0/mostTasks", 361, "mostTasks: allowed"},
            {"/streams/0/leastRunMs", 50, "a least value is above the most"},
            {"/streams/0/colour", "red", "streams: colour: unknown key"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.pointer);
        Json json = minimalFile();
        json[Json::json_pointer(row.pointer)] = row.value;
        const std::string error = errorOf(json);
        CHECK(error.empty() == std::string(row.error).empty());
        CHECK(error.find(row.error) != std::string::npos);
    }
}

TEST_CASE("The ideal spreads a job's tasks over the fastest slots")
{
    struct Row
    {
        const char *name;
        std::vector<Tool::BackendGroup> backends;
        std::vector<double> runMs;
        double idealMs;
    };
    const Row rows[] = {
            {"one task takes the fast one", {{1, 1, 1}, {1, 1, 2}}, {100}, 50},
            {"two tasks queue at the fast one", {{1, 1, 1}, {1, 1, 2}}, {100, 100}, 100},
            {"slow slots help with many", {{1, 1, 1}, {1, 1, 2}}, {100, 100, 100}, 100},
            {"longest first", {{2, 1, 1}}, {10, 10, 20}, 20},
            {"all at once", {{11, 8, 1}}, std::vector<double>(88, 30), 30},
            {"one more than slots", {{11, 8, 1}}, std::vector<double>(89, 30), 60},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        CHECK(Tool::idealResponseMs(row.backends, row.runMs) == doctest::Approx(row.idealMs));
    }
}

TEST_CASE("A plan offers the load asked for and repeats itself")
{
    for (const double load : {0.1, 0.7, 2.0}) {
        CAPTURE(load);
        Tool::BenchFile file = minimalBench();
        file.load = load;
        file.seconds = 200;
        const std::vector<Tool::PlannedJob> jobs = Tool::planJobs(file);
        double workMs = 0;
        double lastMs = 0;
        for (const Tool::PlannedJob &job : jobs) {
            CHECK(job.atMs >= lastMs);
            lastMs = job.atMs;
            for (const double runMs : job.runMs) {
                workMs += runMs;
            }
        }
        const double offered = workMs / (Tool::capacityMsPerSecond(file.backends) * file.seconds);
        CHECK(offered == doctest::Approx(load).epsilon(0.05));
        const std::vector<Tool::PlannedJob> again = Tool::planJobs(file);
        REQUIRE(again.size() == jobs.size());
        CHECK(again.back().atMs == jobs.back().atMs);
        CHECK(again.back().runMs == jobs.back().runMs);
    }
}

TEST_CASE("Quantiles are by nearest rank")
{
    std::vector<double> hundred(100);
    for (std::size_t index = 0; index < hundred.size(); ++index) {
        hundred[index] = static_cast<double>(hundred.size() - index);
    }
    const Tool::Quantiles quantiles = Tool::quantilesOf(hundred);
    CHECK(quantiles.p50 == 50);
    CHECK(quantiles.p90 == 90);
    CHECK(quantiles.p99 == 99);
    CHECK(quantiles.max == 100);
    CHECK(Tool::quantilesOf({7}).p50 == 7);
    CHECK(Tool::quantilesOf({}).max == 0);
}

TEST_CASE("A report summarizes the answers that callers received")
{
    const Tool::JobRecord good{30, 0, "completed", "none", false, false};
    const Tool::JobRecord wrong{40, 2, "completed", "none", false, true};
    const Tool::JobRecord refused{1, 0, "refused", "queue_full", true, false};
    const Tool::JobRecord lost{1, 0, "timed_out", "", false, false};
    const Json report = Tool::reportJson(resultOf({good, wrong, refused, lost, refused}));
    CHECK(report.at("ratio").at("count") == 2);
    CHECK(report.at("ratio").at("p50") == doctest::Approx(1.5));
    CHECK(report.at("ratio").at("max") == doctest::Approx(2));
    CHECK(report.at("addedMs").at("p50") == doctest::Approx(10));
    CHECK(report.at("wrongAnswers") == 1);
    CHECK(report.at("mostLateMs") == 2);
    CHECK(report.at("outcomes") == Json{{"completed", 2}, {"refused", 2}, {"timed_out", 1}});
    CHECK(report.at("notCompletedByReason") == Json{{"queue_full", 2}, {"timed_out", 1}});
    const std::string table = Tool::reportTable(report);
    CHECK(table.find("queue_full=2") != std::string::npos);
}

TEST_CASE("Goodput counts what was answered within the run")
{
    // Some jobs wait in a backlog and are answered after the last arrival. If jobs were counted by
    // arrival, an overloaded site would be reported with a goodput of 1.3 times its capacity.
    Tool::BenchResult result = resultOf({{30, 0, "completed", "none", false, false},
                                         {9500, 0, "completed", "none", false, false},
                                         {30, 0, "refused", "queue_full", true, false}});
    const double capacityMs = Tool::capacityMsPerSecond(result.file.backends) * 9;
    const Json goodput = Tool::reportJson(result).at("goodput");
    CHECK(goodput.at("ofCapacity") == doctest::Approx(40 / capacityMs));
    CHECK(goodput.at("offeredOfCapacity") == doctest::Approx(120 / capacityMs));
}

TEST_CASE("Jobs of the warm-up are not counted")
{
    Tool::BenchResult result = resultOf({{30, 0, "completed", "none", false, false},
                                         {90, 0, "completed", "none", false, false}});
    result.jobs.back().atMs = 999;
    CHECK(Tool::reportJson(result).at("ratio").at("count") == 1);
}

TEST_CASE("Processes' counters are compared before and after")
{
    const Tool::Samples before = Tool::parseSamples("# HELP x\nx 1\ny{reason=\"a\"} 2\n");
    const Tool::Samples after =
            Tool::parseSamples("x 1\ny{reason=\"a\"} 5\ny{reason=\"b c\"} 1.5\n\n");
    CHECK(Tool::sumOf(after, "y") == doctest::Approx(6.5));
    CHECK(Tool::difference(before, after)
          == Tool::Samples{{"y{reason=\"a\"}", 3}, {"y{reason=\"b c\"}", 1.5}});

    Tool::BenchResult result = resultOf({{30, 0, "completed", "none", false, false}});
    result.before = {{"h:1", {{"process_cpu_seconds_total", 1}}}};
    result.after = {{"h:1", {{"process_cpu_seconds_total", 1.5}}}, {"h:2", {{"x", 1}}}};
    result.backendsBefore = {{{"starts", 10}}};
    result.backendsAfter = {{{"starts", 12}, {"doubles", Json::array()}}};
    const Json report = Tool::reportJson(result);
    CHECK(report.at("starts") == Json{{"tasksSubmitted", 1}, {"starts", 2}, {"startedTwice", 0}});
    REQUIRE(report.at("processes").size() == 1);
    CHECK(report.at("processes").at(0).at("cpuMsPerStart") == doctest::Approx(250));
}
