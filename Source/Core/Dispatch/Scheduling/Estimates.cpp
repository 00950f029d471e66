#include "Dispatch/Scheduling/Estimates.h"

#include <algorithm>
#include <cmath>

namespace Dispatch {
namespace {

/// Initial estimate without a declaration: the middle, on a logarithmic scale, of the 50 ms to 1 s
/// that most tasks take.
constexpr double DefaultRunMs = 220;
constexpr double BucketGrowth = 1.2;
/// Weight of the initial estimate, in outcomes.
constexpr double PriorWeight = 3;
/// The initial estimate may be ten times too high or too low, as declared times are.
constexpr double PriorSpread = 10;
constexpr std::int64_t MinLearnedSamples = 8;
/// Bucket counts are halved at this weight: the estimate follows a changed service after about as
/// many outcomes, and the 95th percentile still rests on a dozen outcomes.
constexpr double MaxWeight = 512;
constexpr double MeanSmoothingSamples = 128;
/// Each outcome counts for a sixteenth: the factor has 20% noise for exponentially distributed run
/// times, and a backend server that is ten times slower than estimated is avoided after each of its
/// slots has completed about one task.
constexpr double SpeedSmoothingSamples = 16;
/// Outcomes only show the product of base time and factor. Shrinking the factor towards 1 keeps the
/// two from drifting in opposite directions.
constexpr double FactorShrinkage = 0.999;
constexpr double MaxLogFactor = 4.6;
/// An idle backend server that is ten times slower gets a task about once a minute.
constexpr double SlownessHalfLifeMs = 20000;
constexpr std::size_t MaxProfiles = 4096;
/// An imported estimate weighs at most as much as this many own outcomes: enough to be used at
/// once, few enough to be corrected within two dozen outcomes.
constexpr std::int64_t MaxImportedSamples = 16;

std::size_t bucketOf(double runMs)
{
    const double exponent = std::log(std::max(runMs, 1.0)) / std::log(BucketGrowth);
    return std::min(static_cast<std::size_t>(exponent), RunBucketCount - 1);
}

double bucketMiddleMs(std::size_t bucket)
{
    return std::pow(BucketGrowth, static_cast<double>(bucket) + 0.5);
}

int magnitudeOf(std::int64_t declaredMs)
{
    return declaredMs <= 0 ? -1 : static_cast<int>(std::log2(static_cast<double>(declaredMs)));
}

double blendWithPrior(const RunProfile &profile, double prior, double learned)
{
    const auto samples = static_cast<double>(profile.samples);
    return (PriorWeight * prior + samples * learned) / (PriorWeight + samples);
}

double learnedQuantileMs(const RunProfile &profile, double quantile)
{
    double left = quantile * profile.weight;
    for (std::size_t bucket = 0; bucket < RunBucketCount; ++bucket) {
        left -= profile.buckets[bucket];
        if (left <= 0 && profile.buckets[bucket] > 0) {
            return bucketMiddleMs(bucket);
        }
    }
    return profile.meanMs;
}

void countRun(RunProfile &profile, double baseMs)
{
    profile.buckets[bucketOf(baseMs)] += 1;
    profile.weight += 1;
    if (profile.weight < MaxWeight) {
        return;
    }
    for (float &count : profile.buckets) {
        count /= 2;
    }
    profile.weight /= 2;
}

std::string keyOf(const std::string &service, std::int64_t declaredMs)
{
    return service + '\n' + std::to_string(magnitudeOf(declaredMs));
}

ProfileId addProfile(Estimates &estimates, const std::string &key, const RunProfile &profile)
{
    const auto id = static_cast<ProfileId>(estimates.profiles.size());
    estimates.profiles.push_back(profile);
    estimates.byKey.emplace(key, id);
    return id;
}

} // namespace

ProfileId findOrAddProfile(Estimates &estimates, const std::string &service,
                           std::int64_t declaredMs)
{
    const std::string key = keyOf(service, declaredMs);
    const auto found = estimates.byKey.find(key);
    if (found != estimates.byKey.end()) {
        return found->second;
    }
    if (declaredMs > 0 && estimates.profiles.size() >= MaxProfiles) {
        return findOrAddProfile(estimates, service, 0);
    }
    RunProfile profile;
    profile.priorMs = declaredMs > 0 ? static_cast<double>(declaredMs) : DefaultRunMs;
    return addProfile(estimates, key, profile);
}

bool isGuess(const Estimates &estimates, ProfileId profile)
{
    return !estimates.trustDeclared && estimates.profiles[profile].samples < MinLearnedSamples;
}

double meanRunMs(const Estimates &estimates, ProfileId profile)
{
    const RunProfile &known = estimates.profiles[profile];
    if (estimates.trustDeclared) {
        return known.priorMs;
    }
    return blendWithPrior(known, known.priorMs, known.meanMs);
}

double runQuantileMs(const Estimates &estimates, ProfileId profile, double quantile)
{
    const RunProfile &known = estimates.profiles[profile];
    if (estimates.trustDeclared) {
        return known.priorMs;
    }
    const double prior = known.priorMs * std::pow(PriorSpread, 2 * quantile - 1);
    if (known.samples == 0) {
        return prior;
    }
    return blendWithPrior(known, prior, learnedQuantileMs(known, quantile));
}

double speedFactor(const BackendSpeed &speed)
{
    return std::exp(speed.logFactor);
}

void decaySlowness(BackendSpeed &speed, std::int64_t idleMs)
{
    if (speed.logFactor > 0) {
        speed.logFactor *= std::exp2(-static_cast<double>(idleMs) / SlownessHalfLifeMs);
    }
}

std::vector<ProfileSummary> learnedProfiles(const Estimates &estimates)
{
    std::vector<ProfileSummary> learned;
    for (const auto &[key, id] : estimates.byKey) {
        const RunProfile &profile = estimates.profiles[id];
        if (profile.samples > 0) {
            learned.push_back({key, profile.meanMs, profile.meanLog, profile.samples});
        }
    }
    std::sort(learned.begin(), learned.end(),
              [](const auto &left, const auto &right) { return left.key < right.key; });
    return learned;
}

void importProfile(Estimates &estimates, const ProfileSummary &imported)
{
    const auto found = estimates.byKey.find(imported.key);
    const bool isFull = found == estimates.byKey.end() && estimates.profiles.size() >= MaxProfiles;
    if (isFull || imported.meanMs <= 0 || imported.samples <= 0) {
        return;
    }
    const ProfileId id = found != estimates.byKey.end() ? found->second
                                                        : addProfile(estimates, imported.key, {});
    RunProfile &profile = estimates.profiles[id];
    const std::int64_t samples = std::min(imported.samples, MaxImportedSamples);
    if (profile.samples >= samples) {
        return;
    }
    profile.priorMs = imported.meanMs;
    profile.meanMs = imported.meanMs;
    profile.meanLog = imported.meanLog;
    profile.samples = samples;
    profile.buckets = {};
    profile.buckets[bucketOf(imported.meanMs)] = static_cast<float>(samples);
    profile.weight = static_cast<double>(samples);
}

void importSpeed(BackendSpeed &speed, const BackendSpeed &imported)
{
    const std::int64_t samples = std::min(imported.samples, MaxImportedSamples);
    if (speed.samples >= samples) {
        return;
    }
    speed.logFactor = std::clamp(imported.logFactor, -MaxLogFactor, MaxLogFactor);
    speed.samples = samples;
}

void recordRunTime(Estimates &estimates, ProfileId profile, BackendSpeed &speed, double runMs)
{
    RunProfile &known = estimates.profiles[profile];
    const double logRun = std::log(std::max(runMs, 1.0));
    const double baseMs = std::max(runMs, 1.0) / speedFactor(speed);
    known.samples += 1;
    const double share = 1 / std::min(static_cast<double>(known.samples), MeanSmoothingSamples);
    known.meanMs += share * (baseMs - known.meanMs);
    known.meanLog += share * (logRun - speed.logFactor - known.meanLog);
    countRun(known, baseMs);

    speed.samples += 1;
    const double speedShare =
            1 / std::min(static_cast<double>(speed.samples) + PriorWeight, SpeedSmoothingSamples);
    const double error = logRun - known.meanLog - speed.logFactor;
    const double moved = (speed.logFactor + speedShare * error) * FactorShrinkage;
    speed.logFactor = std::clamp(moved, -MaxLogFactor, MaxLogFactor);
}

} // namespace Dispatch
