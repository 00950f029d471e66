#pragma once

#include <random>
#include <string>

namespace Common {

/// Random number generator that is passed to decision code, so that a seed reproduces its
/// decisions.
using Random = std::mt19937_64;

/// Returns a generator seeded by the operating system.
Random makeRandom();

/// 64 random bits in hexadecimal: a unique id for an incarnation of a process, a record or a
/// request.
std::string randomId(Random &random);

} // namespace Common
