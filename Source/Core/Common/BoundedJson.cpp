#include "Common/BoundedJson.h"

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace Common {

namespace {

/// Deeper nesting than in any message.
constexpr std::size_t MaxDepth = 24;
/// Beyond 2^53 a floating-point number does not represent every integer.
constexpr double MaxExactNumber = 9007199254740992.0;

/// Checks the bounds of a text without keeping its values.
class BoundsCheck : public nlohmann::json_sax<nlohmann::json>
{
public:
    explicit BoundsCheck(std::size_t maxValues)
        : maxValues(maxValues)
    {}

    bool null() override { return this->count(); }
    bool boolean(bool) override { return this->count(); }
    bool number_integer(number_integer_t) override { return this->count(); }
    bool number_unsigned(number_unsigned_t number) override
    {
        return number <= std::uint64_t{std::numeric_limits<std::int64_t>::max()} && this->count();
    }
    bool number_float(number_float_t number, const string_t &) override
    {
        return std::abs(number) <= MaxExactNumber && this->count();
    }
    bool string(string_t &) override { return this->count(); }
    bool binary(binary_t &) override { return this->count(); }
    bool start_object(std::size_t) override { return this->enter(); }
    bool key(string_t &) override { return this->count(); }
    bool end_object() override { return this->leave(); }
    bool start_array(std::size_t) override { return this->enter(); }
    bool end_array() override { return this->leave(); }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

private:
    bool count() { return ++this->values <= this->maxValues; }

    bool enter() { return ++this->depth <= MaxDepth && this->count(); }

    bool leave()
    {
        --this->depth;
        return true;
    }

    std::size_t maxValues = 0;
    std::size_t values = 0;
    std::size_t depth = 0;
};

} // namespace

nlohmann::json parseBoundedJson(const std::string &text, std::size_t maxValues)
{
    BoundsCheck check(maxValues);
    if (!nlohmann::json::sax_parse(text, &check)) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace Common
