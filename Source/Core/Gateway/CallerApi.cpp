#include "Gateway/CallerApi.h"

#include <algorithm>
#include <array>

#include "Dispatch/Dispatch.h"

namespace Gateway {

namespace {

using Json = nlohmann::json;
using Schema::JobOutcome;
using Schema::Reason;

constexpr const char *JobsPath = "/v1/jobs";
constexpr const char *JobPrefix = "/v1/jobs/";
constexpr std::size_t MaxTasks = 360;
constexpr std::int64_t MsPerSecond = 1000;

struct ReasonStatus
{
    Reason reason;
    int status;
};

constexpr std::array<ReasonStatus, 23> ReasonStatuses{{
        {Reason::Malformed, 400},          {Reason::BadTaskCount, 400},
        {Reason::ConfigInvalid, 400},      {Reason::UnknownJob, 404},
        {Reason::IdConflict, 409},         {Reason::ConfigConflict, 409},
        {Reason::BodyTooLarge, 413},       {Reason::UnknownTeam, 422},
        {Reason::UnknownService, 422},     {Reason::DeadlinePassed, 422},
        {Reason::SubmissionTooOld, 422},   {Reason::SubmissionInFuture, 422},
        {Reason::NeverRunnable, 422},      {Reason::Cancelled, 422},
        {Reason::QueueFull, 429},          {Reason::QuotaExceeded, 429},
        {Reason::CallerLimit, 429},        {Reason::DeadlineUnreachable, 429},
        {Reason::NotReady, 503},           {Reason::Stopping, 503},
        {Reason::OwnerUnreachable, 503},   {Reason::LogUnavailable, 503},
        {Reason::BackendUnreachable, 503},
}};

int statusOfReason(Reason reason)
{
    constexpr int ServiceUnavailable = 503;
    const auto *const row =
            std::find_if(ReasonStatuses.begin(), ReasonStatuses.end(),
                         [reason](const auto &entry) { return entry.reason == reason; });
    return row == ReasonStatuses.end() ? ServiceUnavailable : row->status;
}

Common::Outcome<Json> parseBody(const std::string &body)
{
    Json value = Common::parseBoundedJson(body);
    if (value.is_discarded()) {
        return Common::failure(Reason::Malformed, "the body is not JSON, or has too many values");
    }
    return value;
}

Common::Outcome<void> checkTaskCount(const Json &body)
{
    if (!body.is_object() || !body.contains("tasks") || !body.at("tasks").is_array()) {
        return {};
    }
    const std::size_t count = body.at("tasks").size();
    if (count == 0 || count > MaxTasks) {
        return Common::failure(Reason::BadTaskCount,
                               "a job has 1 to 360 tasks; this one has " + std::to_string(count));
    }
    return {};
}

Common::Outcome<ApiRequest> parseSubmit(const Net::HttpRequest &request)
{
    BOOST_LEAF_AUTO(body, parseBody(request.body));
    BOOST_LEAF_CHECK(checkTaskCount(body));
    BOOST_LEAF_CHECK(Common::checkMessage(body, "SubmitJob"));
    ApiRequest parsed;
    parsed.call = ApiCall::Submit;
    parsed.submit = body.get<Schema::SubmitJob>();
    if (parsed.submit->id.has_value() != parsed.submit->firstSubmittedMs.has_value()) {
        return Common::failure(Reason::Malformed, "id and firstSubmittedMs go together");
    }
    return parsed;
}

Common::Outcome<ApiRequest> parseSetConfiguration(const Net::HttpRequest &request)
{
    BOOST_LEAF_AUTO(body, parseBody(request.body));
    const bool hasMembers = body.is_object() && body.contains("change") && body.contains("basedOn")
                            && body.at("basedOn").is_number_integer();
    if (!hasMembers) {
        return Common::failure(Reason::Malformed,
                               "expected {\"basedOn\": version, \"change\": {...}}");
    }
    BOOST_LEAF_CHECK(Common::checkMessage(body.at("change"), "ConfigChange"));
    ApiRequest parsed;
    parsed.call = ApiCall::SetConfiguration;
    parsed.basedOn = body.at("basedOn").get<std::int64_t>();
    parsed.change = body.at("change").get<Schema::ConfigChange>();
    return parsed;
}

Common::Outcome<ApiRequest> parseQuery(const Net::HttpRequest &request)
{
    BOOST_LEAF_AUTO(body, parseBody(request.body));
    BOOST_LEAF_CHECK(Common::checkMessage(body, "QueryRequest"));
    ApiRequest parsed;
    parsed.call = ApiCall::Query;
    parsed.text = body.get<Schema::QueryRequest>().text;
    return parsed;
}

Common::Outcome<ApiRequest> parseJobCall(const Net::HttpRequest &request, ApiCall call)
{
    ApiRequest parsed;
    parsed.call = call;
    parsed.job = request.path.substr(std::string(JobPrefix).size());
    if (parsed.job.empty() || parsed.job.find('/') != std::string::npos) {
        return Common::failure(Reason::Malformed, "expected /v1/jobs/ID");
    }
    return parsed;
}

Common::Outcome<ApiRequest> parseRoute(const Net::HttpRequest &request)
{
    const std::string route = request.method + ' ' + request.path;
    if (route == std::string("POST ") + JobsPath) {
        return parseSubmit(request);
    }
    if (request.path.rfind(JobPrefix, 0) == 0 && request.method == "GET") {
        return parseJobCall(request, ApiCall::Get);
    }
    if (request.path.rfind(JobPrefix, 0) == 0 && request.method == "DELETE") {
        return parseJobCall(request, ApiCall::Cancel);
    }
    if (route == "POST /v1/config") {
        return parseSetConfiguration(request);
    }
    if (route == "POST /v1/query") {
        return parseQuery(request);
    }
    struct PlainRoute
    {
        const char *route;
        ApiCall call;
    };
    constexpr std::array<PlainRoute, 4> PlainRoutes{{{"GET /v1/config", ApiCall::GetConfiguration},
                                                     {"GET /health", ApiCall::Health},
                                                     {"GET /ready", ApiCall::Ready},
                                                     {"GET /metrics", ApiCall::Metrics}}};
    for (const PlainRoute &plain : PlainRoutes) {
        if (route == plain.route) {
            ApiRequest parsed;
            parsed.call = plain.call;
            return parsed;
        }
    }
    return Common::failure(Reason::Malformed, "no such resource: " + route);
}

} // namespace

Common::Outcome<ApiRequest> parseRequest(const Net::HttpRequest &request)
{
    BOOST_LEAF_AUTO(parsed, parseRoute(request));
    const auto wait = request.query.find("wait");
    const bool waitsByDefault = parsed.call == ApiCall::Submit;
    parsed.wait = wait == request.query.end() ? waitsByDefault : wait->second == "true";
    return parsed;
}

int statusOf(JobOutcome outcome, Reason reason)
{
    constexpr int Ok = 200;
    constexpr int Accepted = 202;
    switch (outcome) {
    case JobOutcome::Completed:
    case JobOutcome::Failed:
    case JobOutcome::Unknown:
        return Ok;
    case JobOutcome::Pending:
        return Accepted;
    case JobOutcome::Refused:
        break;
    }
    return statusOfReason(reason);
}

Net::HttpResponse jobResponse(const Schema::JobAnswer &answer)
{
    Net::HttpResponse response;
    response.status = statusOf(answer.outcome, answer.reason);
    response.body = Json(answer).dump(-1, ' ', false, Json::error_handler_t::replace);
    const std::int64_t retryAfterMs = answer.retryAfterMs.value_or(0);
    response.retryAfterSeconds = static_cast<int>((retryAfterMs + MsPerSecond - 1) / MsPerSecond);
    return response;
}

Net::HttpResponse failureResponse(const Common::Failure &failure)
{
    Schema::JobAnswer answer = Dispatch::refusal("", 0, failure.reason, failure.detail);
    return jobResponse(answer);
}

} // namespace Gateway
