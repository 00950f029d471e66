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

/// Requests of callers that this gateway owes an answer, wherever the job's owner is. Each request
/// is answered exactly once, by the caller's own connection or by the gateway that forwarded it,
/// and is found by its own id: a late or crossed answer either meets its request or meets nobody.
namespace Dispatch {

enum class RequestStage {
    /// Nobody to ask yet: no owner, or the owner is not serving yet.
    Held,
    /// With another gateway.
    Forwarded,
    /// With this gateway's ledger, until the job ends.
    Waiting,
};
extern const Common::NameTable<RequestStage, 3> RequestStageNames;

struct Request
{
    std::string id;
    /// Gateway that forwarded it, under this request id of its own; empty for a caller's own.
    std::string fromGateway;
    std::string remoteId;
    Schema::ForwardKind kind = Schema::ForwardKind::Get;
    bool wait = true;
    std::string job;
    std::optional<Schema::SubmitJob> submit;
    /// True when this gateway made up the job's id: no other gateway can have seen it before.
    bool idGeneratedHere = false;
    std::int64_t deadlineMs = 0;
    RequestStage stage = RequestStage::Held;
    std::string forwardedTo;
    /// Steady time before which a held request is not tried again.
    std::int64_t retryAtMs = 0;
    /// True once any gateway may have acted on it.
    bool mayHaveTakenEffect = false;
};

struct RequestTable
{
    std::unordered_map<std::string, Request> requests;
    std::multimap<std::int64_t, std::string> deadlines;
    std::set<std::string> held;
    std::uint64_t lastId = 0;
};

/// Gives \a request its id and keeps it until takeRequest().
Request &addRequest(RequestTable &table, Request request);
Request *findRequest(RequestTable &table, const std::string &id);
/// Ends the request; empty where it was answered before.
std::optional<Request> takeRequest(RequestTable &table, std::string id);

void holdRequest(RequestTable &table, Request &request, std::int64_t retryAtMs = 0);
void markForwarded(RequestTable &table, Request &request, const std::string &instance);
void markWaiting(RequestTable &table, Request &request);
/// Requests with \a instance go back to Held: its link was lost, and asking again is idempotent.
void holdForwardedTo(RequestTable &table, const std::string &instance);
/// Held requests that may be tried now.
std::vector<std::string> heldRequests(const RequestTable &table, Common::Moment now);
std::vector<std::string> overdueRequests(const RequestTable &table, Common::Moment now);

Schema::Frame forwardFrame(const Request &request);
/// What is known when nobody could be asked in time.
Schema::JobAnswer ownerUnreachableAnswer(const Request &request);

} // namespace Dispatch
