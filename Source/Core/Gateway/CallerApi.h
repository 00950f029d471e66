#pragma once

#include <optional>
#include <string>

#include "Common/Common.h"
#include "Net/Net.h"
#include "Schema/Schema.h"

/// HTTP interface for callers: parses requests and encodes answers. Bodies are parsed and checked
/// on the traffic threads, so that this never delays a decision.
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

/// A valid request.
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

/// Parses and checks \a request. The reason of a failure determines the HTTP status of the refusal.
Common::Outcome<ApiRequest> parseRequest(const Net::HttpRequest &request);

/// HTTP status for an answer with this outcome and reason.
int statusOf(Schema::JobOutcome outcome, Schema::Reason reason);

Net::HttpResponse jobResponse(const Schema::JobAnswer &answer);
/// Refusal of a request that is not about an existing job.
Net::HttpResponse failureResponse(const Common::Failure &failure);

} // namespace Gateway
