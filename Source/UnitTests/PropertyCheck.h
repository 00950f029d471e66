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

/// Searches for a list of commands that breaks a promise.
namespace PropertyCheck {

struct Search
{
    std::string name;
    /// A short run for each build; AUBURNTRAIL_PROPERTY_RUNS and _SEED widen the search.
    int runs = 1;
    int maxSize = 60;
};

inline std::uint64_t numberFrom(const char *variable, std::uint64_t usual)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? usual : std::strtoull(text, nullptr, 10);
}

/// What a property test does next, and two numbers that say to whom and how much.
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
    using Made = Command<Kind>;
    constexpr unsigned Range = 1'000;
    return rc::gen::build<Made>(rc::gen::set(&Made::kind, kind),
                                rc::gen::set(&Made::first, rc::gen::inRange(0U, Range)),
                                rc::gen::set(&Made::second, rc::gen::inRange(0U, Range)));
}

/// Leaves out whatever the commands break a promise without.
template <typename Command, typename PromisesBroken>
std::vector<Command> shortest(std::vector<Command> commands, std::uint64_t seed,
                              PromisesBroken promisesBroken)
{
    for (std::size_t length = commands.size(); length > 0;) {
        bool isShorter = false;
        for (std::size_t from = 0; from + length <= commands.size();) {
            std::vector<Command> fewer = commands;
            const auto first = fewer.begin() + static_cast<std::ptrdiff_t>(from);
            fewer.erase(first, first + static_cast<std::ptrdiff_t>(length));
            if (promisesBroken(fewer, seed).empty()) {
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

/// \a promisesBroken plays commands with a seed and tells what broke, or nothing; \a tellStory
/// writes down what happens when they are played.
template <typename Command, typename PromisesBroken, typename TellStory>
void check(const Search &search, const rc::Gen<Command> &anyCommand, PromisesBroken promisesBroken,
           TellStory tellStory)
{
    constexpr std::size_t Commands = 60;
    rc::detail::TestParams parameters;
    parameters.seed = numberFrom("AUBURNTRAIL_PROPERTY_SEED", 1);
    parameters.maxSuccess = static_cast<int>(
            numberFrom("AUBURNTRAIL_PROPERTY_RUNS", static_cast<std::uint64_t>(search.runs)));
    parameters.maxSize = search.maxSize;
    // The library shrinks the numbers of the commands as well, which takes too long here.
    parameters.disableShrinking = true;
    bool isTold = false;
    const auto property = [&] {
        const auto commands = *rc::gen::container<std::vector<Command>>(Commands, anyCommand);
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        const std::string broken = promisesBroken(commands, seed);
        if (!broken.empty() && !isTold) {
            isTold = true;
            // At once: a search that is cut off while it shrinks has then still told what it found.
            std::cerr << "seed " << seed << ": " << broken << '\n';
            const std::vector<Command> fewest = shortest(commands, seed, promisesBroken);
            std::cerr << "shortest list:";
            for (const Command &command : fewest) {
                std::cerr << ' ' << command;
            }
            std::cerr << '\n';
            tellStory(fewest, seed);
        }
        RC_LOG(broken);
        RC_ASSERT(broken.empty());
    };
    const rc::detail::TestMetadata metadata{search.name, "Random commands break no promise"};
    const rc::detail::TestResult result = rc::detail::checkTestable(property, metadata, parameters);
    std::ostringstream report;
    rc::detail::printResultMessage(result, report);
    INFO(report.str());
    CHECK(result.template is<rc::detail::SuccessResult>());
}

template <typename Command, typename PromisesBroken>
void check(const Search &search, const rc::Gen<Command> &anyCommand, PromisesBroken promisesBroken)
{
    check(search, anyCommand, promisesBroken, [](const std::vector<Command> &, std::uint64_t) {});
}

} // namespace PropertyCheck
