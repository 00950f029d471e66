#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <ostream>

#include "platform/Platform.h"

using Transient::ObserveOutcome;
using Transient::StartOutcome;

namespace {

Net::HttpResult answered(int status, const std::string &body)
{
    Net::HttpResult result;
    result.transport = Net::HttpTransport::Answered;
    result.status = status;
    result.body = body;
    return result;
}

Net::HttpResult ended(Net::HttpTransport transport)
{
    Net::HttpResult result;
    result.transport = transport;
    return result;
}

Net::HttpRequest announcement(const std::string &body)
{
    Net::HttpRequest request;
    request.method = "PUT";
    request.path = "/instances/i-1";
    request.body = body;
    return request;
}

bool isAccepted(const Net::HttpRequest &request)
{
    return Common::handle(
            [&]() -> Common::Outcome<bool> {
                BOOST_LEAF_CHECK(Platform::decodeRegistration(request));
                return true;
            },
            [](const Common::Failure &) { return false; });
}

} // namespace

TEST_CASE("A start on the wire contains the occurrence of the task and the expected incarnation")
{
    const Net::HttpCall call = Platform::startCall({"10.0.0.1:80", "i-1"},
                                                   {"5c0e7a21d94b36f8.1.17", 2, "work", 900, 7});
    CHECK(call.method == "POST");
    CHECK(call.url == "http://10.0.0.1:80/run-start");
    const auto body = nlohmann::json::parse(call.body);
    CHECK(body.at("task") == "5c0e7a21d94b36f8.0.1.17");
    CHECK(body.at("runId") == 2);
    CHECK(body.at("untilMs") == 900);
    CHECK(body.at("fencingToken") == 7);
    REQUIRE(call.headers.size() == 1);
    CHECK(call.headers[0] == "X-Auburntrail-Expect-Instance: i-1");
}

TEST_CASE("Every call to a backend server contains the expected incarnation")
{
    const Platform::BackendTarget target{"10.0.0.1:80", "i-1"};
    const Net::HttpCall calls[] = {
            Platform::startCall(target, {"5c0e7a21d94b36f8.1.17", 2, "work", 900, 7}),
            Platform::stopCall(target, "5c0e7a21d94b36f8.1.17", 2, 7),
            Platform::observeCall(target, {}),
    };
    for (const Net::HttpCall &call : calls) {
        CAPTURE(call.url);
        REQUIRE(call.headers.size() == 1);
        CHECK(call.headers[0] == "X-Auburntrail-Expect-Instance: i-1");
    }
}

TEST_CASE("How a start was answered")
{
    struct Row
    {
        Net::HttpResult result;
        StartOutcome outcome;
    };
    const Row rows[] = {
            {answered(200, R"({"clockMs":5})"), StartOutcome::Started},
            {answered(409, R"({"reason":"fence"})"), StartOutcome::Fenced},
            {answered(409, R"({"reason":"old"})"), StartOutcome::NumberUsed},
            {answered(409, R"({"reason":"late"})"), StartOutcome::LeaseTooShort},
            {answered(409, R"({"reason":"room"})"), StartOutcome::NoRoom},
            {answered(409, "?"), StartOutcome::Refused},
            {answered(400, R"({"reason":"late"})"), StartOutcome::LeaseTooShort},
            {answered(400, "{}"), StartOutcome::Malformed},
            {answered(421, "{}"), StartOutcome::OtherIncarnation},
            {answered(429, "{}"), StartOutcome::Refused},
            {answered(503, ""), StartOutcome::Refused},
            {answered(500, ""), StartOutcome::Unanswered},
            {ended(Net::HttpTransport::NotConnected), StartOutcome::NotConnected},
            {ended(Net::HttpTransport::Lost), StartOutcome::Unanswered},
            {ended(Net::HttpTransport::TimedOut), StartOutcome::Unanswered},
    };
    for (const Row &row : rows) {
        CAPTURE(row.result.body);
        CAPTURE(row.result.status);
        CHECK(Platform::decodeStart(row.result).outcome == row.outcome);
    }
}

TEST_CASE("What runs and what has ended")
{
    const auto answer = Platform::decodeObservation(answered(
            200, R"({"clockMs":482113,"born":17,"active":[["5c0e.0.1.17",2,"",41,500]],)"
                 R"("ended":[[58,"5c0e.0.1.9",1,"done",""],[59,"5c0e.0.1.8",1,"lapsed",""]]})"));
    REQUIRE(answer.outcome == ObserveOutcome::Observed);
    CHECK(answer.seen.clockMs == 482113);
    CHECK(answer.seen.startedAtMs == 17);
    REQUIRE(answer.seen.active.size() == 1);
    CHECK(answer.seen.active[0].task == "5c0e.1.17");
    CHECK(answer.seen.active[0].percent == 41);
    REQUIRE(answer.seen.ended.size() == 2);
    CHECK(answer.seen.ended[0].position == 58);
    CHECK(answer.seen.ended[0].end == Transient::RunEnd::Succeeded);
    CHECK(answer.seen.ended[1].end == Transient::RunEnd::LeaseLapsed);
}

TEST_CASE("Observations that failed or are invalid")
{
    struct Row
    {
        Net::HttpResult result;
        ObserveOutcome outcome;
    };
    const Row rows[] = {
            {answered(200, "nonsense"), ObserveOutcome::Refused},
            {answered(200, R"({"clockMs":1,"active":[[1]],"ended":[]})"), ObserveOutcome::Refused},
            {answered(409, R"({"reason":"fence"})"), ObserveOutcome::Fenced},
            {answered(421, ""), ObserveOutcome::OtherIncarnation},
            {answered(503, ""), ObserveOutcome::Refused},
            {ended(Net::HttpTransport::NotConnected), ObserveOutcome::NotConnected},
            {ended(Net::HttpTransport::TimedOut), ObserveOutcome::Unanswered},
    };
    for (const Row &row : rows) {
        CHECK(Platform::decodeObservation(row.result).outcome == row.outcome);
    }
}

TEST_CASE("Announcements with members missing or of another type are refused")
{
    const std::string valid =
            R"({"service":"s","address":"10.0.0.9:80","state":"ready","sequence":4,)"
            R"("capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a",7,"r1-3"],"born":9})";
    CHECK(isAccepted(announcement(valid)));
    const char *const wrong[] = {
            "",
            "[]",
            R"({"service":"s","address":"a:1","state":"ready","sequence":4})",
            R"({"service":7,"address":"a:1","state":"ready","sequence":4,"capacity":{"cpu":1,"memMb":1}})",
            R"({"service":"s","address":"a:1","state":"gone","sequence":4,"capacity":{"cpu":1,"memMb":1}})",
            R"({"service":"s","address":"a:1","state":"ready","sequence":"4","capacity":{"cpu":1,"memMb":1}})",
            R"({"service":"s","address":"a:1","state":"ready","sequence":4,"capacity":{"cpu":-1,"memMb":1}})",
            R"({"service":"s","address":"a:1","state":"ready","sequence":4,"capacity":7})",
    };
    for (const char *body : wrong) {
        CAPTURE(body);
        CHECK_FALSE(isAccepted(announcement(body)));
    }
    Net::HttpRequest elsewhere = announcement(valid);
    elsewhere.path = "/instances/";
    CHECK_FALSE(isAccepted(elsewhere));
    elsewhere.path = "/instances/i-1";
    elsewhere.method = "POST";
    CHECK_FALSE(isAccepted(elsewhere));
    elsewhere.method = "DELETE";
    CHECK(isAccepted(elsewhere));
}
