#pragma once

#include <optional>
#include <string>

#include "Common/Common.h"
#include "Net/Net.h"
#include "Schema/Schema.h"

/// The HTTP interface as functions: what a request asks for, and how an answer is put. It runs on
/// the traffic threads, so that parsing and checking bodies never delays a decision.
namespace Gateway {

enum class ApiCall {
    Submit,
    Get,
    Cancel,
    GetConfiguration,
    SetConfiguration,
    Query,
    Health,
    Ready,
    Metrics
};

/// One well-formed request.
struct ApiRequest
{
    ApiCall call = ApiCall::Health;
    bool wait = true;
    std::string job;
    std::optional<Schema::SubmitJob> submit;
    std::optional<Schema::ConfigChange> change;
    std::int64_t basedOn = 0;
    std::string text;
};

/// What \a request asks for; the failure's reason decides the status of the refusal.
Common::Outcome<ApiRequest> parseRequest(const Net::HttpRequest &request);

/// HTTP status for an answer with this outcome and reason.
int statusOf(Schema::JobOutcome outcome, Schema::Reason reason);

Net::HttpResponse jobResponse(const Schema::JobAnswer &answer);
/// A refusal before there was a job.
Net::HttpResponse failureResponse(const Common::Failure &failure);

} // namespace Gateway
