#pragma once

#include "Common/Common.h"
#include "Schema/Schema.h"

/// Policies to start from, one for each of the two things that users weigh: response time, and the
/// messages that it costs. An operator publishes one and changes single figures from there.
namespace Dispatch {

enum class PolicyPreset {
    /// Every second counts: each start leaves at once, the queue is kept short.
    ResponseTime,
    /// Needless traffic counts: starts wait a little for others to the same agent.
    FewMessages
};

constexpr Common::NameTable<PolicyPreset, 2> PolicyPresetNames{{
        {PolicyPreset::ResponseTime, "response-time"},
        {PolicyPreset::FewMessages, "few-messages"},
}};

/// The defaults, with the figures of \a preset.
Schema::Policy presetPolicy(PolicyPreset preset);

} // namespace Dispatch
