#include "Transient/Plausibility.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "Common/Common.h"

namespace Transient {

namespace {

/// Names of instances, failure domains, services, queues and labels.
constexpr std::size_t MaxNameBytes = 255;
constexpr std::size_t MaxLabels = 64;
/// Beyond 2^53 not every program that writes JSON keeps an integer as it is.
constexpr std::int64_t MaxTimeMs = std::int64_t{1} << 53U;
/// One announcement a millisecond for three weeks, or ten a second for six years.
constexpr std::int64_t MaxSequence = std::int64_t{1} << 31U;
constexpr double MaxRunMs = 86'400'000;
/// Natural logarithms of run times and of ratios of run times stay far below this.
constexpr double MaxLog = 32;
// As in the schema of the messages.
constexpr double MaxProcessors = 4096;
constexpr std::int64_t MaxMemoryMb = 16'777'216;
constexpr std::int64_t MaxAccelerators = 64;

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= MaxNameBytes;
}

bool areLabels(const std::vector<std::string> &labels)
{
    return labels.size() <= MaxLabels
           && std::all_of(labels.begin(), labels.end(),
                          [](const std::string &label) { return label.size() <= MaxNameBytes; });
}

bool isBetween(std::int64_t value, std::int64_t least, std::int64_t most)
{
    return value >= least && value <= most;
}

bool isBetween(double value, double least, double most)
{
    return std::isfinite(value) && value >= least && value <= most;
}

} // namespace

std::optional<std::string> problemWith(const Schema::Member &gateway)
{
    if (!isName(gateway.instance) || gateway.failureDomain.size() > MaxNameBytes) {
        return "instance or failureDomain is no name";
    }
    if (!Common::isHost(gateway.host)) {
        return "host is no name or address of a machine";
    }
    if (!isBetween(gateway.peerPort, 1, Common::MaxPort)
        || !isBetween(gateway.httpPort, 0, Common::MaxPort)) {
        return "a port is out of range";
    }
    if (gateway.heardMsAgo && !isBetween(*gateway.heardMsAgo, 0, MaxTimeMs)) {
        return "heardMsAgo is out of range";
    }
    return std::nullopt;
}

std::optional<std::string> problemWith(const Schema::LearnedTimes &learned)
{
    if (!isName(learned.gateway) || !isBetween(learned.writtenMs, 0, MaxTimeMs)) {
        return "gateway or writtenMs is out of range";
    }
    for (const Schema::LearnedProfile &profile : learned.profiles) {
        if (!isBetween(profile.meanMs, 0, MaxRunMs) || !isBetween(profile.meanLog, -MaxLog, MaxLog)
            || profile.samples < 0) {
            return "a profile is out of range";
        }
    }
    for (const Schema::LearnedSpeed &speed : learned.speeds) {
        if (!isBetween(speed.logFactor, -MaxLog, MaxLog) || speed.samples < 0
            || !areLabels(speed.labels)) {
            return "a speed is out of range";
        }
    }
    for (const Schema::LearnedPatience &patience : learned.patiences) {
        if (!isBetween(patience.usualMs, 0, MaxRunMs) || patience.samples < 0) {
            return "a patience is out of range";
        }
    }
    return std::nullopt;
}

std::optional<std::string> problemWith(const BackendAnnouncement &announcement)
{
    if (!isName(announcement.id) || !isName(announcement.service)) {
        return "id or service is no name";
    }
    if (!Common::isHostAndPort(announcement.address)) {
        return "address must be host:port with a port from 1 to 65535";
    }
    if (!isBetween(announcement.startedAtMs, 0, MaxTimeMs)) {
        return "the start time is out of range";
    }
    if (!isBetween(announcement.sequence, 0, MaxSequence)) {
        return "the sequence is out of range";
    }
    const Schema::Resources &resources = announcement.resources;
    if (!isBetween(resources.processors, 0, MaxProcessors)
        || !isBetween(resources.memoryMb, 0, MaxMemoryMb)
        || !isBetween(resources.accelerators, 0, MaxAccelerators)) {
        return "the capacity is out of range";
    }
    if (!areLabels(announcement.labels)) {
        return "there are too many labels, or one is no name";
    }
    return std::nullopt;
}

} // namespace Transient
