#include "StandIn/Replies.h"

#include <charconv>

namespace StandIn {

Net::HttpResponse jsonResponse(const nlohmann::json &body)
{
    Net::HttpResponse response;
    response.body = body.dump();
    return response;
}

Net::HttpResponse reasonResponse(int status, std::string_view reason, std::string_view detail)
{
    nlohmann::json body = {{"reason", reason}};
    if (!detail.empty()) {
        body["detail"] = detail;
    }
    Net::HttpResponse response = jsonResponse(body);
    response.status = status;
    return response;
}

Common::Outcome<std::int64_t> queryNumber(const Net::HttpRequest &request, const std::string &key,
                                          std::int64_t fallback)
{
    const auto found = request.query.find(key);
    if (found == request.query.end()) {
        return fallback;
    }
    const std::string &text = found->second;
    std::int64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || number < 0) {
        return Common::failure(Schema::Reason::Malformed, key + ": not a number");
    }
    return number;
}

} // namespace StandIn
