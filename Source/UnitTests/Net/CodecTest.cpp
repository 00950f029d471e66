#include <doctest/doctest.h>
#include <random>

#include "Net/Codec.h"

namespace {

using Json = nlohmann::json;

std::string cborOf(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Schema::Frame startTasksFrame(const std::string &payload)
{
    Schema::StartTask task;
    task.job = "job-1";
    task.index = 3;
    task.epoch = std::int64_t{1} << 40U;
    task.payload = payload;
    Schema::StartTasks start;
    start.demand = 7;
    start.tasks.push_back(task);
    Schema::Frame frame;
    frame.type = Schema::FrameType::StartTasks;
    frame.startTasks = start;
    return frame;
}

/// Reason with which a frame is refused, or None if it is accepted.
Schema::Reason refusalOf(const std::string &bytes)
{
    return Common::handle(
            [&bytes]() -> Common::Outcome<Schema::Reason> {
                BOOST_LEAF_CHECK(Net::decodeFrame(bytes));
                return Schema::Reason::None;
            },
            [](const Common::Failure &failed) { return failed.reason; });
}

} // namespace

TEST_CASE("A frame comes back as it was")
{
    const std::string binary("\0\x01\xff\"\\ \xc3", 7);
    for (const std::string &payload : {std::string(), binary, std::string(1U << 20U, 'x')}) {
        const Schema::Frame frame = startTasksFrame(payload);
        const auto back = Net::decodeFrame(Net::encodeFrame(frame));
        REQUIRE(back);
        CHECK(Json(*back).at("startTasks").at("tasks").at(0).at("payload") == payload);
        CHECK(Json::to_cbor(Json(*back)) == Json::to_cbor(Json(frame)));
    }
}

TEST_CASE("Frames about forwarded jobs come back as they were")
{
    // Guards against a frame type without its member in the codec: the receiver closed the link.
    Schema::Frame job = Schema::frameOf(Schema::FrameType::ForwardedJob);
    job.forwardedJob = Schema::ForwardedJob{};
    job.forwardedJob->job = "job";
    job.forwardedJob->steps.emplace_back();
    Schema::Frame result = Schema::frameOf(Schema::FrameType::ForwardedResult);
    result.forwardedResult = Schema::ForwardedResult{};
    result.forwardedResult->outcome = Schema::TransientOutcome::Refused;
    result.forwardedResult->reason = Schema::Reason::Displaced;
    Schema::Frame cancel = Schema::frameOf(Schema::FrameType::ForwardedCancel);
    cancel.forwardedCancel = Schema::ForwardedCancel{"token"};
    for (const Schema::Frame &frame : {job, result, cancel}) {
        const std::string bytes = Net::encodeFrame(frame);
        const auto decoded = Net::decodeFrame(bytes);
        REQUIRE(decoded);
        CHECK(Net::encodeFrame(*decoded) == bytes);
    }
}

TEST_CASE("Bytes that are no frame are refused as malformed")
{
    const Json pong = {{"instance", "g"},
                       {"sequence", 1},
                       {"tableVersion", 0},
                       {"configVersion", 0},
                       {"demand", 0}};
    Json wrongType = pong;
    wrongType["demand"] = "many";
    Json hugeNumber = pong;
    hugeNumber["demand"] = 1e300;
    Json unsignedNumber = pong;
    unsignedNumber["demand"] = std::uint64_t{1} << 63U;
    Json notANumber = pong;
    notANumber["demand"] = std::nan("");
    const std::string good = cborOf({{"type", "gateway_pong"}, {"gatewayPong", pong}});
    constexpr std::size_t DeepBytes = std::size_t{8} << 20U;

    struct Row
    {
        const char *name;
        std::string bytes;
        Schema::Reason reason;
    };
    const Row rows[] = {
            {"well formed", good, Schema::Reason::None},
            {"empty", "", Schema::Reason::Malformed},
            {"JSON text", R"({"type":"gateway_pong"})", Schema::Reason::Malformed},
            {"truncated", good.substr(0, good.size() - 1), Schema::Reason::Malformed},
            {"trailing byte", good + '\0', Schema::Reason::Malformed},
            {"member missing", cborOf({{"type", "gateway_pong"}}), Schema::Reason::Malformed},
            {"other member", cborOf({{"type", "agent_hello"}, {"gatewayPong", pong}}),
             Schema::Reason::Malformed},
            {"two members",
             cborOf({{"type", "gateway_pong"}, {"gatewayPong", pong}, {"peerPing", nullptr}}),
             Schema::Reason::Malformed},
            {"unknown type", cborOf({{"type", "hello"}, {"gatewayPong", pong}}),
             Schema::Reason::Malformed},
            {"text for a number", cborOf({{"type", "gateway_pong"}, {"gatewayPong", wrongType}}),
             Schema::Reason::Malformed},
            {"number too large", cborOf({{"type", "gateway_pong"}, {"gatewayPong", hugeNumber}}),
             Schema::Reason::Malformed},
            {"unsigned too large",
             cborOf({{"type", "gateway_pong"}, {"gatewayPong", unsignedNumber}}),
             Schema::Reason::Malformed},
            {"not a number", cborOf({{"type", "gateway_pong"}, {"gatewayPong", notANumber}}),
             Schema::Reason::Malformed},
            {"not an object", cborOf(Json::array({1, 2})), Schema::Reason::Malformed},
            // Deep nesting: a decoder that recurses once per byte overflows its stack.
            {"deep arrays", std::string(DeepBytes, '\x81'), Schema::Reason::Malformed},
            {"deep chunks", std::string(DeepBytes, '\x7f'), Schema::Reason::Malformed},
            {"deep tags", std::string(DeepBytes, '\xc1'), Schema::Reason::Malformed},
            {"long claim", std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9),
             Schema::Reason::Malformed},
            {"above the bound", std::string(Net::MaxFrameBytes + 1, '\0'),
             Schema::Reason::Malformed},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        CHECK(refusalOf(row.bytes) == row.reason);
    }
}

TEST_CASE("Damaged frames never do more than fail")
{
    constexpr int Rounds = 20000;
    const std::string good = Net::encodeFrame(startTasksFrame("payload"));
    std::mt19937_64 random(7);
    int refused = 0;
    for (int round = 0; round < Rounds; ++round) {
        std::string bytes = good;
        const auto changes = 1 + random() % 4;
        for (std::uint64_t change = 0; change < changes; ++change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        refused += refusalOf(bytes) == Schema::Reason::Malformed ? 1 : 0;
    }
    CHECK(refused > 0);
    CHECK(refused < Rounds);
}
