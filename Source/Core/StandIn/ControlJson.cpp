#include "StandIn/ControlJson.h"

namespace StandIn {

namespace {

using Json = nlohmann::json;

bool isAcceptable(const Json &current, const Json &value)
{
    if (current.is_number_float()) {
        return value.is_number() && value.get<double>() >= 0;
    }
    if (current.is_number_integer()) {
        return value.is_number_integer() && value.get<std::int64_t>() >= 0;
    }
    return current.type() == value.type();
}

} // namespace

Common::Outcome<Json> mergeControl(Json current, const Json &change)
{
    if (!change.is_object()) {
        return Common::failure(Schema::Reason::Malformed, "expected a JSON object");
    }
    for (const auto &member : change.items()) {
        if (!current.contains(member.key())) {
            return Common::failure(Schema::Reason::Malformed, member.key() + ": unknown member");
        }
        if (!isAcceptable(current.at(member.key()), member.value())) {
            return Common::failure(Schema::Reason::Malformed, member.key() + ": wrong value");
        }
        current[member.key()] = member.value();
    }
    return current;
}

} // namespace StandIn
