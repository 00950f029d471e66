#include "Agent/Effects.h"

#include "Common/Common.h"

namespace Agent {

std::size_t TaskKeyHash::operator()(const TaskKey &key) const
{
    constexpr std::uint64_t IndexMultiplier = 0x9e3779b97f4a7c15ULL;
    return Common::hash64(key.job) ^ (static_cast<std::uint64_t>(key.index) * IndexMultiplier);
}

} // namespace Agent
