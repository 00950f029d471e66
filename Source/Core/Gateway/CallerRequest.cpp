#include "Gateway/CallerRequest.h"

namespace Gateway {

namespace {

/// Remaining timeout of a caller whose request does not state one.
constexpr std::int64_t DefaultRemainingTimeoutMs = 30'000;

Common::Outcome<void> tryDecodeBody(CallerRequest &callerRequest)
{
    BOOST_LEAF_AUTO(job, Platform::decodeJob(callerRequest.body));
    callerRequest.job = std::move(job);
    return {};
}

} // namespace

CallerRequest makeCallerRequest(const Net::HttpRequest &request, Net::HttpReply reply)
{
    CallerRequest callerRequest(std::move(reply));
    callerRequest.method = request.method;
    callerRequest.path = request.path;
    callerRequest.arrivedMs = request.arrivedMs;
    callerRequest.connection = request.connection;
    const auto host = request.headers.find("host");
    callerRequest.host = host == request.headers.end() ? std::string() : host->second;
    callerRequest.remainingTimeoutMs =
            Platform::callerRemainingTimeoutMs(request).value_or(DefaultRemainingTimeoutMs);
    return callerRequest;
}

void decodeBody(CallerRequest &callerRequest)
{
    Common::handle(
            [&callerRequest] { return tryDecodeBody(callerRequest); },
            [&callerRequest](const Common::Failure &failure) { callerRequest.failure = failure; });
    callerRequest.body.clear();
}

bool isDecoded(const CallerRequest &callerRequest)
{
    return callerRequest.job || callerRequest.failure.reason != Schema::Reason::None;
}

} // namespace Gateway
