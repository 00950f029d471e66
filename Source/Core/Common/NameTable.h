#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Common {

/// One row of an enumeration's table of names.
template <typename Enum>
struct NamedValue
{
    Enum value;
    std::string_view name;
};

template <typename Enum, std::size_t Size>
using NameTable = std::array<NamedValue<Enum>, Size>;

template <typename Enum, std::size_t Size>
constexpr std::string_view nameOf(const NameTable<Enum, Size> &table, Enum value)
{
    for (const NamedValue<Enum> &row : table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "?";
}

template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> valueOf(const NameTable<Enum, Size> &table, std::string_view name)
{
    for (const NamedValue<Enum> &row : table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace Common
