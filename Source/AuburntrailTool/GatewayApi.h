#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "Commands.h"
#include "Net/HttpClient.h"

namespace Tool {

/// A gateway's parsed answer.
struct ApiAnswer
{
    bool isReached = false;
    /// False if no answer was received. If isReached is true, the gateway may have executed the
    /// call.
    bool isAnswered = false;
    int status = 0;
    nlohmann::json body;
    std::string error;

    bool isOk() const { return this->isAnswered && this->status >= 200 && this->status < 300; }
};

struct ApiCall
{
    std::string method = "GET";
    std::string path;
    std::optional<nlohmann::json> body;
};

/// Sends \a call to the gateways of \a context in turn until one is reached. The next one is tried
/// only if no connection was established, since otherwise the call may have been executed.
ApiAnswer callGateway(const Context &context, const ApiCall &call);
ApiAnswer callOneGateway(const Context &context, const std::string &gateway, const ApiCall &call);

} // namespace Tool
