#pragma once

#include "Common/Common.h"
#include "Schema/Schema.h"

/// Predefined policies, one for each of two goals that compete: short response times and few
/// messages. An operator publishes one of them and then changes single values.
namespace Dispatch {

enum class PolicyPreset {
    /// Short response times: each start is sent at once, and the queue is kept short.
    ResponseTime,
    /// Little traffic: starts wait for a short time, to be sent together with others to the same
    /// agent.
    FewMessages
};

constexpr Common::NameTable<PolicyPreset, 2> PolicyPresetNames{{
        {PolicyPreset::ResponseTime, "response-time"},
        {PolicyPreset::FewMessages, "few-messages"},
}};

/// The default policy with the values of \a preset.
Schema::Policy presetPolicy(PolicyPreset preset);

} // namespace Dispatch
