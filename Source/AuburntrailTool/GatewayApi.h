#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "Commands.h"
#include "Net/HttpClient.h"

namespace Tool {

/// A gateway's answer, taken apart.
struct ApiAnswer
{
    bool isReached = false;
    /// False after a call that may have been acted on without an answer.
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

/// Asks the gateways of \a context in turn. The next one is tried only where the connection was
/// never made: after that the call may have been acted on.
ApiAnswer callGateway(const Context &context, const ApiCall &call);
ApiAnswer callOneGateway(const Context &context, const std::string &gateway, const ApiCall &call);

} // namespace Tool
