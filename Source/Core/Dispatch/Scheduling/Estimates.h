#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

/// Run time estimates, learned from the outcomes of tasks.
///
/// Load pattern: declared sizes and run times are far off, and backend servers that were bought
/// over the years differ in speed. Without learned estimates, a declaration that is ten times too
/// high would cause the refusal of jobs that can meet their deadline, one that is ten times too low
/// would admit jobs that cannot, and slow backend servers would get as much work as fast ones.
///
/// Model: run time = base time of the task's profile x speed factor of the backend server. A
/// profile is a service together with the order of magnitude of the declared run time. The
/// declaration separates kinds of tasks and otherwise only serves as the initial estimate. The
/// product needs one figure for each service and each backend server instead of one for each pair
/// of them, so that the speed of a new backend server is known after some tens of tasks of any
/// service.
namespace Dispatch {

using ProfileId = std::uint32_t;

/// Each bucket is a fifth wider than the one before, so that quantiles are accurate to 10%,
/// from 1 ms to more than 30 minutes.
constexpr std::size_t RunBucketCount = 80;

/// Run times of one profile at speed factor 1.
struct RunProfile
{
    /// Initial estimate.
    double priorMs = 0;
    double meanMs = 0;
    /// Mean of the natural logarithm of the run time in milliseconds.
    double meanLog = 0;
    std::int64_t samples = 0;
    /// Sum of the buckets.
    double weight = 0;
    std::array<float, RunBucketCount> buckets{};
};

/// Speed factor of one backend server. A factor of 2 means half as fast as the average.
struct BackendSpeed
{
    /// Natural logarithm of the factor.
    double logFactor = 0;
    std::int64_t samples = 0;
};

struct Estimates
{
    /// Baseline for tests: declared run times are used as they are, learned ones are not.
    bool trustDeclared = false;
    std::vector<RunProfile> profiles;
    std::unordered_map<std::string, ProfileId> byKey;
};

/// Returns the profile for tasks of \a service with the declared run time \a declaredMs; 0 means
/// that none is declared. The number of profiles is limited: beyond the limit, tasks share the
/// profile that their service has for tasks without a declaration.
ProfileId findOrAddProfile(Estimates &estimates, const std::string &service,
                           std::int64_t declaredMs);

/// Whether the profile has too few outcomes for its estimates to be more than a guess.
bool isGuess(const Estimates &estimates, ProfileId profile);

/// Mean run time at factor 1 in milliseconds. Before the first outcome it is the initial estimate.
double meanRunMs(const Estimates &estimates, ProfileId profile);

/// Quantile of the run time at factor 1 in milliseconds. Without outcomes, it ranges from a tenth
/// of the initial estimate (quantile 0) to ten times as much (quantile 1).
double runQuantileMs(const Estimates &estimates, ProfileId profile, double quantile);

double speedFactor(const BackendSpeed &speed);

/// Moves the factor of a slow backend server towards 1 while it is idle. Otherwise it would get no
/// tasks, and its recovery would never be noticed.
void decaySlowness(BackendSpeed &speed, std::int64_t idleMs);

/// Learned figures of a profile, for exchange between processes.
struct ProfileSummary
{
    std::string key;
    double meanMs = 0;
    double meanLog = 0;
    std::int64_t samples = 0;
};

/// Returns all profiles that have outcomes, sorted by key.
std::vector<ProfileSummary> learnedProfiles(const Estimates &estimates);

/// Replaces a profile by that of another process, unless this process has at least as many outcomes
/// itself, or 16. Does nothing if the figures are not positive, or if the profile is new and the
/// limit on profiles is reached.
void importProfile(Estimates &estimates, const ProfileSummary &imported);

/// Likewise replaces the speed factor of a backend server.
void importSpeed(BackendSpeed &speed, const BackendSpeed &imported);

/// Updates the profile and the speed of the backend server with the run time of a successful task.
void recordRunTime(Estimates &estimates, ProfileId profile, BackendSpeed &speed, double runMs);

} // namespace Dispatch
