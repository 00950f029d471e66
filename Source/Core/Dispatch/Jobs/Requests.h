#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"

/// Requests that this gateway has to answer, whichever gateway owns the job. Each request is
/// answered exactly once, on the caller's connection or through the gateway that forwarded it.
/// Requests are looked up by their own id, so that an answer that comes late or out of order either
/// matches its request or is ignored.
namespace Dispatch {

enum class RequestStage {
    /// Can't be processed yet: the shard has no owner, or its owner can't be reached or isn't
    /// serving it.
    Held,
    /// Sent to another gateway.
    Forwarded,
    /// Waits for a job in this gateway's ledger to end or to be accepted.
    Waiting,
};
extern const Common::NameTable<RequestStage, 3> RequestStageNames;

struct Request
{
    std::string id;
    /// Gateway that forwarded the request; empty if it came from a caller.
    std::string fromGateway;
    /// Id of the request at the forwarding gateway, or the token of the caller's connection.
    std::string remoteId;
    Schema::ForwardKind kind = Schema::ForwardKind::Get;
    bool wait = true;
    std::string job;
    std::optional<Schema::SubmitJob> submit;
    /// True if this gateway generated the job's id: no other gateway can have received it before.
    bool idGeneratedHere = false;
    std::int64_t deadlineMs = 0;
    RequestStage stage = RequestStage::Held;
    std::string forwardedTo;
    /// Steady time before which a held request is not routed again.
    std::int64_t retryAtMs = 0;
    /// True once any gateway, this one included, may have acted on the request.
    bool mayHaveTakenEffect = false;
};

struct RequestTable
{
    std::unordered_map<std::string, Request> requests;
    std::multimap<std::int64_t, std::string> deadlines;
    std::set<std::string> held;
    std::uint64_t lastId = 0;
};

/// Assigns an id to \a request and stores it until takeRequest().
Request &addRequest(RequestTable &table, Request request);
Request *findRequest(RequestTable &table, const std::string &id);
/// Removes the request and returns it; empty if it has already been answered.
std::optional<Request> takeRequest(RequestTable &table, std::string id);

void holdRequest(RequestTable &table, Request &request, std::int64_t retryAtMs = 0);
void markForwarded(RequestTable &table, Request &request, const std::string &instance);
void markWaiting(RequestTable &table, Request &request);
/// Returns requests that were forwarded to \a instance to Held after its connection was lost.
/// Sending them again is idempotent.
void holdForwardedTo(RequestTable &table, const std::string &instance);
/// Held requests that may be routed now.
std::vector<std::string> heldRequests(const RequestTable &table, Common::Moment now);
std::vector<std::string> overdueRequests(const RequestTable &table, Common::Moment now);

Schema::Frame forwardFrame(const Request &request);
/// The answer to a request whose deadline has passed before the owner answered it. The outcome is
/// unknown unless the job is proven not to have run.
Schema::JobAnswer ownerUnreachableAnswer(const Request &request);

} // namespace Dispatch
