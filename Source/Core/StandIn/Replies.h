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
/// A refusal or failure, with a body {"reason":"...","detail":"..."}.
Net::HttpResponse reasonResponse(int status, std::string_view reason, std::string_view detail = {});
/// The non-negative number in query member \a key, or \a fallback where it is absent.
Common::Outcome<std::int64_t> queryNumber(const Net::HttpRequest &request, const std::string &key,
                                          std::int64_t fallback);

} // namespace StandIn
