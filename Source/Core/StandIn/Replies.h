#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "Common/Outcome.h"
#include "Net/HttpServer.h"

namespace StandIn {

namespace HttpStatus {
constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int PreconditionFailed = 412;
constexpr int TooManyRequests = 429;
constexpr int InternalError = 500;
constexpr int Unavailable = 503;
} // namespace HttpStatus

Net::HttpResponse jsonResponse(const nlohmann::json &body);
/// Response for a refusal or failure, with the body {"reason":"...","detail":"..."}; an empty
/// detail is omitted.
Net::HttpResponse reasonResponse(int status, std::string_view reason, std::string_view detail = {});
/// Returns the query parameter \a key as a non-negative number, or \a fallback if it is absent.
/// Fails with Reason::Malformed if it is not such a number.
Common::Outcome<std::int64_t> queryNumber(const Net::HttpRequest &request, const std::string &key,
                                          std::int64_t fallback);

} // namespace StandIn
