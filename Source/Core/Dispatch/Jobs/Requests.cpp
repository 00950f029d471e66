#include "Dispatch/Jobs/Requests.h"

#include <algorithm>

#include "Dispatch/Effects.h"
#include "Dispatch/Persistence/JobAnswers.h"
#include "Dispatch/Persistence/Ledger.h"

namespace Dispatch {

const Common::NameTable<RequestStage, 3> RequestStageNames{{{RequestStage::Held, "held"},
                                                            {RequestStage::Forwarded, "forwarded"},
                                                            {RequestStage::Waiting, "waiting"}}};

Request &addRequest(RequestTable &table, Request request)
{
    request.id = "r" + std::to_string(++table.lastId);
    table.deadlines.emplace(request.deadlineMs, request.id);
    table.held.insert(request.id);
    const std::string id = request.id;
    return table.requests.emplace(id, std::move(request)).first->second;
}

Request *findRequest(RequestTable &table, const std::string &id)
{
    const auto found = table.requests.find(id);
    return found == table.requests.end() ? nullptr : &found->second;
}

// The id is passed by value because callers often pass the one stored in the request, which is
// removed here.
std::optional<Request> takeRequest(RequestTable &table, std::string id)
{
    const auto found = table.requests.find(id);
    if (found == table.requests.end()) {
        return std::nullopt;
    }
    Request request = std::move(found->second);
    table.requests.erase(found);
    table.held.erase(id);
    const auto range = table.deadlines.equal_range(request.deadlineMs);
    const auto entry = std::find_if(range.first, range.second,
                                    [&id](const auto &deadline) { return deadline.second == id; });
    if (entry != range.second) {
        table.deadlines.erase(entry);
    }
    return request;
}

void holdRequest(RequestTable &table, Request &request, std::int64_t retryAtMs)
{
    request.stage = RequestStage::Held;
    request.forwardedTo.clear();
    request.retryAtMs = retryAtMs;
    table.held.insert(request.id);
}

void markForwarded(RequestTable &table, Request &request, const std::string &instance)
{
    request.stage = RequestStage::Forwarded;
    request.forwardedTo = instance;
    request.mayHaveTakenEffect = true;
    table.held.erase(request.id);
}

void markWaiting(RequestTable &table, Request &request)
{
    request.stage = RequestStage::Waiting;
    request.mayHaveTakenEffect = true;
    table.held.erase(request.id);
}

void holdForwardedTo(RequestTable &table, const std::string &instance)
{
    for (auto &[id, request] : table.requests) {
        if (request.stage == RequestStage::Forwarded && request.forwardedTo == instance) {
            holdRequest(table, request);
        }
    }
}

std::vector<std::string> heldRequests(const RequestTable &table, Common::Moment now)
{
    std::vector<std::string> ready;
    for (const std::string &id : table.held) {
        if (table.requests.at(id).retryAtMs <= now.steadyMs) {
            ready.push_back(id);
        }
    }
    return ready;
}

std::vector<std::string> overdueRequests(const RequestTable &table, Common::Moment now)
{
    std::vector<std::string> overdue;
    for (auto entry = table.deadlines.begin();
         entry != table.deadlines.end() && entry->first <= now.wallMs; ++entry) {
        overdue.push_back(entry->second);
    }
    return overdue;
}

Schema::Frame forwardFrame(const Request &request)
{
    Schema::Frame frame = frameOf(Schema::FrameType::Forward);
    Schema::Forward &forward = frame.forward.emplace();
    forward.requestId = request.id;
    forward.kind = request.kind;
    forward.wait = request.wait;
    forward.submit = request.submit;
    forward.job = request.job;
    return frame;
}

Schema::JobAnswer ownerUnreachableAnswer(const Request &request)
{
    const std::size_t taskCount = request.submit ? request.submit->tasks.size() : 0;
    Schema::JobAnswer answer = refusal(request.job, taskCount, Schema::Reason::OwnerUnreachable,
                                       "the gateway responsible for this job could not be reached");
    const bool isProvedNotRun = request.idGeneratedHere && !request.mayHaveTakenEffect;
    if (!isProvedNotRun) {
        // The id may have been submitted elsewhere before, or this request may have been acted on.
        answer.outcome = Schema::JobOutcome::Unknown;
        answer.notRun = false;
    }
    return answer;
}

} // namespace Dispatch
