#pragma once

#include <random>
#include <string>

namespace Common {

/// Source of randomness handed to decisions, so that a seed replays them.
using Random = std::mt19937_64;

/// Seeded from the operating system.
Random makeRandom();

/// 64 random bits in hexadecimal: unique for each start of a process, record or request.
std::string randomId(Random &random);

} // namespace Common
