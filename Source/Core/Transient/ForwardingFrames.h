#pragma once

#include <string>

#include "Transient/Forwarding.h"

/// Frames about forwarded jobs, and the log lines of their ends; not part of the interface.
namespace Transient {

/// Frame that forwards the job. Times in the frame are relative to \a now.
Schema::Frame jobFrame(const ForwardedOut &record, const ForwardingPeer &peer, Common::Moment now);
/// The submission that another gateway has forwarded, with \a token for its request here.
Submission submissionOf(const Schema::ForwardedJob &job, std::string token, Common::Moment now);

SendToGateway cancelOf(const ForwardedOut &record);
SendToGateway resultFrame(const std::string &peer, const std::string &token,
                          const JobResult &result);
JobResult resultOf(const Schema::ForwardedResult &received);

/// Logs and counts the end of a forwarded job. \a direction is "out" at the gateway that has
/// forwarded it and "in" at the other one.
void reportEnd(Effects &effects, const std::string &direction, const std::string &job,
               const std::string &peer, const JobResult &result);

} // namespace Transient
