#include "Agent/BackendAnswer.h"

#include <nlohmann/json.hpp>

namespace Agent {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusPreconditionFailed = 412;
constexpr int StatusUnavailable = 503;

TaskEnd makeEnd(Schema::TaskPhase phase, Schema::Reason reason)
{
    TaskEnd end;
    end.phase = phase;
    end.reason = reason;
    return end;
}

/// Reads the answer of a task that has run. An answer without a readable result counts as a failure
/// of the task.
TaskEnd readResult(const std::string &body)
{
    const auto json = Common::parseBoundedJson(body);
    const bool readable =
            json.is_object() && json.contains("result") && json.at("result").is_string();
    if (!readable) {
        return makeEnd(Schema::TaskPhase::Failed, Schema::Reason::TaskFailed);
    }
    TaskEnd end = makeEnd(Schema::TaskPhase::Succeeded, Schema::Reason::None);
    end.result = json.at("result").get<std::string>();
    return end;
}

TaskEnd readStatus(const Net::HttpResult &answer)
{
    switch (answer.status) {
    case StatusOk:
        return readResult(answer.body);
    case StatusPreconditionFailed:
        return makeEnd(Schema::TaskPhase::NotStarted, Schema::Reason::NotAfterPassed);
    case StatusUnavailable:
        return makeEnd(Schema::TaskPhase::NotStarted, Schema::Reason::BackendRefused);
    default:
        return makeEnd(Schema::TaskPhase::Failed, Schema::Reason::TaskFailed);
    }
}

} // namespace

TaskEnd readRunAnswer(const Net::HttpResult &answer)
{
    switch (answer.transport) {
    case Net::HttpTransport::Answered:
        return readStatus(answer);
    case Net::HttpTransport::NotConnected:
        return makeEnd(Schema::TaskPhase::NotStarted, Schema::Reason::BackendUnreachable);
    case Net::HttpTransport::Lost:
    case Net::HttpTransport::TimedOut:
        break;
    }
    return makeEnd(Schema::TaskPhase::Unknown, Schema::Reason::TaskLost);
}

bool readHealthAnswer(const Net::HttpResult &answer)
{
    return answer.transport == Net::HttpTransport::Answered && answer.status == StatusOk;
}

} // namespace Agent
