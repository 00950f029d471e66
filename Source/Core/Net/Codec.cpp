#include "Net/Codec.h"

#include <cmath>
#include <cstring>
#include <exception>
#include <limits>
#include <nlohmann/json.hpp>

#include "Common/NameTable.h"

namespace Net {

namespace {

using Json = nlohmann::json;
using Schema::FrameType;

constexpr std::size_t FrameTypeCount = 23;
constexpr Common::NameTable<FrameType, FrameTypeCount> FrameMembers{{
        {FrameType::AgentHello, "agentHello"},
        {FrameType::GatewayPong, "gatewayPong"},
        {FrameType::StartTasks, "startTasks"},
        {FrameType::TaskStates, "taskStates"},
        {FrameType::AcknowledgeTasks, "acknowledgeTasks"},
        {FrameType::CancelTasks, "cancelTasks"},
        {FrameType::AskTasks, "askTasks"},
        {FrameType::PeerPing, "peerPing"},
        {FrameType::Forward, "forward"},
        {FrameType::ForwardAnswer, "forwardAnswer"},
        {FrameType::Handover, "handover"},
        {FrameType::HandoverAccepted, "handoverAccepted"},
        {FrameType::AskAgents, "askAgents"},
        {FrameType::KnownAgents, "knownAgents"},
        {FrameType::AgentAnnouncement, "agentAnnouncement"},
        {FrameType::AgentReport, "agentReport"},
        {FrameType::TaskOrders, "taskOrders"},
        {FrameType::WithdrawTasks, "withdrawTasks"},
        {FrameType::GatewayAnnouncement, "gatewayAnnouncement"},
        {FrameType::QueueTable, "queueTable"},
        {FrameType::ForwardedJob, "forwardedJob"},
        {FrameType::ForwardedResult, "forwardedResult"},
        {FrameType::ForwardedCancel, "forwardedCancel"},
}};

/// Deeper nesting than in any message of the schema.
constexpr std::size_t MaxDepth = 24;
/// Beyond 2^53 a floating-point number does not represent every integer.
constexpr double MaxExactNumber = 9007199254740992.0;

constexpr unsigned MajorTypeShift = 5;
constexpr unsigned AdditionalMask = 0x1f;
constexpr unsigned OneByteArgument = 24;
constexpr unsigned EightByteArgument = 27;

enum class MajorType { Unsigned, Negative, Bytes, Text, Array, Map, Tag, Simple };

/// Head of a CBOR item: its type and argument.
struct ItemHead
{
    MajorType type = MajorType::Simple;
    unsigned additional = 0;
    std::uint64_t argument = 0;
};

bool readHead(std::string_view &bytes, ItemHead &head)
{
    if (bytes.empty()) {
        return false;
    }
    const auto first = static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    head.type = static_cast<MajorType>(first >> MajorTypeShift);
    head.additional = first & AdditionalMask;
    head.argument = head.additional;
    if (head.additional < OneByteArgument) {
        return true;
    }
    // Also rejects indefinite lengths: they nest without limit, and encodeFrame() never writes
    // them.
    if (head.additional > EightByteArgument) {
        return false;
    }
    const std::size_t length = std::size_t{1} << (head.additional - OneByteArgument);
    if (bytes.size() < length) {
        return false;
    }
    head.argument = 0;
    for (std::size_t index = 0; index < length; ++index) {
        head.argument = (head.argument << 8U) | static_cast<unsigned char>(bytes[index]);
    }
    bytes.remove_prefix(length);
    return true;
}

bool isUsableSimple(const ItemHead &head)
{
    constexpr unsigned False = 20;
    constexpr unsigned Null = 22;
    constexpr unsigned Float = 26;
    constexpr unsigned Double = 27;
    double number = 0;
    if (head.additional >= False && head.additional <= Null) {
        return true;
    }
    if (head.additional == Float) {
        const auto bits = static_cast<std::uint32_t>(head.argument);
        float value = 0;
        std::memcpy(&value, &bits, sizeof value);
        number = value;
    } else if (head.additional == Double) {
        std::memcpy(&number, &head.argument, sizeof number);
    } else {
        return false;
    }
    return std::isfinite(number) && std::abs(number) <= MaxExactNumber;
}

/// Whether \a bytes are one CBOR item that the JSON library can parse safely. The library recurses
/// once for each nested array, map or chunk: a megabyte of opening bytes would overflow the stack
/// and crash the process. This check limits the depth and does not recurse. It also rejects numbers
/// that do not fit the schema's types, because their conversion is undefined behavior.
bool isSafeItem(std::string_view bytes)
{
    std::size_t depth = 0;
    std::uint64_t remaining[MaxDepth] = {1};
    while (true) {
        while (remaining[depth] == 0) {
            if (depth == 0) {
                return bytes.empty();
            }
            --depth;
        }
        --remaining[depth];
        ItemHead head;
        if (!readHead(bytes, head)) {
            return false;
        }
        switch (head.type) {
        case MajorType::Unsigned:
        case MajorType::Negative:
            if (head.argument > std::uint64_t{std::numeric_limits<std::int64_t>::max()}) {
                return false;
            }
            break;
        case MajorType::Text:
            if (head.argument > bytes.size()) {
                return false;
            }
            bytes.remove_prefix(head.argument);
            break;
        case MajorType::Array:
        case MajorType::Map: {
            // Each item takes at least one byte, so a larger count is invalid. The limit also
            // keeps the product below small.
            if (head.argument > bytes.size() || depth + 1 == MaxDepth) {
                return false;
            }
            const std::uint64_t itemsForEach = head.type == MajorType::Map ? 2 : 1;
            remaining[++depth] = head.argument * itemsForEach;
            break;
        }
        case MajorType::Simple:
            if (!isUsableSimple(head)) {
                return false;
            }
            break;
        default:
            return false;
        }
    }
}

boost::leaf::error_id malformed(const std::string &detail)
{
    return Common::failure(Schema::Reason::Malformed, "frame: " + detail);
}

bool hasOnlyMember(const Json &json, FrameType type)
{
    const std::string member(Common::nameOf(FrameMembers, type));
    return json.size() == 2 && json.contains(member);
}

} // namespace

std::string encodeFrame(const Schema::Frame &frame)
{
    std::string bytes;
    Json::to_cbor(Json(frame), bytes);
    return bytes;
}

Common::Outcome<Schema::Frame> decodeFrame(std::string_view bytes)
{
    if (bytes.size() > MaxFrameBytes) {
        return malformed("longer than " + std::to_string(MaxFrameBytes) + " bytes");
    }
    if (!isSafeItem(bytes)) {
        return malformed("not CBOR in the form that frames use");
    }
    try {
        const Json json = Json::from_cbor(bytes);
        auto frame = json.get<Schema::Frame>();
        if (!hasOnlyMember(json, frame.type)) {
            return malformed("does not have exactly the member that its type names");
        }
        return frame;
    } catch (const std::exception &error) {
        return malformed(error.what());
    }
}

} // namespace Net
