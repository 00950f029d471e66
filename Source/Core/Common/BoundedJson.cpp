#include "Common/BoundedJson.h"

#include <cstddef>

namespace Common {

namespace {

/// Texts up to this length are parsed without being counted first: their values take a few
/// megabytes at most.
constexpr std::size_t MaxUncountedBytes = std::size_t{64} << 10U;
/// Names and values in a text. The longest messages, jobs of 360 tasks, have a few thousand.
constexpr std::size_t MaxValues = 50'000;

/// Counts the values of a text without keeping them.
class ValueCounter : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override { return this->count(); }
    bool boolean(bool) override { return this->count(); }
    bool number_integer(number_integer_t) override { return this->count(); }
    bool number_unsigned(number_unsigned_t) override { return this->count(); }
    bool number_float(number_float_t, const string_t &) override { return this->count(); }
    bool string(string_t &) override { return this->count(); }
    bool binary(binary_t &) override { return this->count(); }
    bool start_object(std::size_t) override { return this->count(); }
    bool key(string_t &) override { return this->count(); }
    bool end_object() override { return true; }
    bool start_array(std::size_t) override { return this->count(); }
    bool end_array() override { return true; }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

private:
    bool count() { return ++this->values <= MaxValues; }

    std::size_t values = 0;
};

} // namespace

nlohmann::json parseBoundedJson(const std::string &text)
{
    ValueCounter counter;
    if (text.size() > MaxUncountedBytes && !nlohmann::json::sax_parse(text, &counter)) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace Common
