#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"
#include "Transient/Capacity.h"
#include "Transient/Effects.h"
#include "Transient/ProcessorUse.h"
#include "Transient/Submission.h"

/// Forwards submissions from gateways that are short of processor time to others, which then own
/// the jobs.
///
/// Load pattern: callers spread over gateways that differ in size. A frame costs a gateway about
/// 60 us and a job about fourteen frames; gateways with an eighth of a processor answer late while
/// others have processors to spare. Forwarding costs two frames.
///
/// A peer is identified by a key for one link to it. All frames of a forwarded job pass on the link
/// it was sent on: both gateways end what was forwarded on a link when they lose it, and neither
/// waits for a frame that was lost with it.
namespace Transient {

struct GatewayState;

/// A linked gateway that takes forwarded jobs.
struct ForwardingPeer
{
    double spareProcessors = 0;
    /// Jobs that may still be sent before its next announcement.
    double budget = 0;
    /// Time of its last announcement on its own steady clock, and on that of this gateway.
    std::int64_t sentMs = 0;
    std::int64_t heardMs = 0;
};

/// A job that this gateway has forwarded.
struct ForwardedOut
{
    std::string peer;
    /// Identifies the job in the frames.
    std::string token;
    /// Requests that wait for the result.
    std::vector<std::string> tokens;
    /// Kept in case the peer does not take the job.
    Submission submission;
    std::int64_t arrivedMs = 0;
    std::int64_t deadlineMs = 0;
    /// No request waits any more; the record is kept until nothing of the job can run.
    bool isCancelled = false;
    std::optional<std::int64_t> lostAtMs;
};

/// A job that another gateway has forwarded to this one.
struct ForwardedIn
{
    std::string peer;
    /// The sender's token.
    std::string token;
    std::string job;
    /// Sent when the record of the job is gone.
    std::optional<JobResult> unsentResult;
};

struct Forwarding
{
    ProcessorUse use;
    /// By key.
    std::map<std::string, ForwardingPeer> peers;
    /// By job id.
    std::unordered_map<std::string, ForwardedOut> out;
    /// By the token that the job has at this gateway.
    std::map<std::string, ForwardedIn> in;
    std::uint64_t lastToken = 0;
};

/// Whether this gateway forwards jobs or takes forwarded ones.
bool takesPartInForwarding(const GatewayState &state);
/// Processors that this gateway gets if it needs them; see ProcessorUse.h.
double availableProcessors(const GatewayState &state);
/// What the machine can carry now.
Capacity presentCapacity(const GatewayState &state);
/// Processors that this gateway has for forwarded jobs.
double spareProcessors(const GatewayState &state);
/// Share of the submissions that a gateway forwards.
double forwardedShare(double usedShare);
/// Longest time between two announcements to a gateway while forwarding is active.
constexpr std::int64_t SpareIntervalMs = ProcessorSampleMs;
/// Adds what \a peer needs to forward jobs to an announcement to it.
void addSpare(Schema::GatewayAnnouncement &announcement, const GatewayState &state,
              const std::string &peer, Common::Moment now);
/// Handles an announcement of the peer.
void spareAnnounced(GatewayState &state, const std::string &peer,
                    const Schema::GatewayAnnouncement &announcement, Common::Moment now);

Effects forwardedJobReceived(GatewayState &state, const std::string &peer,
                             const Schema::ForwardedJob &job, Common::Moment now,
                             Common::Random &random);
Effects forwardedCancelReceived(GatewayState &state, const std::string &peer,
                                const Schema::ForwardedCancel &cancel, Common::Moment now);
Effects forwardedResultReceived(GatewayState &state, const std::string &peer,
                                const Schema::ForwardedResult &result, Common::Moment now,
                                Common::Random &random);
/// Handles the end of the link to a peer.
Effects handlePeerLost(GatewayState &state, const std::string &peer, Common::Moment now);

/// Effects that send the answer to the gateway that has forwarded the job; nothing if the request
/// came from a caller. For each AnswerCaller, this is called before it is carried out.
std::optional<Effects> answerForwarded(GatewayState &state, const AnswerCaller &answer);
/// True if jobs forwarded on the link are open.
bool usesPeer(const Forwarding &forwarding, const std::string &peer);

} // namespace Transient
