#include "GatewayApi.h"

namespace Tool {

namespace {

using Json = nlohmann::json;

ApiAnswer parseAnswer(const Net::HttpResult &result)
{
    ApiAnswer answer;
    answer.isReached = result.transport != Net::HttpTransport::NotConnected;
    answer.isAnswered = result.transport == Net::HttpTransport::Answered;
    answer.status = result.status;
    answer.error = result.error;
    Json body = Json::parse(result.body, nullptr, false);
    answer.body = body.is_discarded() ? Json(result.body) : std::move(body);
    return answer;
}

} // namespace

ApiAnswer callOneGateway(const Context &context, const std::string &gateway, const ApiCall &call)
{
    Net::HttpClient client(1);
    Net::HttpCall request;
    request.method = call.method;
    request.url = "http://" + gateway + call.path;
    request.timeoutMs = context.timeoutMs;
    if (call.body) {
        request.body = call.body->dump(-1, ' ', false, Json::error_handler_t::replace);
    }
    ApiAnswer answer = parseAnswer(client.perform(request));
    if (!answer.error.empty()) {
        answer.error = gateway + ": " + answer.error;
    }
    return answer;
}

ApiAnswer callGateway(const Context &context, const ApiCall &call)
{
    ApiAnswer answer;
    for (const std::string &gateway : context.gateways) {
        answer = callOneGateway(context, gateway, call);
        if (answer.isReached) {
            break;
        }
    }
    return answer;
}

} // namespace Tool
