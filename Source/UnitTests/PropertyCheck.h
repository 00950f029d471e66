#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <doctest/doctest.h>
#include <iostream>
#include <rapidcheck.h>
#include <sstream>
#include <string>
#include <vector>

/// Searches for a list of commands that violates an invariant.
namespace PropertyCheck {

struct Search
{
    std::string name;
    /// Number of command lists. Small enough for each build; the environment variables
    /// AUBURNTRAIL_PROPERTY_RUNS and AUBURNTRAIL_PROPERTY_SEED widen the search.
    int runs = 1;
    int maxSize = 60;
};

/// Value of an environment variable, or \a defaultValue if it is not set.
inline std::uint64_t readNumberVariable(const char *variable, std::uint64_t defaultValue)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? defaultValue : std::strtoull(text, nullptr, 10);
}

/// One step of a property test, with two numbers that select its target and its amount.
template <typename Kind>
struct Command
{
    Kind kind{};
    unsigned first = 0;
    unsigned second = 0;
};

template <typename Kind>
std::ostream &operator<<(std::ostream &stream, const Command<Kind> &command)
{
    return stream << command.kind << '(' << command.first << ',' << command.second << ')';
}

template <typename Kind>
rc::Gen<Command<Kind>> anyCommand(const rc::Gen<Kind> &kind)
{
    using BuiltCommand = Command<Kind>;
    constexpr unsigned Range = 1'000;
    return rc::gen::build<BuiltCommand>(
            rc::gen::set(&BuiltCommand::kind, kind),
            rc::gen::set(&BuiltCommand::first, rc::gen::inRange(0U, Range)),
            rc::gen::set(&BuiltCommand::second, rc::gen::inRange(0U, Range)));
}

/// Removes the commands without which the others still violate an invariant.
template <typename Command, typename FindViolations>
std::vector<Command> shrinkCommands(std::vector<Command> commands, std::uint64_t seed,
                                    FindViolations findViolations)
{
    for (std::size_t length = commands.size(); length > 0;) {
        bool isShorter = false;
        for (std::size_t from = 0; from + length <= commands.size();) {
            std::vector<Command> fewer = commands;
            const auto first = fewer.begin() + static_cast<std::ptrdiff_t>(from);
            fewer.erase(first, first + static_cast<std::ptrdiff_t>(length));
            if (findViolations(fewer, seed).empty()) {
                from += length;
            } else {
                commands = std::move(fewer);
                isShorter = true;
            }
        }
        length = isShorter ? std::min(length, commands.size()) : length / 2;
    }
    return commands;
}

/// Checks that random commands violate no invariant. \a findViolations executes commands with a
/// seed and returns the violations, or an empty string. \a printTrace executes the shortest failing
/// commands again and prints the events.
template <typename Command, typename FindViolations, typename PrintTrace>
void check(const Search &search, const rc::Gen<Command> &anyCommand, FindViolations findViolations,
           PrintTrace printTrace)
{
    constexpr std::size_t Commands = 60;
    rc::detail::TestParams parameters;
    parameters.seed = readNumberVariable("AUBURNTRAIL_PROPERTY_SEED", 1);
    parameters.maxSuccess = static_cast<int>(readNumberVariable(
            "AUBURNTRAIL_PROPERTY_RUNS", static_cast<std::uint64_t>(search.runs)));
    parameters.maxSize = search.maxSize;
    // The library would also shrink the numbers of the commands, which takes too long here.
    parameters.disableShrinking = true;
    bool isReported = false;
    const auto property = [&] {
        const auto commands = *rc::gen::container<std::vector<Command>>(Commands, anyCommand);
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        const std::string violations = findViolations(commands, seed);
        if (!violations.empty() && !isReported) {
            isReported = true;
            // Printed before shrinking, so that the failure is known even if the search is
            // interrupted while it shrinks.
            std::cerr << "seed " << seed << ": " << violations << '\n';
            const std::vector<Command> shrunk = shrinkCommands(commands, seed, findViolations);
            std::cerr << "shortest list:";
            for (const Command &command : shrunk) {
                std::cerr << ' ' << command;
            }
            std::cerr << '\n';
            printTrace(shrunk, seed);
        }
        RC_LOG(violations);
        RC_ASSERT(violations.empty());
    };
    const rc::detail::TestMetadata metadata{search.name, "Random commands break no promise"};
    const rc::detail::TestResult result = rc::detail::checkTestable(property, metadata, parameters);
    std::ostringstream report;
    rc::detail::printResultMessage(result, report);
    INFO(report.str());
    CHECK(result.template is<rc::detail::SuccessResult>());
}

template <typename Command, typename FindViolations>
void check(const Search &search, const rc::Gen<Command> &anyCommand, FindViolations findViolations)
{
    check(search, anyCommand, findViolations, [](const std::vector<Command> &, std::uint64_t) {});
}

} // namespace PropertyCheck
