#include <doctest/doctest.h>
#include <ostream>

#include "platform/Platform.h"

using Schema::Reason;

namespace {

struct Decoded
{
    Reason reason = Reason::None;
    Platform::JobBody job;
};

Decoded decode(const std::string &body)
{
    return Common::handle(
            [&]() -> Common::Outcome<Decoded> {
                BOOST_LEAF_AUTO(job, Platform::decodeJob(body));
                return Decoded{Reason::None, std::move(job)};
            },
            [](const Common::Failure &failure) {
                return Decoded{failure.reason, {}};
            });
}

} // namespace

TEST_CASE("A job's body")
{
    const Decoded decoded = decode(
            R"({"spec":"work","bestEffort":true,"steps":[
            {"count":4,"cpu":500,"memMb":256,"estimateMs":900,"affinity":"r1-3","requires":"a"},
            {"count":2,"cpu":2000,"gpu":1,"after":[0],"antiAffinity":1}]})");
    REQUIRE(decoded.reason == Reason::None);
    CHECK(decoded.job.payload == "work");
    REQUIRE(decoded.job.steps.size() == 2);
    CHECK(decoded.job.steps[0].taskCount == 4);
    CHECK(decoded.job.steps[0].resources.processors == doctest::Approx(0.5));
    CHECK(decoded.job.steps[0].resources.memoryMb == 256);
    CHECK(decoded.job.steps[0].expectedRunMs == 900);
    CHECK(decoded.job.steps[0].dataRack == "r1-3");
    CHECK(decoded.job.steps[0].requiredLabel == "a");
    CHECK(decoded.job.steps[1].after == std::vector<int>{0});
    CHECK(decoded.job.steps[1].resources.accelerators == 1);
    CHECK(decoded.job.steps[1].maxTasksPerBackend == 1);
}

TEST_CASE("Bodies that are refused")
{
    struct Row
    {
        const char *body;
        Reason reason;
    };
    const Row rows[] = {
            {"", Reason::Malformed},
            {"[]", Reason::Malformed},
            {"{", Reason::Malformed},
            {R"({"bestEffort":true})", Reason::Malformed},
            {R"({"bestEffort":true,"steps":[]})", Reason::Malformed},
            {R"({"bestEffort":true,"steps":[7]})", Reason::Malformed},
            {R"({"bestEffort":true,"steps":[{"count":0}]})", Reason::Malformed},
            {R"({"bestEffort":true,"steps":[{"count":-1}]})", Reason::Malformed},
            {R"({"bestEffort":true,"steps":[{"count":1.5}]})", Reason::Malformed},
            {R"({"bestEffort":true,"steps":[{"count":361}]})", Reason::Malformed},
            {R"({"bestEffort":true,"steps":[{"count":99999999999999999999}]})", Reason::Malformed},
            {R"({"bestEffort":true,"steps":[{"count":1,"cpu":-5}]})", Reason::Malformed},
            {R"({"bestEffort":true,"steps":[{"count":1,"cpu":"5"}]})", Reason::Malformed},
            {R"({"bestEffort":true,"steps":[{"count":1,"after":[0]}]})", Reason::Malformed},
            {R"({"bestEffort":true,"steps":[{"count":1,"after":3}]})", Reason::Malformed},
            {R"({"bestEffort":true,"spec":5,"steps":[{"count":1}]})", Reason::Malformed},
            {R"({"bestEffort":true,"steps":[{"count":200},{"count":200}]})", Reason::BadTaskCount},
            {R"({"steps":[{"count":1}]})", Reason::UnsupportedJob},
            {R"({"bestEffort":true,"repeatCount":2,"steps":[{"count":1}]})",
             Reason::UnsupportedJob},
            {R"({"bestEffort":true,"steps":[{"count":1,"gang":true}]})", Reason::UnsupportedJob},
            {R"({"bestEffort":true,"steps":[{"count":1,"gang":false}]})", Reason::None},
    };
    for (const Row &row : rows) {
        CAPTURE(row.body);
        CHECK(decode(row.body).reason == row.reason);
    }
    const std::string longSpec(4001, 'x');
    CHECK(decode(R"({"bestEffort":true,"steps":[{"count":1}],"spec":")" + longSpec + "\"}").reason
          == Reason::Malformed);
}

TEST_CASE("Answers say what happened")
{
    using Transient::JobOutcome;
    struct Row
    {
        Transient::JobResult result;
        int status;
        int retryAfterSeconds;
    };
    const Row rows[] = {
            {{JobOutcome::Succeeded, Reason::None, 0}, 200, 0},
            {{JobOutcome::Failed, Reason::AttemptsExhausted, 0}, 200, 0},
            {{JobOutcome::GaveUp, Reason::DeadlinePassed, 0}, 504, 0},
            {{JobOutcome::GaveUp, Reason::CallerGone, 0}, 504, 0},
            {{JobOutcome::GaveUp, Reason::Cancelled, 0}, 200, 0},
            {{JobOutcome::Refused, Reason::IdConflict, 1000}, 503, 1},
            {{JobOutcome::Refused, Reason::DeadlineUnreachable, 1500}, 429, 2},
            {{JobOutcome::Refused, Reason::NoBackend, 1000}, 503, 1},
            {{JobOutcome::Refused, Reason::UnknownQueue, 0}, 404, 0},
    };
    for (const Row &row : rows) {
        const Net::HttpResponse response = Platform::encodeResult(row.result);
        CHECK(response.status == row.status);
        CHECK(response.retryAfterSeconds == row.retryAfterSeconds);
    }
}

TEST_CASE("How long a caller waits")
{
    struct Row
    {
        const char *text;
        std::int64_t remainingTimeoutMs;
    };
    for (const Row &row : {Row{"1800", 1800}, Row{"0", 0}, Row{"-5", -1}, Row{"soon", -1},
                           Row{"12x", -1}, Row{"", -1}}) {
        CAPTURE(row.text);
        Net::HttpRequest request;
        request.headers["x-auburntrail-deadline-ms"] = row.text;
        CHECK(Platform::callerRemainingTimeoutMs(request).value_or(-1) == row.remainingTimeoutMs);
    }
    CHECK_FALSE(Platform::callerRemainingTimeoutMs({}).has_value());
}
