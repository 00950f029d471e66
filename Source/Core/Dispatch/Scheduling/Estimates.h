#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

/// How long tasks run, learned from their outcomes.
///
/// Load pattern: declared sizes and run times are far off, and backend servers that were bought
/// over years differ in speed. Without this, a declaration ten times too high refuses jobs that
/// would have made their deadline, one ten times too low admits jobs that cannot, and slow backend
/// servers get as much work as fast ones.
///
/// Model: run time = base of the task's profile x factor of the backend server. A profile is a
/// service together with the order of magnitude that was declared: the declaration tells sorts of
/// task apart and is otherwise only the first guess. The product needs services + backend servers
/// figures in place of services x backend servers, so that a new backend server is known after some
/// tens of tasks of any service.
namespace Dispatch {

using ProfileId = std::uint32_t;

/// Buckets grow by a fifth: a quantile is known to within 10%, from 1 ms to more than 30 minutes.
constexpr std::size_t RunBucketCount = 80;

/// Run times of one profile on a backend server of factor 1.
struct RunProfile
{
    double priorMs = 0;
    double meanMs = 0;
    double meanLog = 0;
    std::int64_t samples = 0;
    double weight = 0;
    std::array<float, RunBucketCount> buckets{};
};

/// Factor of one backend server: 2 is half as fast as the average.
struct BackendSpeed
{
    double logFactor = 0;
    std::int64_t samples = 0;
};

struct Estimates
{
    /// Baseline for tests: the declaration is the truth and nothing is learned.
    bool trustDeclared = false;
    std::vector<RunProfile> profiles;
    std::unordered_map<std::string, ProfileId> byKey;
};

/// The profile for tasks of \a service with this declaration; \a declaredMs of 0 is none. Profiles
/// are bounded in number: past the bound, a service's tasks share its profile without declaration.
ProfileId findOrAddProfile(Estimates &estimates, const std::string &service,
                           std::int64_t declaredMs);

/// Few outcomes known: what is said of run times is a guess.
bool isGuess(const Estimates &estimates, ProfileId profile);

/// Mean run time at factor 1, from the first guess on.
double meanRunMs(const Estimates &estimates, ProfileId profile);

/// Run time at factor 1 that the share \a quantile of tasks stays under. For a guess the range is
/// wide: a tenth of it to ten times.
double runQuantileMs(const Estimates &estimates, ProfileId profile, double quantile);

double speedFactor(const BackendSpeed &speed);

/// A slow backend server that gets nothing is forgiven with time: otherwise one that has recovered
/// would never be found out.
void decaySlowness(BackendSpeed &speed, std::int64_t idleMs);

/// What another process has learned of a profile.
struct ProfileSummary
{
    std::string key;
    double meanMs = 0;
    double meanLog = 0;
    std::int64_t samples = 0;
};

/// Every profile that outcomes are known of.
std::vector<ProfileSummary> learnedProfiles(const Estimates &estimates);

/// Takes a profile over from another process, unless this one knows as much by itself.
void importProfile(Estimates &estimates, const ProfileSummary &imported);

/// The same of a backend server's factor.
void importSpeed(BackendSpeed &speed, const BackendSpeed &imported);

/// Takes in the run time of a task that succeeded.
void recordRunTime(Estimates &estimates, ProfileId profile, BackendSpeed &speed, double runMs);

} // namespace Dispatch
