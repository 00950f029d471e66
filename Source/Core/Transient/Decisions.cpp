#include "Transient/Decisions.h"

namespace Transient {

namespace {

using Schema::GatewayDecision;

void switchOff(GatewayState &state, GatewayDecision decision)
{
    FleetDecisions &fleet = state.fleet.decisions;
    switch (decision) {
    case GatewayDecision::Admission:
        state.limits.refuses = false;
        break;
    case GatewayDecision::CorrectedPredictions:
        state.limits.correctsPredictions = false;
        break;
    case GatewayDecision::Patience:
        state.limits.countsWaiting = false;
        break;
    case GatewayDecision::Gathering:
        state.times.gatherMs = 0;
        break;
    case GatewayDecision::LearnedMemory:
        state.storesLearned = false;
        break;
    case GatewayDecision::WaitForecasts:
        fleet.usesForecasts = false;
        break;
    case GatewayDecision::LearnedSpeeds:
        fleet.learnsSpeeds = false;
        break;
    case GatewayDecision::Ejection:
        fleet.ejects = false;
        break;
    case GatewayDecision::Paces:
        fleet.usesPaces = false;
        break;
    case GatewayDecision::WaitWeight:
        fleet.weighsWaits = false;
        break;
    case GatewayDecision::RandomTies:
        fleet.breaksTies = false;
        break;
    case GatewayDecision::AvoidedAgents:
        fleet.avoidsAgents = false;
        break;
    case GatewayDecision::LateBinding:
        state.shared.bindsLate = false;
        break;
    case GatewayDecision::OwnDelay:
        state.shared.separatesOwnDelay = false;
        break;
    case GatewayDecision::WaitErrors:
        state.shared.learnsWaitErrors = false;
        break;
    case GatewayDecision::Displacement:
        state.shared.displaces = false;
        break;
    case GatewayDecision::Forwarding:
        state.shared.forwards = false;
        break;
    }
}

} // namespace

void switchOff(GatewayState &state, const std::vector<GatewayDecision> &disabled)
{
    for (const GatewayDecision decision : disabled) {
        switchOff(state, decision);
    }
}

} // namespace Transient
