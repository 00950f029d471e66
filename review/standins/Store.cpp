#include "Store.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace Review {

namespace {

using Json = nlohmann::json;

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t OffsetBytes = 8;
constexpr unsigned BitsPerByte = 8;
constexpr std::int64_t MaxWaitMs = 30'000;

std::string bigEndian(std::uint64_t value, std::size_t count)
{
    std::string bytes(count, '\0');
    for (std::size_t index = count; index > 0; --index) {
        bytes[index - 1] = static_cast<char>(value & 0xffU);
        value >>= BitsPerByte;
    }
    return bytes;
}

std::size_t readLength(const std::string &bytes, std::size_t at)
{
    std::size_t value = 0;
    for (std::size_t index = at; index < at + LengthBytes; ++index) {
        value = (value << BitsPerByte) | static_cast<unsigned char>(bytes[index]);
    }
    return value;
}

std::string base64(const std::string &bytes)
{
    constexpr const char *Letters =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            group = (group << BitsPerByte)
                    | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index])
                                                 : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            const bool isPadding = at + index > bytes.size();
            text += isPadding ? '=' : Letters[(group >> (18 - 6 * index)) & 0x3fU];
        }
    }
    return text;
}

std::string queryValue(const Request &request, const std::string &name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

} // namespace

Store::Store()
    : server(std::make_unique<Server>(
            0, [this](const Request &request) { return this->answer(request); }))
{}

Store::~Store()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->isEnding = true;
    }
    this->appended.notify_all();
    this->server->stop();
}

std::uint16_t Store::port() const
{
    return this->server->port();
}

void Store::setConfig(const std::string &text)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->topics["keyed.op"].push_back({"config", text});
    }
    this->appended.notify_all();
}

Response Store::answer(const Request &request)
{
    if (request.path == "/log-append") {
        return this->append(request);
    }
    if (request.path == "/log-read") {
        return this->read(request);
    }
    if (request.path == "/log-newest") {
        return this->newest(request);
    }
    return {404, "{}", "application/json", false};
}

Response Store::append(const Request &request)
{
    std::int64_t first = 0;
    std::int64_t end = 0;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::vector<Record> &topic = this->topics[queryValue(request, "topic")];
        first = static_cast<std::int64_t>(topic.size());
        std::size_t at = 0;
        while (at + LengthBytes < request.body.size()) {
            const std::size_t length = readLength(request.body, at);
            const std::string content = request.body.substr(at + LengthBytes, length);
            const std::size_t keyBytes = static_cast<unsigned char>(content[0]);
            topic.push_back({content.substr(1, keyBytes), content.substr(1 + keyBytes)});
            at += LengthBytes + length;
        }
        end = static_cast<std::int64_t>(topic.size());
    }
    this->appended.notify_all();
    return {200, Json{{"offset", first}, {"endOffset", end}}.dump(), "application/json", false};
}

Response Store::read(const Request &request)
{
    const std::string name = queryValue(request, "topic");
    const auto offset = static_cast<std::size_t>(std::stoll(queryValue(request, "source")));
    const std::string wait = queryValue(request, "waitMs");
    const std::int64_t waitMs = std::min(wait.empty() ? 0 : std::stoll(wait), MaxWaitMs + 0LL);
    std::unique_lock<std::mutex> lock(this->mutex);
    this->appended.wait_for(lock, std::chrono::milliseconds(waitMs),
                            [&] { return this->isEnding || this->topics[name].size() > offset; });
    const std::vector<Record> &topic = this->topics[name];
    Response response;
    response.contentType = "application/octet-stream";
    response.body = bigEndian(topic.size(), OffsetBytes) + bigEndian(0, OffsetBytes);
    for (std::size_t index = offset; index < topic.size(); ++index) {
        const std::string content = std::string(1, static_cast<char>(topic[index].key.size()))
                                    + topic[index].key + topic[index].value;
        response.body += bigEndian(content.size(), LengthBytes) + content;
    }
    return response;
}

Response Store::newest(const Request &request)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const std::vector<Record> &topic = this->topics[queryValue(request, "topic")];
    std::map<std::string, std::size_t> last;
    for (std::size_t index = 0; index < topic.size(); ++index) {
        last[topic[index].key] = index;
    }
    Json items = Json::array();
    for (const auto &[key, index] : last) {
        if (!topic[index].value.empty()) {
            items.push_back(
                    {{"key", key}, {"value", base64(topic[index].value)}, {"offset", index}});
        }
    }
    return {200, Json{{"items", items}, {"hasMore", false}, {"endOffset", topic.size()}}.dump(),
            "application/json", false};
}

} // namespace Review
