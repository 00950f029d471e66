#include <doctest/doctest.h>
#include <mutex>

#include "AuburntrailTool/Commands.h"
#include "AuburntrailTool/Output.h"
#include "Net/HttpServer.h"

namespace {

using Json = nlohmann::json;
using Tool::ExitCode;

const char *const Configuration = R"({"version": 7, "policy": {"queueing": "fair"}, "drains": [],
    "services": [{"name": "weld", "expectedRunMs": 50}], "teams": [], "keyVersions": []})";

/// A gateway that returns its configuration for GET /v1/config and the same answer to all other
/// requests. It keeps the last request.
class FakeGateway
{
public:
    FakeGateway(int status, const std::string &body)
        : server(Net::HttpServerBuilder()
                         .handler([this, status, body](const Net::HttpRequest &request,
                                                       const Net::HttpReply &reply) {
                             const std::lock_guard<std::mutex> lock(this->mutex);
                             this->last = request;
                             if (request.method + request.path == "GET/v1/config") {
                                 reply.send({200, Configuration, "application/json", 0});
                                 return;
                             }
                             reply.send({status, body, "application/json", 0});
                         })
                         .build())
    {}

    std::string address() const { return "127.0.0.1:" + std::to_string(this->server->port()); }

    std::mutex mutex;
    Net::HttpRequest last;

private:
    std::unique_ptr<Net::HttpServer> server;
};

ExitCode runTool(const std::string &gateways, const std::string &line)
{
    CLI::App app;
    Tool::Context context;
    context.gateways = CLI::detail::split(gateways, ',');
    Tool::addSubmitCommand(app, context);
    Tool::addJobCommands(app, context);
    Tool::addDrainCommands(app, context);
    Tool::addQueryCommand(app, context);
    Tool::addConfigCommand(app, context);
    app.parse(line);
    return context.exitCode;
}

std::string answerJson(const char *outcome, bool isNotRun)
{
    return Json{{"id", "j"}, {"outcome", outcome}, {"notRun", isNotRun}, {"reason", "none"}}.dump();
}

const char *const Submit =
        "submit --team t --caller c --service s --payload p1 --payload p2 --tasks 3";

} // namespace

TEST_CASE("Exit codes tell what became of a job")
{
    struct Row
    {
        int status;
        std::string body;
        ExitCode exitCode;
    };
    const Row rows[] = {
            {200, answerJson("completed", false), ExitCode::Done},
            {202, answerJson("pending", false), ExitCode::Done},
            {200, answerJson("failed", false), ExitCode::Failed},
            {200, answerJson("unknown", false), ExitCode::Unknown},
            {429, answerJson("refused", true), ExitCode::Refused},
            {413, R"({"reason":"body_too_large","notRun":true})", ExitCode::Refused},
    };
    for (const Row &row : rows) {
        CAPTURE(row.body);
        FakeGateway gateway(row.status, row.body);
        CHECK(runTool(gateway.address(), Submit) == row.exitCode);
        CHECK(runTool(gateway.address(), "get j") == row.exitCode);
    }
}

TEST_CASE("A gateway that cannot be reached is passed over")
{
    std::string gone;
    {
        const FakeGateway gateway(200, "{}");
        gone = gateway.address();
    }
    FakeGateway gateway(200, answerJson("completed", false));
    CHECK(runTool(gone + ',' + gateway.address(), Submit) == ExitCode::Done);
    CHECK(runTool(gone, Submit) == ExitCode::Unreachable);
}

TEST_CASE("Each command asks what the interface expects")
{
    struct Row
    {
        std::string line;
        const char *method;
        const char *path;
        Json body;
    };
    const Row rows[] = {
            {"cancel j", "DELETE", "/v1/jobs/j", nullptr},
            {"get j", "GET", "/v1/jobs/j", nullptr},
            {"query show jobs", "POST", "/v1/query", {{"text", "show jobs"}}},
            {"drain b1", "POST", "/v1/config", Json::parse(R"({"basedOn": 7, "change":
                {"kind": "drain", "name": "b1", "remove": false, "drain": {"backend": "b1"}}})")},
            {"undrain b1", "POST", "/v1/config", Json::parse(R"({"basedOn": 7, "change":
                {"kind": "drain", "name": "b1", "remove": true}})")},
            {"evacuate beja", "POST", "/v1/config", Json::parse(R"({"basedOn": 7, "change":
                {"kind": "evacuation", "name": "beja", "remove": false,
                "evacuation": {"failureDomain": "beja"}}})")},
            {"take-back beja", "POST", "/v1/config", Json::parse(R"({"basedOn": 7, "change":
                {"kind": "evacuation", "name": "beja", "remove": true}})")},
            {"config set team t --quota 4 --based-on 5", "POST", "/v1/config",
             Json::parse(R"({"basedOn": 5, "change": {"kind": "team", "name": "t",
                "remove": false, "team": {"name": "t", "quota": 4}}})")},
            {"config set policy --max-queued-tasks 9", "POST", "/v1/config",
             Json::parse(R"({"basedOn": 7, "change": {"kind": "policy", "name": "",
                "remove": false, "policy": {"maxQueuedTasks": 9, "queueing": "fair"}}})")},
            {"config set service weld --resources 2 512 1", "POST", "/v1/config",
             Json::parse(R"({"basedOn": 7, "change": {"kind": "service", "name": "weld",
                "remove": false, "service": {"name": "weld", "expectedRunMs": 50, "resources":
                {"processors": 2.0, "memoryMb": 512, "accelerators": 1}}}})")},
            {"config set service weld --remove", "POST", "/v1/config",
             Json::parse(R"({"basedOn": 7, "change": {"kind": "service", "name": "weld",
                "remove": true}})")},
    };
    for (const Row &row : rows) {
        CAPTURE(row.line);
        FakeGateway gateway(200, Configuration);
        runTool(gateway.address(), row.line);
        CHECK(gateway.last.method == row.method);
        CHECK(gateway.last.path == row.path);
        if (!row.body.is_null()) {
            CHECK(Json::parse(gateway.last.body) == row.body);
        }
    }
}

TEST_CASE("A submission carries id and time, and as many tasks as asked")
{
    FakeGateway gateway(200, answerJson("completed", false));
    runTool(gateway.address(), std::string(Submit) + " --no-wait");
    const Json job = Json::parse(gateway.last.body);
    CHECK(gateway.last.query.at("wait") == "false");
    CHECK_FALSE(job.at("id").get<std::string>().empty());
    CHECK(job.at("firstSubmittedMs") > 0);
    REQUIRE(job.at("tasks").size() == 3);
    CHECK(job.at("tasks").at(1).at("payload") == "p2");
    CHECK(job.at("tasks").at(2).at("payload") == "p1");
    CHECK(runTool(gateway.address(), "submit --team t") == ExitCode::Failed);
}

TEST_CASE("A conflict with another operator's change is reported")
{
    // Two operators change the same team, based on the same version. The other operator's change is
    // appended first, so the gateway answers 409 to this one, and none of it is applied.
    FakeGateway gateway(409, R"({"reason": "config_conflict"})");
    CHECK(runTool(gateway.address(), "config set team t --weight 2 --based-on 7")
          == ExitCode::Conflict);
    CHECK(gateway.last.method == "POST");
}

TEST_CASE("Tables are padded to their widest entry")
{
    CHECK(Tool::formatTable({{"a", "bb"}, {"ccc", "d"}}) == "a    bb\nccc  d\n");
}
