#include "Dispatch/Query/SiteQuery.h"

#include <algorithm>

#include "Dispatch/Persistence/JobAnswers.h"

namespace Dispatch {

namespace {

constexpr std::int64_t PartTimeoutMs = 1'000;
/// Limits the work and the size of the answer that one query causes at another gateway. A narrower
/// query returns the remaining rows.
constexpr std::size_t MaxRowsPerGateway = 10'000;

std::string text(std::int64_t number)
{
    return std::to_string(number);
}

std::string text(bool truth)
{
    return truth ? "true" : "false";
}

QueryRows jobRows(const GatewayState &state)
{
    QueryRows rows;
    rows.columns = {"id",    "state",   "reason", "team",      "caller", "service",
                    "tasks", "started", "ended",  "submitted", "owner"};
    for (const auto &[id, job] : state.ledger.jobs) {
        const Schema::JobAnswer answer = job.answer ? *job.answer : pendingAnswer(job);
        rows.rows.push_back({id, Schema::enumName(answer.outcome), Schema::enumName(answer.reason),
                             job.team, job.caller, job.service, text(answer.taskCount),
                             text(answer.tasksStarted), text(answer.tasksEnded),
                             text(job.firstSubmittedMs), state.self.instance});
    }
    return rows;
}

QueryRows taskRows(const GatewayState &state, const std::string &id)
{
    QueryRows rows;
    rows.columns = {"job", "index", "stage", "agent", "attempt"};
    const JobEntry *job = findJob(state.ledger, id);
    if (job == nullptr) {
        return rows;
    }
    for (std::size_t index = 0; index < job->tasks.size(); ++index) {
        const TaskEntry &task = job->tasks[index];
        rows.rows.push_back({id, std::to_string(index),
                             std::string(Common::nameOf(TaskStageNames, task.stage)), task.agent,
                             text(task.attempt)});
    }
    return rows;
}

QueryRows backendRows(const GatewayState &state)
{
    QueryRows rows;
    rows.columns = {"name",    "domain",  "rack",     "agent", "slots",
                    "running", "healthy", "draining", "silent"};
    for (const BackendRecord &backend : state.scheduler.pool.backends) {
        if (backend.instance.empty()) {
            continue;
        }
        rows.rows.push_back({backend.server.name, backend.server.failureDomain, backend.server.rack,
                             backend.instance, text(backend.server.slots),
                             text(backend.reportedRunning), text(backend.healthy),
                             text(backend.draining || backend.drainedByOperator),
                             text(backend.lost)});
    }
    return rows;
}

QueryRows gatewayRows(const GatewayState &state, Common::Moment now)
{
    QueryRows rows;
    rows.columns = {"instance", "domain", "host", "http_port", "live", "shards"};
    const ControlTable &table = state.site.ownership.table;
    for (const Schema::Member &member : table.roster) {
        const auto owned = std::count_if(
                table.shards.begin(), table.shards.end(),
                [&member](const ShardClaim &claim) { return claim.owner == member.instance; });
        const bool isLive = member.instance == state.self.instance
                            || peerLive(state.site.ownership, member.instance, now);
        rows.rows.push_back({member.instance, member.failureDomain, member.host,
                             text(member.httpPort), text(isLive),
                             text(static_cast<std::int64_t>(owned))});
    }
    return rows;
}

QueryRows shardRows(const GatewayState &state)
{
    QueryRows rows;
    rows.columns = {"shard", "owner", "epoch"};
    const auto &shards = state.site.ownership.table.shards;
    for (std::size_t shard = 0; shard < shards.size(); ++shard) {
        rows.rows.push_back(
                {std::to_string(shard), shards[shard].owner, text(shards[shard].epoch)});
    }
    return rows;
}

QueryRows serviceRows(const GatewayState &state)
{
    QueryRows rows;
    rows.columns = {"name", "expected_run_ms"};
    for (const Schema::Service &service : configuration(state.site.config).services) {
        rows.rows.push_back({service.name, text(service.expectedRunMs.value_or(0))});
    }
    return rows;
}

QueryRows teamRows(const GatewayState &state)
{
    QueryRows rows;
    rows.columns = {"name", "weight", "quota"};
    for (const Schema::Team &team : configuration(state.site.config).teams) {
        rows.rows.push_back(
                {team.name, text(team.weight.value_or(1)), text(team.quota.value_or(0))});
    }
    return rows;
}

/// A failure domain is empty when nothing is running there any more.
QueryRows evacuationRows(const GatewayState &state)
{
    QueryRows rows;
    rows.columns = {"domain", "version", "backends", "running"};
    const Schema::Configuration &inForce = configuration(state.site.config);
    for (const Schema::Evacuation &evacuation : evacuationsOf(inForce)) {
        std::int64_t backends = 0;
        std::int64_t running = 0;
        for (const BackendRecord &backend : state.scheduler.pool.backends) {
            if (!backend.instance.empty()
                && backend.server.failureDomain == evacuation.failureDomain) {
                ++backends;
                running += backend.reportedRunning;
            }
        }
        std::string key = Schema::enumName(Schema::ConfigKind::Evacuation);
        key.append("/").append(evacuation.failureDomain);
        rows.rows.push_back({evacuation.failureDomain, text(keyVersion(inForce, key)),
                             text(backends), text(running)});
    }
    return rows;
}

QueryRows localRows(const GatewayState &state, const Query &query, Common::Moment now)
{
    switch (query.table) {
    case QueryTable::Jobs:
        return jobRows(state);
    case QueryTable::Tasks:
        return taskRows(state, query.job);
    case QueryTable::BackendServers:
        return backendRows(state);
    case QueryTable::Gateways:
        return gatewayRows(state, now);
    case QueryTable::Shards:
        return shardRows(state);
    case QueryTable::Services:
        return serviceRows(state);
    case QueryTable::Evacuations:
        return evacuationRows(state);
    case QueryTable::Teams:
        break;
    }
    return teamRows(state);
}

bool needsOtherGateways(const Query &query)
{
    return query.table == QueryTable::Jobs || query.table == QueryTable::Tasks;
}

Schema::QueryAnswer errorAnswer(std::size_t column, const std::string &error)
{
    Schema::QueryAnswer answer;
    answer.ok = false;
    answer.column = static_cast<std::int64_t>(column);
    answer.error = error;
    return answer;
}

Schema::QueryAnswer rowsAnswer(QueryRows rows)
{
    Schema::QueryAnswer answer;
    answer.ok = true;
    answer.columns = std::move(rows.columns);
    answer.rows = std::move(rows.rows);
    return answer;
}

Effect finishQuery(PendingQuery &pending)
{
    shapeRows(pending.query, pending.rows);
    Schema::QueryAnswer answer = rowsAnswer(std::move(pending.rows));
    answer.silent.assign(pending.waitingFor.begin(), pending.waitingFor.end());
    return AnswerQuery{pending.token, std::move(answer)};
}

} // namespace

Effects handleQuery(GatewayState &state, const std::string &token, const std::string &text,
                    Common::Moment now)
{
    const auto parsed = parseQuery(text);
    if (const auto *error = std::get_if<QueryError>(&parsed)) {
        return {AnswerQuery{token, errorAnswer(error->column, "expected " + error->expected)}};
    }
    PendingQuery pending;
    pending.token = token;
    pending.query = std::get<Query>(parsed);
    pending.rows = localRows(state, pending.query, now);
    const std::string unknown = unknownField(pending.query, pending.rows.columns);
    if (!unknown.empty()) {
        std::string known;
        for (const std::string &column : pending.rows.columns) {
            known += (known.empty() ? "" : ", ") + column;
        }
        return {AnswerQuery{token, errorAnswer(text.find(unknown) + 1,
                                               "no field " + unknown + "; expected " + known)}};
    }
    filterRows(pending.query, pending.rows);
    pending.requestId = "y" + std::to_string(++state.lastRequestNumber);
    pending.endsAtMs = now.steadyMs + PartTimeoutMs;
    Effects effects;
    for (const Schema::Member &member : state.site.ownership.table.roster) {
        if (!needsOtherGateways(pending.query) || member.instance == state.self.instance) {
            continue;
        }
        pending.waitingFor.insert(member.instance);
        Schema::Frame frame = frameOf(Schema::FrameType::Forward);
        frame.forward.emplace();
        frame.forward->requestId = pending.requestId;
        frame.forward->kind = Schema::ForwardKind::Query;
        frame.forward->query.emplace();
        frame.forward->query->text = text;
        frame.forward->query->local = true;
        effects.emplace_back(SendToGateway{member.instance, std::move(frame)});
    }
    if (pending.waitingFor.empty()) {
        effects.push_back(finishQuery(pending));
        return effects;
    }
    state.queries.push_back(std::move(pending));
    return effects;
}

Effects handleQueryPart(const GatewayState &state, const std::string &gateway,
                        const Schema::Forward &forward, Common::Moment now)
{
    Schema::Frame frame = frameOf(Schema::FrameType::ForwardAnswer);
    frame.forwardAnswer.emplace();
    frame.forwardAnswer->requestId = forward.requestId;
    const auto parsed = parseQuery(forward.query ? forward.query->text : "");
    const auto *query = std::get_if<Query>(&parsed);
    QueryRows rows;
    if (query != nullptr) {
        rows = localRows(state, *query, now);
        if (unknownField(*query, rows.columns).empty()) {
            filterRows(*query, rows);
        }
    }
    rows.rows.resize(std::min(rows.rows.size(), MaxRowsPerGateway));
    frame.forwardAnswer->query = rowsAnswer(std::move(rows));
    return {SendToGateway{gateway, std::move(frame)}};
}

Effects handleQueryPartAnswer(GatewayState &state, const std::string &gateway,
                              const Schema::ForwardAnswer &answer)
{
    const auto found = std::find_if(
            state.queries.begin(), state.queries.end(),
            [&answer](const PendingQuery &query) { return query.requestId == answer.requestId; });
    if (found == state.queries.end() || found->waitingFor.erase(gateway) == 0) {
        return {};
    }
    const std::size_t width = found->rows.columns.size();
    for (const QueryRow &row : answer.query->rows) {
        if (row.size() == width) {
            found->rows.rows.push_back(row);
        }
    }
    if (!found->waitingFor.empty()) {
        return {};
    }
    Effects effects{finishQuery(*found)};
    state.queries.erase(found);
    return effects;
}

Effects queryTick(GatewayState &state, Common::Moment now)
{
    Effects effects;
    auto &queries = state.queries;
    for (PendingQuery &query : queries) {
        if (query.endsAtMs <= now.steadyMs) {
            effects.push_back(finishQuery(query));
        }
    }
    queries.erase(std::remove_if(queries.begin(), queries.end(),
                                 [now](const PendingQuery &query) {
                                     return query.endsAtMs <= now.steadyMs;
                                 }),
                  queries.end());
    return effects;
}

} // namespace Dispatch
