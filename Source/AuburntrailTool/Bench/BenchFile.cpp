#include "Bench/BenchFile.h"

#include <set>

namespace Tool {

namespace {

using Json = nlohmann::json;

constexpr int MaxTasks = 360;
constexpr double MaxSeconds = 3600;

/// Reads members of a JSON object and keeps the first error.
class Reader
{
public:
    Reader(const Json &object, std::string where)
        : object(object)
        , where(std::move(where))
    {
        if (!object.is_object()) {
            this->error = this->where + ": expected lines of key: value";
        }
    }

    template <typename Value>
    void read(const char *key, Value &target, bool isRequired = false)
    {
        this->known.insert(key);
        if (!this->error.empty()) {
            return;
        }
        if (!this->object.contains(key)) {
            this->error = isRequired ? this->where + ": " + key + " is missing" : "";
            return;
        }
        try {
            target = this->object.at(key).template get<Value>();
        } catch (const Json::exception &) {
            this->error = this->where + ": " + key + ": found " + this->object.at(key).dump();
        }
    }

    template <typename Value>
    void readWithin(const char *key, Value &target, Value minimum, Value maximum)
    {
        this->read(key, target);
        if (this->error.empty() && !(target >= minimum && target <= maximum)) {
            this->error = this->where + ": " + key + ": allowed: " + std::to_string(minimum)
                          + " to " + std::to_string(maximum);
        }
    }

    /// Returns the first error, or an empty string. A member that was not read is an unknown key.
    std::string finish()
    {
        if (!this->error.empty()) {
            return this->error;
        }
        for (const auto &entry : this->object.items()) {
            if (this->known.count(entry.key()) == 0) {
                return this->where + ": " + entry.key() + ": unknown key";
            }
        }
        return {};
    }

private:
    const Json &object;
    std::string where;
    std::set<std::string> known;
    std::string error;
};

Common::Outcome<void> checked(Reader &reader)
{
    const std::string error = reader.finish();
    if (!error.empty()) {
        return Common::failure(Schema::Reason::Malformed, error);
    }
    return {};
}

Common::Outcome<BackendGroup> parseGroup(const Json &json)
{
    BackendGroup group;
    Reader reader(json, "backends");
    reader.readWithin("count", group.count, 1, 10000);
    reader.readWithin("slots", group.slots, 1, 1024);
    reader.readWithin("speed", group.speed, 0.01, 100.0);
    BOOST_LEAF_CHECK(checked(reader));
    return group;
}

Common::Outcome<LoadStream> parseStream(const Json &json)
{
    LoadStream stream;
    Reader reader(json, "streams");
    reader.read("name", stream.name, true);
    reader.read("team", stream.team, true);
    reader.read("caller", stream.caller, true);
    reader.read("service", stream.service, true);
    reader.readWithin("callers", stream.callers, 1, 1000000);
    reader.readWithin("share", stream.share, 0.0, 1000.0);
    reader.readWithin("leastTasks", stream.minTasks, 1, MaxTasks);
    reader.readWithin("mostTasks", stream.maxTasks, 1, MaxTasks);
    reader.readWithin("leastRunMs", stream.minRunMs, 1.0, 600000.0);
    reader.readWithin("mostRunMs", stream.maxRunMs, 1.0, 600000.0);
    reader.readWithin("deadlineMs", stream.deadlineMs, std::int64_t{1}, std::int64_t{3600000});
    reader.readWithin("payloadBytes", stream.payloadBytes, std::int64_t{0}, std::int64_t{1000000});
    reader.readWithin("declaredRunMs", stream.declaredRunMs, std::int64_t{0},
                      std::int64_t{3600000});
    BOOST_LEAF_CHECK(checked(reader));
    if (stream.minTasks > stream.maxTasks || stream.minRunMs > stream.maxRunMs) {
        return Common::failure(Schema::Reason::Malformed,
                               "streams: " + stream.name + ": a least value is above the most");
    }
    return stream;
}

} // namespace

Common::Outcome<BenchFile> parseBenchFile(const Json &json)
{
    BenchFile file;
    Json backends = Json::array();
    Json streams = Json::array();
    Reader reader(json, "bench file");
    reader.read("name", file.name, true);
    reader.read("seed", file.seed);
    reader.readWithin("seconds", file.seconds, 1.0, MaxSeconds);
    reader.readWithin("warmupSeconds", file.warmupSeconds, 0.0, MaxSeconds);
    reader.readWithin("load", file.load, 0.001, 100.0);
    reader.read("callerIds", file.hasCallerIds);
    reader.read("backends", backends, true);
    reader.read("streams", streams, true);
    BOOST_LEAF_CHECK(checked(reader));
    for (const Json &entry : backends) {
        BOOST_LEAF_AUTO(group, parseGroup(entry));
        file.backends.push_back(group);
    }
    for (const Json &entry : streams) {
        BOOST_LEAF_AUTO(stream, parseStream(entry));
        file.streams.push_back(stream);
    }
    if (file.backends.empty() || file.streams.empty()) {
        return Common::failure(Schema::Reason::Malformed,
                               "bench file: at least one of backends and streams each");
    }
    return file;
}

Common::Outcome<BenchFile> readBenchFile(const std::string &path)
{
    BOOST_LEAF_AUTO(json, Common::readYamlFile(path));
    return parseBenchFile(json);
}

} // namespace Tool
