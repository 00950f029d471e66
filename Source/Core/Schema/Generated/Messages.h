//  To parse this JSON data, first install
//
//      json.hpp  https://github.com/nlohmann/json
//
//  Then include this file, and then do
//
//     MessagesSet data = nlohmann::json::parse(jsonString);

#pragma once

#include <optional>
#include <nlohmann/json.hpp>

#include <unordered_map>

#ifndef NLOHMANN_OPT_HELPER
#define NLOHMANN_OPT_HELPER
namespace nlohmann {
    template <typename T>
    struct adl_serializer<std::shared_ptr<T>> {
        static void to_json(json & j, const std::shared_ptr<T> & opt) {
            if (!opt) j = nullptr; else j = *opt;
        }

        static std::shared_ptr<T> from_json(const json & j) {
            if (j.is_null()) return std::shared_ptr<T>(); else return std::make_shared<T>(j.get<T>());
        }
    };
    template <typename T>
    struct adl_serializer<std::optional<T>> {
        static void to_json(json & j, const std::optional<T> & opt) {
            if (!opt) j = nullptr; else j = *opt;
        }

        static std::optional<T> from_json(const json & j) {
            if (j.is_null()) return std::optional<T>(); else return std::make_optional<T>(j.get<T>());
        }
    };
}
#endif

namespace Schema {
    using nlohmann::json;

    #ifndef NLOHMANN_UNTYPED_Schema_HELPER
    #define NLOHMANN_UNTYPED_Schema_HELPER
    inline json get_untyped(const json & j, const char * property) {
        if (j.find(property) != j.end()) {
            return j.at(property).get<json>();
        }
        return json();
    }

    inline json get_untyped(const json & j, std::string property) {
        return get_untyped(j, property.data());
    }
    #endif

    #ifndef NLOHMANN_OPTIONAL_Schema_HELPER
    #define NLOHMANN_OPTIONAL_Schema_HELPER
    template <typename T>
    inline std::shared_ptr<T> get_heap_optional(const json & j, const char * property) {
        auto it = j.find(property);
        if (it != j.end() && !it->is_null()) {
            return j.at(property).get<std::shared_ptr<T>>();
        }
        return std::shared_ptr<T>();
    }

    template <typename T>
    inline std::shared_ptr<T> get_heap_optional(const json & j, std::string property) {
        return get_heap_optional<T>(j, property.data());
    }
    template <typename T>
    inline std::optional<T> get_stack_optional(const json & j, const char * property) {
        auto it = j.find(property);
        if (it != j.end() && !it->is_null()) {
            return j.at(property).get<std::optional<T>>();
        }
        return std::optional<T>();
    }

    template <typename T>
    inline std::optional<T> get_stack_optional(const json & j, std::string property) {
        return get_stack_optional<T>(j, property.data());
    }
    #endif

    struct Drain {
        std::string backend{};
    };

    /**
     * No backend server of the failure domain gets new work.
     */
    struct Evacuation {
        std::string failureDomain{};
    };

    struct KeyVersion {
        std::string key{};
        int64_t version{};
    };

    enum class PlacementPolicy : int { LeastLoaded, Random, TwoChoices, WeightedWindow };

    enum class QueueingPolicy : int { Fair, Fifo };

    struct Policy {
        std::optional<int64_t> maxQueuedTasks{};
        std::optional<int64_t> maxQueuedTasksPerCaller{};
        std::optional<int64_t> neverRunnableGraceMs{};
        std::optional<PlacementPolicy> placement{};
        std::optional<QueueingPolicy> queueing{};
        /**
         * Minimum time between two rounds of starts; the starts of a round to one agent share a
         * message.
         */
        std::optional<int64_t> startBatchMs{};
    };

    struct Resources {
        int64_t accelerators{};
        int64_t memoryMb{};
        double processors{};
    };

    struct Service {
        std::optional<int64_t> expectedRunMs{};
        std::string name{};
        std::optional<Resources> resources{};
    };

    struct Team {
        std::string name{};
        /**
         * Maximum number of the team's tasks that run at the same time in the region; 0 means no
         * limit.
         */
        std::optional<int64_t> quota{};
        std::optional<int64_t> weight{};
    };

    /**
     * The operators' configuration as one document. version is the log offset after the last
     * change in it.
     */
    struct Configuration {
        std::vector<Drain> drains{};
        /**
         * Absent in documents of earlier versions.
         */
        std::optional<std::vector<Evacuation>> evacuations{};
        std::vector<KeyVersion> keyVersions{};
        Policy policy{};
        std::vector<Service> services{};
        std::vector<Team> teams{};
        int64_t version{};
    };

    struct TaskRef {
        /**
         * In an acknowledgement: attempt of the state acknowledged. A state of a later attempt
         * stays unacknowledged.
         */
        std::optional<int64_t> attempt{};
        int64_t index{};
        std::string job{};
    };

    struct TaskRefs {
        std::vector<TaskRef> tasks{};
    };

    /**
     * One attempt to run a task of a transient job. attempt increases with each order of the
     * task by one gateway.
     */
    struct TaskAttempt {
        int64_t attempt{};
        std::string task{};
    };

    /**
     * Load of a backend server, over all gateways. lastOrder is the sequence of the last
     * task_orders frame from this link's gateway that the load includes.
     */
    struct AgentLoad {
        /**
         * Processors of all tasks that run or wait.
         */
        double committedProcessors{};
        int64_t lastOrder{};
        /**
         * Estimated mean remaining time of a task there.
         */
        double meanLeftMs{};
        /**
         * Steady clock of the agent when it wrote this; the gateway returns it in the frames that
         * it sends.
         */
        int64_t sentMs{};
        /**
         * Factor by which tasks take longer there than their orders expect, according to their
         * progress; 1 if they do not.
         */
        double slowdown{};
        /**
         * The most urgent priority that this agent has received an order for.
         */
        int64_t urgentPriority{};
        /**
         * The same for a task of the most urgent priority.
         */
        double urgentWaitMs{};
        /**
         * Time until a task queued behind all that waits there could start.
         */
        double waitMs{};
    };

    /**
     * Jobs that an agent has tasks of and whose gateway may have failed before it can settle
     * them. Other gateways start no task of a job in either list.
     */
    struct OrphanedJobs {
        /**
         * Increases with each list of the agent's process. A list that is not empty is sent again,
         * with a higher number, while it stays the same.
         */
        std::optional<int64_t> change{};
        /**
         * Jobs of gateways from which the agent has received nothing recently. Their tasks run on
         * until the last lease has lapsed.
         */
        std::vector<std::string> held{};
        /**
         * Jobs with a start that was not answered and whose stop is not confirmed: the start may
         * take effect seconds later.
         */
        std::vector<std::string> unanswered{};
    };

    /**
     * First frame of an agent on a link, and sent again when its backend server changes. held
     * lists the attempts of this gateway that the agent knows, so that orders lost with an
     * earlier link are detected. labels and resources are those that the present incarnation of
     * the backend server has announced; empty and zero until it has.
     */
    struct AgentAnnouncement {
        /**
         * False while the backend server is leaving, is not known yet or does not answer, and while
         * the agent is stopping.
         */
        bool accepting{};
        /**
         * True if nothing that a previous incarnation of this agent started runs any more.
         */
        bool clean{};
        std::string failureDomain{};
        std::vector<TaskAttempt> held{};
        std::string instance{};
        std::vector<std::string> labels{};
        AgentLoad load{};
        std::string name{};
        std::optional<OrphanedJobs> orphans{};
        Resources resources{};
        std::string service{};
    };

    /**
     * Description of a backend server, announced by its agent.
     */
    struct BackendServer {
        int64_t connections{};
        std::string failureDomain{};
        std::string name{};
        std::string rack{};
        std::string region{};
        Resources resources{};
        /**
         * Services it can run; empty means any.
         */
        std::vector<std::string> services{};
        int64_t slots{};
    };

    /**
     * First frame on a connection to a gateway, and the heartbeat after it. backend is sent in
     * the first frame and after a change.
     */
    struct AgentHello {
        BackendServer backend{};
        int64_t configVersion{};
        bool draining{};
        /**
         * False while the backend server does not answer its agent.
         */
        bool healthy{};
        std::string instance{};
        int64_t running{};
        int64_t sequence{};
        int64_t tableVersion{};
        /**
         * Maximum number of tasks of the receiving gateway that the agent holds at the same time.
         */
        int64_t window{};
    };

    /**
     * not_started: the attempt never ran and never will. stopped: it may have run for a while
     * and has ended.
     */
    enum class AttemptPhase : int { Failed, NotStarted, Running, Stopped, Succeeded };

    /**
     * Why a job or task was refused, failed or retried. Each reason has a counter.
     */
    enum class Reason : int { AgentDraining, AgentLost, AttemptsExhausted, BackendBusy, BackendLost, BackendRefused, BackendSlow, BackendUnreachable, BadTaskCount, BodyTooLarge, CallerGone, CallerLimit, Cancelled, ConfigConflict, ConfigInvalid, ConnectionLost, DeadlinePassed, DeadlineUnreachable, Displaced, EpochFenced, FailureDomainEvacuated, ForwardingFailed, GatewayLost, IdConflict, LeaseLapsed, LogUnavailable, Malformed, NeverRunnable, NoBackend, NoConfiguration, NoRoom, NoSlot, None, NotAfterPassed, NotReady, Overloaded, OwnerUnreachable, PredecessorUnlogged, QueueFull, QuotaExceeded, RequestTimedOut, StartUnacknowledged, StartUnanswered, Stopping, SubmissionInFuture, SubmissionTooOld, TaskFailed, TaskLost, UnknownJob, UnknownQueue, UnknownService, UnknownTeam, UnsupportedJob, Withdrawn };

    struct AttemptState {
        int64_t attempt{};
        AttemptPhase phase{};
        Reason reason = Reason::None;
        /**
         * Time from the start to the end; 0 if nothing ran.
         */
        int64_t runMs{};
        std::string task{};
        /**
         * Time from the arrival of the order to the last start; absent if nothing was started.
         */
        std::optional<int64_t> waitedMs{};
    };

    /**
     * States of attempts, and the load. Also an agent's heartbeat. orphans is present if it has
     * changed.
     */
    struct AgentReport {
        AgentLoad load{};
        std::optional<OrphanedJobs> orphans{};
        std::vector<AttemptState> states{};
    };

    /**
     * Request of a new owner to the gateways for the agents that may hold tasks of its
     * predecessor. An agent accepts a start only if it has received frames from a majority of
     * the roster, so that the answers of any majority include it.
     */
    struct AskAgents {
        std::string requestId{};
    };

    struct ShardOwner {
        /**
         * Offset of the claim in the control stream times 65536, plus the number of direct
         * handovers since.
         */
        int64_t epoch{};
        /**
         * Instance of the gateway; empty if no gateway has claimed the shard.
         */
        std::string owner{};
        int64_t shard{};
    };

    /**
     * Request of a new owner for all tasks of some shards that an agent holds. The agent
     * applies the epochs before it answers, so that its answer stays valid.
     */
    struct AskTasks {
        std::string requestId{};
        std::vector<ShardOwner> shards{};
    };

    enum class ForwardKind : int { Cancel, Configure, Get, Query, Submit };

    struct QueryRequest {
        std::optional<bool> local{};
        std::string text{};
    };

    struct SubmitTask {
        std::string payload{};
    };

    /**
     * Body of POST /v1/jobs. A caller that resubmits keeps id and firstSubmittedMs; either both
     * or neither are given.
     */
    struct SubmitJob {
        std::string caller{};
        std::optional<int64_t> deadlineMs{};
        std::optional<int64_t> declaredRunMs{};
        std::optional<int64_t> firstSubmittedMs{};
        std::optional<std::string> id{};
        std::optional<bool> idempotent{};
        std::optional<Resources> resources{};
        std::string service{};
        std::vector<SubmitTask> tasks{};
        std::string team{};
    };

    struct Forward {
        std::optional<std::string> job{};
        ForwardKind kind{};
        std::optional<QueryRequest> query{};
        std::string requestId{};
        std::optional<SubmitJob> submit{};
        std::optional<bool> wait{};
    };

    enum class JobOutcome : int { Completed, Failed, Pending, Refused, Unknown };

    /**
     * Answer to a caller. results contains every task's result in task order if outcome is
     * completed, and is absent otherwise. notRun is true only if no task of the job was started.
     */
    struct JobAnswer {
        std::optional<std::string> detail{};
        std::optional<int64_t> firstSubmittedMs{};
        std::string id{};
        bool notRun{};
        JobOutcome outcome = JobOutcome::Unknown;
        Reason reason = Reason::None;
        std::optional<std::vector<std::string>> results{};
        std::optional<int64_t> retryAfterMs{};
        int64_t taskCount{};
        int64_t tasksEnded{};
        int64_t tasksStarted{};
    };

    struct QueryAnswer {
        /**
         * Position of the error in the text, counted from 1.
         */
        std::optional<int64_t> column{};
        std::vector<std::string> columns{};
        std::optional<std::string> error{};
        bool ok{};
        std::vector<std::vector<std::string>> rows{};
        /**
         * Gateways that did not answer in time.
         */
        std::vector<std::string> silent{};
    };

    struct ForwardAnswer {
        std::optional<JobAnswer> answer{};
        std::optional<bool> notOwner{};
        std::optional<QueryAnswer> query{};
        std::string requestId{};
    };

    /**
     * The caller of a forwarded job has left: the receiver ends the job unless other requests
     * wait for it.
     */
    struct ForwardedCancel {
        std::string token{};
    };

    /**
     * Where transient jobs of one kind are submitted, and which service runs them.
     */
    struct JobQueue {
        /**
         * The job fails when one of its tasks has failed this many times.
         */
        int64_t attemptLimit{};
        std::string host{};
        double latencyFactor{};
        std::string name{};
        /**
         * Prefix of the paths that belong to the queue; the longest matching prefix is used.
         */
        std::string path{};
        /**
         * 0 is the most urgent.
         */
        int64_t priority{};
        std::string service{};
        /**
         * Time a job may take beyond latencyFactor times its longest chain of work.
         */
        int64_t targetLatencyMs{};
    };

    /**
     * Tasks of one kind of a transient job.
     */
    struct TransientStep {
        /**
         * Positions of the steps that must succeed first.
         */
        std::vector<int64_t> after{};
        std::string dataRack{};
        /**
         * Rough estimate by the caller.
         */
        int64_t expectedRunMs{};
        /**
         * 0 for no limit.
         */
        int64_t maxTasksPerBackend{};
        std::string requiredLabel{};
        Resources resources{};
        int64_t taskCount{};
    };

    /**
     * A submission that the gateway with the caller's connection hands to another gateway,
     * which then owns the job. Times are relative to the sending of the frame.
     */
    struct ForwardedJob {
        /**
         * Time since the request arrived at the sender's machine.
         */
        int64_t ageMs{};
        /**
         * sentMs of the last announcement received from the receiver, which drops the frame if that
         * time is too long ago.
         */
        int64_t echoMs{};
        std::string job{};
        std::string payload{};
        JobQueue queue{};
        std::vector<TransientStep> steps{};
        /**
         * How long the caller still waits.
         */
        int64_t timeoutInMs{};
        /**
         * Identifies the request at the sender.
         */
        std::string token{};
    };

    enum class TransientOutcome : int { Failed, GaveUp, Refused, Succeeded };

    /**
     * The end of a forwarded job. The sender has nothing of it left.
     */
    struct ForwardedResult {
        TransientOutcome outcome{};
        Reason reason = Reason::None;
        int64_t retryAfterMs{};
        std::string token{};
    };

    /**
     * Whether backend servers of a failure domain get no new work. Of two for the same domain,
     * the one with the higher version is in force.
     */
    struct DomainEvacuation {
        /**
         * Upper limit of the time since the operator's request was acknowledged, when this was
         * sent. Absent if it is not known.
         */
        std::optional<int64_t> ageMs{};
        std::string failureDomain{};
        bool inForce{};
        /**
         * Position in the operators' records up to which this holds; never decreases.
         */
        int64_t version{};
    };

    /**
     * Evacuations in force and ended ones, if the receiver has not been told of the last change
     * on this link.
     */
    struct EvacuationList {
        /**
         * All evacuations in force at this position in the operators' records are listed, unless
         * they have ended since. Absent if the sender does not know.
         */
        std::optional<int64_t> completeAsOf{};
        std::vector<DomainEvacuation> evacuations{};
    };

    /**
     * A gateway.
     */
    struct Member {
        std::string failureDomain{};
        /**
         * Time since the sender, or the gateway that told it, received a message of this gateway.
         * Absent if that is not known.
         */
        std::optional<int64_t> heardMsAgo{};
        std::string host{};
        int64_t httpPort{};
        /**
         * Unique for each start of a process: name plus a random suffix.
         */
        std::string instance{};
        int64_t peerPort{};
    };

    /**
     * Orphaned jobs of an agent. Gateways pass the newest list of each agent on until all have
     * it.
     */
    struct OrphanList {
        /**
         * Time since the agent's report of the list arrived at a gateway.
         */
        int64_t ageMs{};
        /**
         * Instance of the agent.
         */
        std::string agent{};
        OrphanedJobs orphans{};
    };

    /**
     * First frame of a gateway on a link, and its heartbeat to agents and gateways.
     */
    struct GatewayAnnouncement {
        /**
         * sentMs of the last load received from this agent, or of the last announcement received
         * from this gateway. The receiver may act for this gateway for one lease from that time on;
         * 0 grants nothing.
         */
        int64_t echoMs{};
        std::optional<EvacuationList> evacuations{};
        Member gateway{};
        /**
         * In a frame to an agent: shortest interval of reports that contain only the load, by what
         * the gateway's machine can carry. Absent if the agent decides alone.
         */
        std::optional<int64_t> loadIntervalMs{};
        /**
         * The sender's evacuations were the present ones at this time ago. Absent if the operators'
         * records have not been read yet.
         */
        std::optional<int64_t> operatorsReadMsAgo{};
        /**
         * In a frame to a gateway: lists of orphaned jobs that the receiver has not been told.
         */
        std::optional<std::vector<OrphanList>> orphanLists{};
        /**
         * Gateways that this one knows and has not told the receiver of; all of them if the last
         * list of all is some seconds old.
         */
        std::vector<Member> others{};
        int64_t queuesVersion{};
        /**
         * In a frame to a gateway: steady clock of the sender; the receiver returns it as echoMs.
         */
        std::optional<int64_t> sentMs{};
        /**
         * In a frame to a gateway: processors that the sender can spare for forwarded jobs. Absent
         * if it takes none.
         */
        std::optional<double> spareProcessors{};
    };

    /**
     * control_snapshot: the table its writer had.
     */
    struct OwnershipTable {
        /**
         * The roster before that change; empty once the change is settled.
         */
        std::vector<Member> previousRoster{};
        std::vector<Member> roster{};
        /**
         * Offset after the last record that changed the roster, times 65536.
         */
        int64_t rosterVersion{};
        std::vector<ShardOwner> shards{};
        /**
         * Offset after the last control record it reflects, times 65536, plus direct handovers seen
         * since.
         */
        int64_t version{};
    };

    /**
     * Answer to AgentHello. The agent counts its lease from the moment it sent the hello with
     * this sequence.
     */
    struct GatewayPong {
        std::optional<Configuration> configuration{};
        int64_t configVersion{};
        /**
         * Tasks that wait at this gateway for a slot.
         */
        int64_t demand{};
        std::string instance{};
        int64_t sequence{};
        std::optional<OwnershipTable> table{};
        int64_t tableVersion{};
    };

    /**
     * not_started guarantees that the task has not started at this agent and, under the epoch
     * of the request, never will.
     */
    enum class TaskPhase : int { Failed, NotStarted, Running, Succeeded, Unknown };

    struct TaskSnapshot {
        std::optional<std::string> agent{};
        int64_t attempt{};
        /**
         * Epoch and attempt of the last start sent.
         */
        int64_t epoch{};
        int64_t index{};
        TaskPhase phase = TaskPhase::Unknown;
        std::optional<Reason> reason{};
        std::optional<std::string> result{};
        bool sent{};
    };

    struct JobSnapshot {
        JobAnswer answer{};
        std::string digest{};
        std::string id{};
        std::optional<SubmitJob> submit{};
        std::vector<TaskSnapshot> tasks{};
    };

    /**
     * Jobs of the shard first submitted within these wall-clock times may have been started by
     * the instance without an intent in the log.
     */
    struct UnloggedWindow {
        std::string instance{};
        int64_t shard{};
        int64_t sinceMs{};
        int64_t untilMs{};
    };

    /**
     * A leaving owner hands over shards, with their jobs and the next epochs, to one successor.
     * It has stopped starting tasks of these shards.
     */
    struct Handover {
        std::string from{};
        std::vector<JobSnapshot> jobs{};
        /**
         * Offset up to which the sender has read the journal; the successor serves the shards once
         * it has read up to it too.
         */
        int64_t journalOffset{};
        std::string requestId{};
        std::vector<ShardOwner> shards{};
        std::optional<std::vector<UnloggedWindow>> unloggedWindows{};
    };

    struct HandoverAccepted {
        std::string instance{};
        std::string requestId{};
    };

    struct KnownAgents {
        /**
         * Instances of the agents that the sender is connected to.
         */
        std::vector<std::string> agents{};
        /**
         * Wall-clock time since which no other agent can have held a task: since then the sender
         * has been running and has lost no agent permanently.
         */
        int64_t completeSinceMs{};
        std::string instance{};
        std::string requestId{};
    };

    struct UnloggedNotice {
        std::string instance{};
        int64_t sinceMs{};
    };

    /**
     * Heartbeat between gateways. tableVersion is the version of the table that the sender
     * passes to agents; the sender never returns to a lower one.
     */
    struct PeerPing {
        /**
         * Unlogged declarations that the sender knows.
         */
        std::vector<UnloggedNotice> acknowledgedUnlogged{};
        std::optional<Configuration> configuration{};
        int64_t configVersion{};
        /**
         * Sequence of the receiver's last heartbeat that the sender has received; 0 before the
         * first. Shows the receiver how recent this frame is, however long it was buffered in a
         * socket.
         */
        int64_t heardSequence{};
        std::string instance{};
        /**
         * Offset up to which the sender has read the journal.
         */
        int64_t journalOffset{};
        /**
         * The sender is stopping gracefully and takes no shards.
         */
        bool leaving{};
        /**
         * Gateways that the sender receives heartbeats from. No gateway takes over from one whose
         * heartbeats a third gateway still receives.
         */
        std::vector<std::string> live{};
        bool reply{};
        int64_t sequence{};
        std::optional<OwnershipTable> table{};
        int64_t tableVersion{};
        /**
         * The sender may start jobs first submitted at or after this wall-clock time without an
         * intent in the log; 0 if it starts no job without one.
         */
        int64_t unloggedSinceMs{};
    };

    /**
     * All queues of the operators. A process never returns to a lower version.
     */
    struct QueueTable {
        std::vector<JobQueue> queues{};
        int64_t version{};
    };

    struct StartTask {
        /**
         * Grows with each start message that the owner sends for this task under one epoch; a
         * repeated message keeps it.
         */
        int64_t attempt{};
        int64_t epoch{};
        int64_t index{};
        std::string job{};
        int64_t notAfterMs{};
        std::string payload{};
        Resources resources{};
        std::string service{};
        int64_t shard{};
        /**
         * True when the job's intent was not in the log at the time.
         */
        bool unlogged{};
    };

    struct StartTasks {
        int64_t demand{};
        std::vector<StartTask> tasks{};
    };

    /**
     * Tasks of one step of a transient job for one agent. Times are relative to the sending of
     * the frame.
     */
    struct TaskOrders {
        /**
         * Time after which nothing of the job may run.
         */
        int64_t deadlineInMs{};
        /**
         * sentMs of the last load received from this agent.
         */
        int64_t echoMs{};
        /**
         * Expected run time on this backend server.
         */
        int64_t expectedRunMs{};
        /**
         * Longest time that a task may wait here before it is returned as not started. Absent if it
         * may wait until its deadline.
         */
        std::optional<int64_t> longestWaitMs{};
        std::string payload{};
        /**
         * Priority of the queue; 0 is the most urgent.
         */
        int64_t priority{};
        /**
         * Label that the backend server must have when a task starts. Absent if none is required.
         */
        std::optional<std::string> requiredLabel{};
        Resources resources{};
        int64_t sequence{};
        /**
         * Service of the queue. The agent returns tasks that its present backend server does not
         * serve. Absent from gateways of older builds.
         */
        std::optional<std::string> service{};
        /**
         * Time by which the job should have ended.
         */
        int64_t targetInMs{};
        std::vector<TaskAttempt> tasks{};
    };

    struct TaskState {
        /**
         * Attempt of that start. not_started covers this epoch and attempt and all lower ones: the
         * owner accepts it only for a start that is not higher, because a late refusal may cross a
         * newer start.
         */
        int64_t attempt{};
        /**
         * Epoch of the start that this state belongs to.
         */
        int64_t epoch{};
        int64_t index{};
        std::string job{};
        TaskPhase phase = TaskPhase::Unknown;
        Reason reason = Reason::None;
        std::optional<std::string> result{};
        std::optional<double> runMs{};
    };

    /**
     * From an agent to the owner of the tasks' shards. Repeated until acknowledged.
     */
    struct TaskStates {
        /**
         * Request id of the AskTasks that this frame answers completely.
         */
        std::optional<std::string> answerTo{};
        std::string instance{};
        int64_t running{};
        std::vector<TaskState> states{};
        int64_t window{};
    };

    enum class FrameType : int { AcknowledgeTasks, AgentAnnouncement, AgentHello, AgentReport, AskAgents, AskTasks, CancelTasks, Forward, ForwardAnswer, ForwardedCancel, ForwardedJob, ForwardedResult, GatewayAnnouncement, GatewayPong, Handover, HandoverAccepted, KnownAgents, PeerPing, QueueTable, StartTasks, TaskOrders, TaskStates, WithdrawTasks };

    /**
     * Attempts that are no longer needed. The agent drops or stops them and reports each one.
     */
    struct WithdrawTasks {
        std::vector<TaskAttempt> tasks{};
    };

    /**
     * One CBOR message on a WebSocket between processes. Exactly the member named by type is
     * present.
     */
    struct Frame {
        std::optional<TaskRefs> acknowledgeTasks{};
        std::optional<AgentAnnouncement> agentAnnouncement{};
        std::optional<AgentHello> agentHello{};
        std::optional<AgentReport> agentReport{};
        std::optional<AskAgents> askAgents{};
        std::optional<AskTasks> askTasks{};
        std::optional<TaskRefs> cancelTasks{};
        std::optional<Forward> forward{};
        std::optional<ForwardAnswer> forwardAnswer{};
        std::optional<ForwardedCancel> forwardedCancel{};
        std::optional<ForwardedJob> forwardedJob{};
        std::optional<ForwardedResult> forwardedResult{};
        std::optional<GatewayAnnouncement> gatewayAnnouncement{};
        std::optional<GatewayPong> gatewayPong{};
        std::optional<Handover> handover{};
        std::optional<HandoverAccepted> handoverAccepted{};
        std::optional<KnownAgents> knownAgents{};
        std::optional<PeerPing> peerPing{};
        std::optional<QueueTable> queueTable{};
        std::optional<StartTasks> startTasks{};
        std::optional<TaskOrders> taskOrders{};
        std::optional<TaskStates> taskStates{};
        FrameType type{};
        std::optional<WithdrawTasks> withdrawTasks{};
    };

    /**
     * How long the callers of a queue wait for an answer.
     */
    struct LearnedPatience {
        std::string queue{};
        int64_t samples{};
        /**
         * Remaining timeout that nearly all of them still have when they reach a gateway.
         */
        double usualMs{};
    };

    /**
     * Run times of one kind of task.
     */
    struct LearnedProfile {
        /**
         * Queue and order of magnitude of the declared time.
         */
        std::string key{};
        /**
         * Mean of the natural logarithm of the same times.
         */
        double meanLog{};
        /**
         * Mean run time on a backend server of factor 1.
         */
        double meanMs{};
        /**
         * Number of tasks that the means are based on.
         */
        int64_t samples{};
    };

    /**
     * Speed of one backend server.
     */
    struct LearnedSpeed {
        /**
         * Name of its agent.
         */
        std::string agent{};
        /**
         * Labels of the backend server, because another one may replace it at the same agent.
         */
        std::vector<std::string> labels{};
        /**
         * Natural logarithm of the ratio of its run times to the mean ones.
         */
        double logFactor{};
        int64_t samples{};
    };

    /**
     * Values that a gateway has learned about run times and callers, kept in the platform's
     * store for gateways that start.
     */
    struct LearnedTimes {
        /**
         * Instance of the gateway that wrote this.
         */
        std::string gateway{};
        std::vector<LearnedPatience> patiences{};
        std::vector<LearnedProfile> profiles{};
        std::vector<LearnedSpeed> speeds{};
        /**
         * Wall clock of the gateway that wrote this.
         */
        int64_t writtenMs{};
    };

    enum class ConfigKind : int { Drain, Evacuation, Policy, Service, Team };

    /**
     * Sets or removes one key. Accepted if no change to its key has a version above basedOn.
     */
    struct ConfigChange {
        std::optional<Drain> drain{};
        std::optional<Evacuation> evacuation{};
        ConfigKind kind{};
        std::string name{};
        std::optional<Policy> policy{};
        bool remove{};
        std::optional<Service> service{};
        std::optional<Team> team{};
    };

    /**
     * An owner is about to start this job's tasks. digest is the hash of the submission.
     */
    struct Intent {
        std::string digest{};
        int64_t firstSubmittedMs{};
        std::string job{};
        int64_t tasks{};
        std::string team{};
    };

    enum class RecordKind : int { Claim, Config, ConfigSnapshot, ControlSnapshot, HandedOver, Intents, Join, Leave, RosterSettled, ShardsTaken };

    /**
     * One record of a stream in the platform's log. Readers drop a record whose id they have
     * already read: an append whose answer was lost is sent again with the same id.
     */
    struct LogRecord {
        /**
         * join, leave: table version it was decided on; roster_settled: rosterVersion of the
         * change; config: configuration version; config_snapshot: offset up to which the writer had
         * read.
         */
        std::optional<int64_t> basedOn{};
        std::optional<ConfigChange> change{};
        std::optional<Configuration> configuration{};
        std::string id{};
        std::string instance{};
        std::optional<std::vector<Intent>> intents{};
        RecordKind kind{};
        std::optional<Member> member{};
        /**
         * join: instance of the silent member that the new one replaces; leave: the member that
         * leaves.
         */
        std::optional<std::string> replaces{};
        /**
         * claim: shards with the epochs they had when claimed; handed_over: with their new owner
         * and epoch.
         */
        std::optional<std::vector<ShardOwner>> shards{};
        /**
         * control_snapshot: the table its writer had.
         */
        std::optional<OwnershipTable> table{};
        /**
         * shards_taken: what earlier owners of the shards may have started without a durable intent.
         */
        std::optional<std::vector<UnloggedWindow>> unloggedWindows{};
        int64_t wallMs{};
    };

    struct LogEntry {
        int64_t offset{};
        LogRecord record{};
    };

    /**
     * Body of POST /run from an agent to its backend server. The backend server refuses with
     * status 412, without starting anything, if its clock has passed notAfterMs.
     */
    struct RunTask {
        int64_t index{};
        std::string job{};
        int64_t notAfterMs{};
        std::string payload{};
        std::string service{};
    };

    /**
     * Every message that crosses a process boundary: the callers' HTTP bodies, the frames
     * between gateways and agents, and the records in the platform's log. Times ending in Ms
     * are milliseconds; wall-clock times count from the Unix epoch.
     */
    struct MessagesSet {
        std::optional<Configuration> configuration{};
        std::optional<Frame> frame{};
        std::optional<JobAnswer> jobAnswer{};
        std::optional<LearnedTimes> learnedTimes{};
        std::optional<LogEntry> logEntry{};
        std::optional<LogRecord> logRecord{};
        std::optional<QueryAnswer> queryAnswer{};
        std::optional<QueryRequest> queryRequest{};
        std::optional<RunTask> runTask{};
        std::optional<SubmitJob> submitJob{};
    };
}

namespace Schema {
    void from_json(const json & j, Drain & x);
    void to_json(json & j, const Drain & x);

    void from_json(const json & j, Evacuation & x);
    void to_json(json & j, const Evacuation & x);

    void from_json(const json & j, KeyVersion & x);
    void to_json(json & j, const KeyVersion & x);

    void from_json(const json & j, Policy & x);
    void to_json(json & j, const Policy & x);

    void from_json(const json & j, Resources & x);
    void to_json(json & j, const Resources & x);

    void from_json(const json & j, Service & x);
    void to_json(json & j, const Service & x);

    void from_json(const json & j, Team & x);
    void to_json(json & j, const Team & x);

    void from_json(const json & j, Configuration & x);
    void to_json(json & j, const Configuration & x);

    void from_json(const json & j, TaskRef & x);
    void to_json(json & j, const TaskRef & x);

    void from_json(const json & j, TaskRefs & x);
    void to_json(json & j, const TaskRefs & x);

    void from_json(const json & j, TaskAttempt & x);
    void to_json(json & j, const TaskAttempt & x);

    void from_json(const json & j, AgentLoad & x);
    void to_json(json & j, const AgentLoad & x);

    void from_json(const json & j, OrphanedJobs & x);
    void to_json(json & j, const OrphanedJobs & x);

    void from_json(const json & j, AgentAnnouncement & x);
    void to_json(json & j, const AgentAnnouncement & x);

    void from_json(const json & j, BackendServer & x);
    void to_json(json & j, const BackendServer & x);

    void from_json(const json & j, AgentHello & x);
    void to_json(json & j, const AgentHello & x);

    void from_json(const json & j, AttemptState & x);
    void to_json(json & j, const AttemptState & x);

    void from_json(const json & j, AgentReport & x);
    void to_json(json & j, const AgentReport & x);

    void from_json(const json & j, AskAgents & x);
    void to_json(json & j, const AskAgents & x);

    void from_json(const json & j, ShardOwner & x);
    void to_json(json & j, const ShardOwner & x);

    void from_json(const json & j, AskTasks & x);
    void to_json(json & j, const AskTasks & x);

    void from_json(const json & j, QueryRequest & x);
    void to_json(json & j, const QueryRequest & x);

    void from_json(const json & j, SubmitTask & x);
    void to_json(json & j, const SubmitTask & x);

    void from_json(const json & j, SubmitJob & x);
    void to_json(json & j, const SubmitJob & x);

    void from_json(const json & j, Forward & x);
    void to_json(json & j, const Forward & x);

    void from_json(const json & j, JobAnswer & x);
    void to_json(json & j, const JobAnswer & x);

    void from_json(const json & j, QueryAnswer & x);
    void to_json(json & j, const QueryAnswer & x);

    void from_json(const json & j, ForwardAnswer & x);
    void to_json(json & j, const ForwardAnswer & x);

    void from_json(const json & j, ForwardedCancel & x);
    void to_json(json & j, const ForwardedCancel & x);

    void from_json(const json & j, JobQueue & x);
    void to_json(json & j, const JobQueue & x);

    void from_json(const json & j, TransientStep & x);
    void to_json(json & j, const TransientStep & x);

    void from_json(const json & j, ForwardedJob & x);
    void to_json(json & j, const ForwardedJob & x);

    void from_json(const json & j, ForwardedResult & x);
    void to_json(json & j, const ForwardedResult & x);

    void from_json(const json & j, DomainEvacuation & x);
    void to_json(json & j, const DomainEvacuation & x);

    void from_json(const json & j, EvacuationList & x);
    void to_json(json & j, const EvacuationList & x);

    void from_json(const json & j, Member & x);
    void to_json(json & j, const Member & x);

    void from_json(const json & j, OrphanList & x);
    void to_json(json & j, const OrphanList & x);

    void from_json(const json & j, GatewayAnnouncement & x);
    void to_json(json & j, const GatewayAnnouncement & x);

    void from_json(const json & j, OwnershipTable & x);
    void to_json(json & j, const OwnershipTable & x);

    void from_json(const json & j, GatewayPong & x);
    void to_json(json & j, const GatewayPong & x);

    void from_json(const json & j, TaskSnapshot & x);
    void to_json(json & j, const TaskSnapshot & x);

    void from_json(const json & j, JobSnapshot & x);
    void to_json(json & j, const JobSnapshot & x);

    void from_json(const json & j, UnloggedWindow & x);
    void to_json(json & j, const UnloggedWindow & x);

    void from_json(const json & j, Handover & x);
    void to_json(json & j, const Handover & x);

    void from_json(const json & j, HandoverAccepted & x);
    void to_json(json & j, const HandoverAccepted & x);

    void from_json(const json & j, KnownAgents & x);
    void to_json(json & j, const KnownAgents & x);

    void from_json(const json & j, UnloggedNotice & x);
    void to_json(json & j, const UnloggedNotice & x);

    void from_json(const json & j, PeerPing & x);
    void to_json(json & j, const PeerPing & x);

    void from_json(const json & j, QueueTable & x);
    void to_json(json & j, const QueueTable & x);

    void from_json(const json & j, StartTask & x);
    void to_json(json & j, const StartTask & x);

    void from_json(const json & j, StartTasks & x);
    void to_json(json & j, const StartTasks & x);

    void from_json(const json & j, TaskOrders & x);
    void to_json(json & j, const TaskOrders & x);

    void from_json(const json & j, TaskState & x);
    void to_json(json & j, const TaskState & x);

    void from_json(const json & j, TaskStates & x);
    void to_json(json & j, const TaskStates & x);

    void from_json(const json & j, WithdrawTasks & x);
    void to_json(json & j, const WithdrawTasks & x);

    void from_json(const json & j, Frame & x);
    void to_json(json & j, const Frame & x);

    void from_json(const json & j, LearnedPatience & x);
    void to_json(json & j, const LearnedPatience & x);

    void from_json(const json & j, LearnedProfile & x);
    void to_json(json & j, const LearnedProfile & x);

    void from_json(const json & j, LearnedSpeed & x);
    void to_json(json & j, const LearnedSpeed & x);

    void from_json(const json & j, LearnedTimes & x);
    void to_json(json & j, const LearnedTimes & x);

    void from_json(const json & j, ConfigChange & x);
    void to_json(json & j, const ConfigChange & x);

    void from_json(const json & j, Intent & x);
    void to_json(json & j, const Intent & x);

    void from_json(const json & j, LogRecord & x);
    void to_json(json & j, const LogRecord & x);

    void from_json(const json & j, LogEntry & x);
    void to_json(json & j, const LogEntry & x);

    void from_json(const json & j, RunTask & x);
    void to_json(json & j, const RunTask & x);

    void from_json(const json & j, MessagesSet & x);
    void to_json(json & j, const MessagesSet & x);

    void from_json(const json & j, PlacementPolicy & x);
    void to_json(json & j, const PlacementPolicy & x);

    void from_json(const json & j, QueueingPolicy & x);
    void to_json(json & j, const QueueingPolicy & x);

    void from_json(const json & j, AttemptPhase & x);
    void to_json(json & j, const AttemptPhase & x);

    void from_json(const json & j, Reason & x);
    void to_json(json & j, const Reason & x);

    void from_json(const json & j, ForwardKind & x);
    void to_json(json & j, const ForwardKind & x);

    void from_json(const json & j, JobOutcome & x);
    void to_json(json & j, const JobOutcome & x);

    void from_json(const json & j, TransientOutcome & x);
    void to_json(json & j, const TransientOutcome & x);

    void from_json(const json & j, TaskPhase & x);
    void to_json(json & j, const TaskPhase & x);

    void from_json(const json & j, FrameType & x);
    void to_json(json & j, const FrameType & x);

    void from_json(const json & j, ConfigKind & x);
    void to_json(json & j, const ConfigKind & x);

    void from_json(const json & j, RecordKind & x);
    void to_json(json & j, const RecordKind & x);

    inline void from_json(const json & j, Drain& x) {
        x.backend = j.at("backend").get<std::string>();
    }

    inline void to_json(json & j, const Drain & x) {
        j = json::object();
        j["backend"] = x.backend;
    }

    inline void from_json(const json & j, Evacuation& x) {
        x.failureDomain = j.at("failureDomain").get<std::string>();
    }

    inline void to_json(json & j, const Evacuation & x) {
        j = json::object();
        j["failureDomain"] = x.failureDomain;
    }

    inline void from_json(const json & j, KeyVersion& x) {
        x.key = j.at("key").get<std::string>();
        x.version = j.at("version").get<int64_t>();
    }

    inline void to_json(json & j, const KeyVersion & x) {
        j = json::object();
        j["key"] = x.key;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, Policy& x) {
        x.maxQueuedTasks = get_stack_optional<int64_t>(j, "maxQueuedTasks");
        x.maxQueuedTasksPerCaller = get_stack_optional<int64_t>(j, "maxQueuedTasksPerCaller");
        x.neverRunnableGraceMs = get_stack_optional<int64_t>(j, "neverRunnableGraceMs");
        x.placement = get_stack_optional<PlacementPolicy>(j, "placement");
        x.queueing = get_stack_optional<QueueingPolicy>(j, "queueing");
        x.startBatchMs = get_stack_optional<int64_t>(j, "startBatchMs");
    }

    inline void to_json(json & j, const Policy & x) {
        j = json::object();
        if (x.maxQueuedTasks) {
            j["maxQueuedTasks"] = x.maxQueuedTasks;
        }
        if (x.maxQueuedTasksPerCaller) {
            j["maxQueuedTasksPerCaller"] = x.maxQueuedTasksPerCaller;
        }
        if (x.neverRunnableGraceMs) {
            j["neverRunnableGraceMs"] = x.neverRunnableGraceMs;
        }
        if (x.placement) {
            j["placement"] = x.placement;
        }
        if (x.queueing) {
            j["queueing"] = x.queueing;
        }
        if (x.startBatchMs) {
            j["startBatchMs"] = x.startBatchMs;
        }
    }

    inline void from_json(const json & j, Resources& x) {
        x.accelerators = j.at("accelerators").get<int64_t>();
        x.memoryMb = j.at("memoryMb").get<int64_t>();
        x.processors = j.at("processors").get<double>();
    }

    inline void to_json(json & j, const Resources & x) {
        j = json::object();
        j["accelerators"] = x.accelerators;
        j["memoryMb"] = x.memoryMb;
        j["processors"] = x.processors;
    }

    inline void from_json(const json & j, Service& x) {
        x.expectedRunMs = get_stack_optional<int64_t>(j, "expectedRunMs");
        x.name = j.at("name").get<std::string>();
        x.resources = get_stack_optional<Resources>(j, "resources");
    }

    inline void to_json(json & j, const Service & x) {
        j = json::object();
        if (x.expectedRunMs) {
            j["expectedRunMs"] = x.expectedRunMs;
        }
        j["name"] = x.name;
        if (x.resources) {
            j["resources"] = x.resources;
        }
    }

    inline void from_json(const json & j, Team& x) {
        x.name = j.at("name").get<std::string>();
        x.quota = get_stack_optional<int64_t>(j, "quota");
        x.weight = get_stack_optional<int64_t>(j, "weight");
    }

    inline void to_json(json & j, const Team & x) {
        j = json::object();
        j["name"] = x.name;
        if (x.quota) {
            j["quota"] = x.quota;
        }
        if (x.weight) {
            j["weight"] = x.weight;
        }
    }

    inline void from_json(const json & j, Configuration& x) {
        x.drains = j.at("drains").get<std::vector<Drain>>();
        x.evacuations = get_stack_optional<std::vector<Evacuation>>(j, "evacuations");
        x.keyVersions = j.at("keyVersions").get<std::vector<KeyVersion>>();
        x.policy = j.at("policy").get<Policy>();
        x.services = j.at("services").get<std::vector<Service>>();
        x.teams = j.at("teams").get<std::vector<Team>>();
        x.version = j.at("version").get<int64_t>();
    }

    inline void to_json(json & j, const Configuration & x) {
        j = json::object();
        j["drains"] = x.drains;
        if (x.evacuations) {
            j["evacuations"] = x.evacuations;
        }
        j["keyVersions"] = x.keyVersions;
        j["policy"] = x.policy;
        j["services"] = x.services;
        j["teams"] = x.teams;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, TaskRef& x) {
        x.attempt = get_stack_optional<int64_t>(j, "attempt");
        x.index = j.at("index").get<int64_t>();
        x.job = j.at("job").get<std::string>();
    }

    inline void to_json(json & j, const TaskRef & x) {
        j = json::object();
        if (x.attempt) {
            j["attempt"] = x.attempt;
        }
        j["index"] = x.index;
        j["job"] = x.job;
    }

    inline void from_json(const json & j, TaskRefs& x) {
        x.tasks = j.at("tasks").get<std::vector<TaskRef>>();
    }

    inline void to_json(json & j, const TaskRefs & x) {
        j = json::object();
        j["tasks"] = x.tasks;
    }

    inline void from_json(const json & j, TaskAttempt& x) {
        x.attempt = j.at("attempt").get<int64_t>();
        x.task = j.at("task").get<std::string>();
    }

    inline void to_json(json & j, const TaskAttempt & x) {
        j = json::object();
        j["attempt"] = x.attempt;
        j["task"] = x.task;
    }

    inline void from_json(const json & j, AgentLoad& x) {
        x.committedProcessors = j.at("committedProcessors").get<double>();
        x.lastOrder = j.at("lastOrder").get<int64_t>();
        x.meanLeftMs = j.at("meanLeftMs").get<double>();
        x.sentMs = j.at("sentMs").get<int64_t>();
        x.slowdown = j.at("slowdown").get<double>();
        x.urgentPriority = j.at("urgentPriority").get<int64_t>();
        x.urgentWaitMs = j.at("urgentWaitMs").get<double>();
        x.waitMs = j.at("waitMs").get<double>();
    }

    inline void to_json(json & j, const AgentLoad & x) {
        j = json::object();
        j["committedProcessors"] = x.committedProcessors;
        j["lastOrder"] = x.lastOrder;
        j["meanLeftMs"] = x.meanLeftMs;
        j["sentMs"] = x.sentMs;
        j["slowdown"] = x.slowdown;
        j["urgentPriority"] = x.urgentPriority;
        j["urgentWaitMs"] = x.urgentWaitMs;
        j["waitMs"] = x.waitMs;
    }

    inline void from_json(const json & j, OrphanedJobs& x) {
        x.change = get_stack_optional<int64_t>(j, "change");
        x.held = j.at("held").get<std::vector<std::string>>();
        x.unanswered = j.at("unanswered").get<std::vector<std::string>>();
    }

    inline void to_json(json & j, const OrphanedJobs & x) {
        j = json::object();
        if (x.change) {
            j["change"] = x.change;
        }
        j["held"] = x.held;
        j["unanswered"] = x.unanswered;
    }

    inline void from_json(const json & j, AgentAnnouncement& x) {
        x.accepting = j.at("accepting").get<bool>();
        x.clean = j.at("clean").get<bool>();
        x.failureDomain = j.at("failureDomain").get<std::string>();
        x.held = j.at("held").get<std::vector<TaskAttempt>>();
        x.instance = j.at("instance").get<std::string>();
        x.labels = j.at("labels").get<std::vector<std::string>>();
        x.load = j.at("load").get<AgentLoad>();
        x.name = j.at("name").get<std::string>();
        x.orphans = get_stack_optional<OrphanedJobs>(j, "orphans");
        x.resources = j.at("resources").get<Resources>();
        x.service = j.at("service").get<std::string>();
    }

    inline void to_json(json & j, const AgentAnnouncement & x) {
        j = json::object();
        j["accepting"] = x.accepting;
        j["clean"] = x.clean;
        j["failureDomain"] = x.failureDomain;
        j["held"] = x.held;
        j["instance"] = x.instance;
        j["labels"] = x.labels;
        j["load"] = x.load;
        j["name"] = x.name;
        if (x.orphans) {
            j["orphans"] = x.orphans;
        }
        j["resources"] = x.resources;
        j["service"] = x.service;
    }

    inline void from_json(const json & j, BackendServer& x) {
        x.connections = j.at("connections").get<int64_t>();
        x.failureDomain = j.at("failureDomain").get<std::string>();
        x.name = j.at("name").get<std::string>();
        x.rack = j.at("rack").get<std::string>();
        x.region = j.at("region").get<std::string>();
        x.resources = j.at("resources").get<Resources>();
        x.services = j.at("services").get<std::vector<std::string>>();
        x.slots = j.at("slots").get<int64_t>();
    }

    inline void to_json(json & j, const BackendServer & x) {
        j = json::object();
        j["connections"] = x.connections;
        j["failureDomain"] = x.failureDomain;
        j["name"] = x.name;
        j["rack"] = x.rack;
        j["region"] = x.region;
        j["resources"] = x.resources;
        j["services"] = x.services;
        j["slots"] = x.slots;
    }

    inline void from_json(const json & j, AgentHello& x) {
        x.backend = j.at("backend").get<BackendServer>();
        x.configVersion = j.at("configVersion").get<int64_t>();
        x.draining = j.at("draining").get<bool>();
        x.healthy = j.at("healthy").get<bool>();
        x.instance = j.at("instance").get<std::string>();
        x.running = j.at("running").get<int64_t>();
        x.sequence = j.at("sequence").get<int64_t>();
        x.tableVersion = j.at("tableVersion").get<int64_t>();
        x.window = j.at("window").get<int64_t>();
    }

    inline void to_json(json & j, const AgentHello & x) {
        j = json::object();
        j["backend"] = x.backend;
        j["configVersion"] = x.configVersion;
        j["draining"] = x.draining;
        j["healthy"] = x.healthy;
        j["instance"] = x.instance;
        j["running"] = x.running;
        j["sequence"] = x.sequence;
        j["tableVersion"] = x.tableVersion;
        j["window"] = x.window;
    }

    inline void from_json(const json & j, AttemptState& x) {
        x.attempt = j.at("attempt").get<int64_t>();
        x.phase = j.at("phase").get<AttemptPhase>();
        x.reason = j.at("reason").get<Reason>();
        x.runMs = j.at("runMs").get<int64_t>();
        x.task = j.at("task").get<std::string>();
        x.waitedMs = get_stack_optional<int64_t>(j, "waitedMs");
    }

    inline void to_json(json & j, const AttemptState & x) {
        j = json::object();
        j["attempt"] = x.attempt;
        j["phase"] = x.phase;
        j["reason"] = x.reason;
        j["runMs"] = x.runMs;
        j["task"] = x.task;
        if (x.waitedMs) {
            j["waitedMs"] = x.waitedMs;
        }
    }

    inline void from_json(const json & j, AgentReport& x) {
        x.load = j.at("load").get<AgentLoad>();
        x.orphans = get_stack_optional<OrphanedJobs>(j, "orphans");
        x.states = j.at("states").get<std::vector<AttemptState>>();
    }

    inline void to_json(json & j, const AgentReport & x) {
        j = json::object();
        j["load"] = x.load;
        if (x.orphans) {
            j["orphans"] = x.orphans;
        }
        j["states"] = x.states;
    }

    inline void from_json(const json & j, AskAgents& x) {
        x.requestId = j.at("requestId").get<std::string>();
    }

    inline void to_json(json & j, const AskAgents & x) {
        j = json::object();
        j["requestId"] = x.requestId;
    }

    inline void from_json(const json & j, ShardOwner& x) {
        x.epoch = j.at("epoch").get<int64_t>();
        x.owner = j.at("owner").get<std::string>();
        x.shard = j.at("shard").get<int64_t>();
    }

    inline void to_json(json & j, const ShardOwner & x) {
        j = json::object();
        j["epoch"] = x.epoch;
        j["owner"] = x.owner;
        j["shard"] = x.shard;
    }

    inline void from_json(const json & j, AskTasks& x) {
        x.requestId = j.at("requestId").get<std::string>();
        x.shards = j.at("shards").get<std::vector<ShardOwner>>();
    }

    inline void to_json(json & j, const AskTasks & x) {
        j = json::object();
        j["requestId"] = x.requestId;
        j["shards"] = x.shards;
    }

    inline void from_json(const json & j, QueryRequest& x) {
        x.local = get_stack_optional<bool>(j, "local");
        x.text = j.at("text").get<std::string>();
    }

    inline void to_json(json & j, const QueryRequest & x) {
        j = json::object();
        if (x.local) {
            j["local"] = x.local;
        }
        j["text"] = x.text;
    }

    inline void from_json(const json & j, SubmitTask& x) {
        x.payload = j.at("payload").get<std::string>();
    }

    inline void to_json(json & j, const SubmitTask & x) {
        j = json::object();
        j["payload"] = x.payload;
    }

    inline void from_json(const json & j, SubmitJob& x) {
        x.caller = j.at("caller").get<std::string>();
        x.deadlineMs = get_stack_optional<int64_t>(j, "deadlineMs");
        x.declaredRunMs = get_stack_optional<int64_t>(j, "declaredRunMs");
        x.firstSubmittedMs = get_stack_optional<int64_t>(j, "firstSubmittedMs");
        x.id = get_stack_optional<std::string>(j, "id");
        x.idempotent = get_stack_optional<bool>(j, "idempotent");
        x.resources = get_stack_optional<Resources>(j, "resources");
        x.service = j.at("service").get<std::string>();
        x.tasks = j.at("tasks").get<std::vector<SubmitTask>>();
        x.team = j.at("team").get<std::string>();
    }

    inline void to_json(json & j, const SubmitJob & x) {
        j = json::object();
        j["caller"] = x.caller;
        if (x.deadlineMs) {
            j["deadlineMs"] = x.deadlineMs;
        }
        if (x.declaredRunMs) {
            j["declaredRunMs"] = x.declaredRunMs;
        }
        if (x.firstSubmittedMs) {
            j["firstSubmittedMs"] = x.firstSubmittedMs;
        }
        if (x.id) {
            j["id"] = x.id;
        }
        if (x.idempotent) {
            j["idempotent"] = x.idempotent;
        }
        if (x.resources) {
            j["resources"] = x.resources;
        }
        j["service"] = x.service;
        j["tasks"] = x.tasks;
        j["team"] = x.team;
    }

    inline void from_json(const json & j, Forward& x) {
        x.job = get_stack_optional<std::string>(j, "job");
        x.kind = j.at("kind").get<ForwardKind>();
        x.query = get_stack_optional<QueryRequest>(j, "query");
        x.requestId = j.at("requestId").get<std::string>();
        x.submit = get_stack_optional<SubmitJob>(j, "submit");
        x.wait = get_stack_optional<bool>(j, "wait");
    }

    inline void to_json(json & j, const Forward & x) {
        j = json::object();
        if (x.job) {
            j["job"] = x.job;
        }
        j["kind"] = x.kind;
        if (x.query) {
            j["query"] = x.query;
        }
        j["requestId"] = x.requestId;
        if (x.submit) {
            j["submit"] = x.submit;
        }
        if (x.wait) {
            j["wait"] = x.wait;
        }
    }

    inline void from_json(const json & j, JobAnswer& x) {
        x.detail = get_stack_optional<std::string>(j, "detail");
        x.firstSubmittedMs = get_stack_optional<int64_t>(j, "firstSubmittedMs");
        x.id = j.at("id").get<std::string>();
        x.notRun = j.at("notRun").get<bool>();
        x.outcome = j.at("outcome").get<JobOutcome>();
        x.reason = j.at("reason").get<Reason>();
        x.results = get_stack_optional<std::vector<std::string>>(j, "results");
        x.retryAfterMs = get_stack_optional<int64_t>(j, "retryAfterMs");
        x.taskCount = j.at("taskCount").get<int64_t>();
        x.tasksEnded = j.at("tasksEnded").get<int64_t>();
        x.tasksStarted = j.at("tasksStarted").get<int64_t>();
    }

    inline void to_json(json & j, const JobAnswer & x) {
        j = json::object();
        if (x.detail) {
            j["detail"] = x.detail;
        }
        if (x.firstSubmittedMs) {
            j["firstSubmittedMs"] = x.firstSubmittedMs;
        }
        j["id"] = x.id;
        j["notRun"] = x.notRun;
        j["outcome"] = x.outcome;
        j["reason"] = x.reason;
        if (x.results) {
            j["results"] = x.results;
        }
        if (x.retryAfterMs) {
            j["retryAfterMs"] = x.retryAfterMs;
        }
        j["taskCount"] = x.taskCount;
        j["tasksEnded"] = x.tasksEnded;
        j["tasksStarted"] = x.tasksStarted;
    }

    inline void from_json(const json & j, QueryAnswer& x) {
        x.column = get_stack_optional<int64_t>(j, "column");
        x.columns = j.at("columns").get<std::vector<std::string>>();
        x.error = get_stack_optional<std::string>(j, "error");
        x.ok = j.at("ok").get<bool>();
        x.rows = j.at("rows").get<std::vector<std::vector<std::string>>>();
        x.silent = j.at("silent").get<std::vector<std::string>>();
    }

    inline void to_json(json & j, const QueryAnswer & x) {
        j = json::object();
        if (x.column) {
            j["column"] = x.column;
        }
        j["columns"] = x.columns;
        if (x.error) {
            j["error"] = x.error;
        }
        j["ok"] = x.ok;
        j["rows"] = x.rows;
        j["silent"] = x.silent;
    }

    inline void from_json(const json & j, ForwardAnswer& x) {
        x.answer = get_stack_optional<JobAnswer>(j, "answer");
        x.notOwner = get_stack_optional<bool>(j, "notOwner");
        x.query = get_stack_optional<QueryAnswer>(j, "query");
        x.requestId = j.at("requestId").get<std::string>();
    }

    inline void to_json(json & j, const ForwardAnswer & x) {
        j = json::object();
        if (x.answer) {
            j["answer"] = x.answer;
        }
        if (x.notOwner) {
            j["notOwner"] = x.notOwner;
        }
        if (x.query) {
            j["query"] = x.query;
        }
        j["requestId"] = x.requestId;
    }

    inline void from_json(const json & j, ForwardedCancel& x) {
        x.token = j.at("token").get<std::string>();
    }

    inline void to_json(json & j, const ForwardedCancel & x) {
        j = json::object();
        j["token"] = x.token;
    }

    inline void from_json(const json & j, JobQueue& x) {
        x.attemptLimit = j.at("attemptLimit").get<int64_t>();
        x.host = j.at("host").get<std::string>();
        x.latencyFactor = j.at("latencyFactor").get<double>();
        x.name = j.at("name").get<std::string>();
        x.path = j.at("path").get<std::string>();
        x.priority = j.at("priority").get<int64_t>();
        x.service = j.at("service").get<std::string>();
        x.targetLatencyMs = j.at("targetLatencyMs").get<int64_t>();
    }

    inline void to_json(json & j, const JobQueue & x) {
        j = json::object();
        j["attemptLimit"] = x.attemptLimit;
        j["host"] = x.host;
        j["latencyFactor"] = x.latencyFactor;
        j["name"] = x.name;
        j["path"] = x.path;
        j["priority"] = x.priority;
        j["service"] = x.service;
        j["targetLatencyMs"] = x.targetLatencyMs;
    }

    inline void from_json(const json & j, TransientStep& x) {
        x.after = j.at("after").get<std::vector<int64_t>>();
        x.dataRack = j.at("dataRack").get<std::string>();
        x.expectedRunMs = j.at("expectedRunMs").get<int64_t>();
        x.maxTasksPerBackend = j.at("maxTasksPerBackend").get<int64_t>();
        x.requiredLabel = j.at("requiredLabel").get<std::string>();
        x.resources = j.at("resources").get<Resources>();
        x.taskCount = j.at("taskCount").get<int64_t>();
    }

    inline void to_json(json & j, const TransientStep & x) {
        j = json::object();
        j["after"] = x.after;
        j["dataRack"] = x.dataRack;
        j["expectedRunMs"] = x.expectedRunMs;
        j["maxTasksPerBackend"] = x.maxTasksPerBackend;
        j["requiredLabel"] = x.requiredLabel;
        j["resources"] = x.resources;
        j["taskCount"] = x.taskCount;
    }

    inline void from_json(const json & j, ForwardedJob& x) {
        x.ageMs = j.at("ageMs").get<int64_t>();
        x.echoMs = j.at("echoMs").get<int64_t>();
        x.job = j.at("job").get<std::string>();
        x.payload = j.at("payload").get<std::string>();
        x.queue = j.at("queue").get<JobQueue>();
        x.steps = j.at("steps").get<std::vector<TransientStep>>();
        x.timeoutInMs = j.at("timeoutInMs").get<int64_t>();
        x.token = j.at("token").get<std::string>();
    }

    inline void to_json(json & j, const ForwardedJob & x) {
        j = json::object();
        j["ageMs"] = x.ageMs;
        j["echoMs"] = x.echoMs;
        j["job"] = x.job;
        j["payload"] = x.payload;
        j["queue"] = x.queue;
        j["steps"] = x.steps;
        j["timeoutInMs"] = x.timeoutInMs;
        j["token"] = x.token;
    }

    inline void from_json(const json & j, ForwardedResult& x) {
        x.outcome = j.at("outcome").get<TransientOutcome>();
        x.reason = j.at("reason").get<Reason>();
        x.retryAfterMs = j.at("retryAfterMs").get<int64_t>();
        x.token = j.at("token").get<std::string>();
    }

    inline void to_json(json & j, const ForwardedResult & x) {
        j = json::object();
        j["outcome"] = x.outcome;
        j["reason"] = x.reason;
        j["retryAfterMs"] = x.retryAfterMs;
        j["token"] = x.token;
    }

    inline void from_json(const json & j, DomainEvacuation& x) {
        x.ageMs = get_stack_optional<int64_t>(j, "ageMs");
        x.failureDomain = j.at("failureDomain").get<std::string>();
        x.inForce = j.at("inForce").get<bool>();
        x.version = j.at("version").get<int64_t>();
    }

    inline void to_json(json & j, const DomainEvacuation & x) {
        j = json::object();
        if (x.ageMs) {
            j["ageMs"] = x.ageMs;
        }
        j["failureDomain"] = x.failureDomain;
        j["inForce"] = x.inForce;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, EvacuationList& x) {
        x.completeAsOf = get_stack_optional<int64_t>(j, "completeAsOf");
        x.evacuations = j.at("evacuations").get<std::vector<DomainEvacuation>>();
    }

    inline void to_json(json & j, const EvacuationList & x) {
        j = json::object();
        if (x.completeAsOf) {
            j["completeAsOf"] = x.completeAsOf;
        }
        j["evacuations"] = x.evacuations;
    }

    inline void from_json(const json & j, Member& x) {
        x.failureDomain = j.at("failureDomain").get<std::string>();
        x.heardMsAgo = get_stack_optional<int64_t>(j, "heardMsAgo");
        x.host = j.at("host").get<std::string>();
        x.httpPort = j.at("httpPort").get<int64_t>();
        x.instance = j.at("instance").get<std::string>();
        x.peerPort = j.at("peerPort").get<int64_t>();
    }

    inline void to_json(json & j, const Member & x) {
        j = json::object();
        j["failureDomain"] = x.failureDomain;
        if (x.heardMsAgo) {
            j["heardMsAgo"] = x.heardMsAgo;
        }
        j["host"] = x.host;
        j["httpPort"] = x.httpPort;
        j["instance"] = x.instance;
        j["peerPort"] = x.peerPort;
    }

    inline void from_json(const json & j, OrphanList& x) {
        x.ageMs = j.at("ageMs").get<int64_t>();
        x.agent = j.at("agent").get<std::string>();
        x.orphans = j.at("orphans").get<OrphanedJobs>();
    }

    inline void to_json(json & j, const OrphanList & x) {
        j = json::object();
        j["ageMs"] = x.ageMs;
        j["agent"] = x.agent;
        j["orphans"] = x.orphans;
    }

    inline void from_json(const json & j, GatewayAnnouncement& x) {
        x.echoMs = j.at("echoMs").get<int64_t>();
        x.evacuations = get_stack_optional<EvacuationList>(j, "evacuations");
        x.gateway = j.at("gateway").get<Member>();
        x.loadIntervalMs = get_stack_optional<int64_t>(j, "loadIntervalMs");
        x.operatorsReadMsAgo = get_stack_optional<int64_t>(j, "operatorsReadMsAgo");
        x.orphanLists = get_stack_optional<std::vector<OrphanList>>(j, "orphanLists");
        x.others = j.at("others").get<std::vector<Member>>();
        x.queuesVersion = j.at("queuesVersion").get<int64_t>();
        x.sentMs = get_stack_optional<int64_t>(j, "sentMs");
        x.spareProcessors = get_stack_optional<double>(j, "spareProcessors");
    }

    inline void to_json(json & j, const GatewayAnnouncement & x) {
        j = json::object();
        j["echoMs"] = x.echoMs;
        if (x.evacuations) {
            j["evacuations"] = x.evacuations;
        }
        j["gateway"] = x.gateway;
        if (x.loadIntervalMs) {
            j["loadIntervalMs"] = x.loadIntervalMs;
        }
        if (x.operatorsReadMsAgo) {
            j["operatorsReadMsAgo"] = x.operatorsReadMsAgo;
        }
        if (x.orphanLists) {
            j["orphanLists"] = x.orphanLists;
        }
        j["others"] = x.others;
        j["queuesVersion"] = x.queuesVersion;
        if (x.sentMs) {
            j["sentMs"] = x.sentMs;
        }
        if (x.spareProcessors) {
            j["spareProcessors"] = x.spareProcessors;
        }
    }

    inline void from_json(const json & j, OwnershipTable& x) {
        x.previousRoster = j.at("previousRoster").get<std::vector<Member>>();
        x.roster = j.at("roster").get<std::vector<Member>>();
        x.rosterVersion = j.at("rosterVersion").get<int64_t>();
        x.shards = j.at("shards").get<std::vector<ShardOwner>>();
        x.version = j.at("version").get<int64_t>();
    }

    inline void to_json(json & j, const OwnershipTable & x) {
        j = json::object();
        j["previousRoster"] = x.previousRoster;
        j["roster"] = x.roster;
        j["rosterVersion"] = x.rosterVersion;
        j["shards"] = x.shards;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, GatewayPong& x) {
        x.configuration = get_stack_optional<Configuration>(j, "configuration");
        x.configVersion = j.at("configVersion").get<int64_t>();
        x.demand = j.at("demand").get<int64_t>();
        x.instance = j.at("instance").get<std::string>();
        x.sequence = j.at("sequence").get<int64_t>();
        x.table = get_stack_optional<OwnershipTable>(j, "table");
        x.tableVersion = j.at("tableVersion").get<int64_t>();
    }

    inline void to_json(json & j, const GatewayPong & x) {
        j = json::object();
        if (x.configuration) {
            j["configuration"] = x.configuration;
        }
        j["configVersion"] = x.configVersion;
        j["demand"] = x.demand;
        j["instance"] = x.instance;
        j["sequence"] = x.sequence;
        if (x.table) {
            j["table"] = x.table;
        }
        j["tableVersion"] = x.tableVersion;
    }

    inline void from_json(const json & j, TaskSnapshot& x) {
        x.agent = get_stack_optional<std::string>(j, "agent");
        x.attempt = j.at("attempt").get<int64_t>();
        x.epoch = j.at("epoch").get<int64_t>();
        x.index = j.at("index").get<int64_t>();
        x.phase = j.at("phase").get<TaskPhase>();
        x.reason = get_stack_optional<Reason>(j, "reason");
        x.result = get_stack_optional<std::string>(j, "result");
        x.sent = j.at("sent").get<bool>();
    }

    inline void to_json(json & j, const TaskSnapshot & x) {
        j = json::object();
        if (x.agent) {
            j["agent"] = x.agent;
        }
        j["attempt"] = x.attempt;
        j["epoch"] = x.epoch;
        j["index"] = x.index;
        j["phase"] = x.phase;
        if (x.reason) {
            j["reason"] = x.reason;
        }
        if (x.result) {
            j["result"] = x.result;
        }
        j["sent"] = x.sent;
    }

    inline void from_json(const json & j, JobSnapshot& x) {
        x.answer = j.at("answer").get<JobAnswer>();
        x.digest = j.at("digest").get<std::string>();
        x.id = j.at("id").get<std::string>();
        x.submit = get_stack_optional<SubmitJob>(j, "submit");
        x.tasks = j.at("tasks").get<std::vector<TaskSnapshot>>();
    }

    inline void to_json(json & j, const JobSnapshot & x) {
        j = json::object();
        j["answer"] = x.answer;
        j["digest"] = x.digest;
        j["id"] = x.id;
        if (x.submit) {
            j["submit"] = x.submit;
        }
        j["tasks"] = x.tasks;
    }

    inline void from_json(const json & j, UnloggedWindow& x) {
        x.instance = j.at("instance").get<std::string>();
        x.shard = j.at("shard").get<int64_t>();
        x.sinceMs = j.at("sinceMs").get<int64_t>();
        x.untilMs = j.at("untilMs").get<int64_t>();
    }

    inline void to_json(json & j, const UnloggedWindow & x) {
        j = json::object();
        j["instance"] = x.instance;
        j["shard"] = x.shard;
        j["sinceMs"] = x.sinceMs;
        j["untilMs"] = x.untilMs;
    }

    inline void from_json(const json & j, Handover& x) {
        x.from = j.at("from").get<std::string>();
        x.jobs = j.at("jobs").get<std::vector<JobSnapshot>>();
        x.journalOffset = j.at("journalOffset").get<int64_t>();
        x.requestId = j.at("requestId").get<std::string>();
        x.shards = j.at("shards").get<std::vector<ShardOwner>>();
        x.unloggedWindows = get_stack_optional<std::vector<UnloggedWindow>>(j, "unloggedWindows");
    }

    inline void to_json(json & j, const Handover & x) {
        j = json::object();
        j["from"] = x.from;
        j["jobs"] = x.jobs;
        j["journalOffset"] = x.journalOffset;
        j["requestId"] = x.requestId;
        j["shards"] = x.shards;
        if (x.unloggedWindows) {
            j["unloggedWindows"] = x.unloggedWindows;
        }
    }

    inline void from_json(const json & j, HandoverAccepted& x) {
        x.instance = j.at("instance").get<std::string>();
        x.requestId = j.at("requestId").get<std::string>();
    }

    inline void to_json(json & j, const HandoverAccepted & x) {
        j = json::object();
        j["instance"] = x.instance;
        j["requestId"] = x.requestId;
    }

    inline void from_json(const json & j, KnownAgents& x) {
        x.agents = j.at("agents").get<std::vector<std::string>>();
        x.completeSinceMs = j.at("completeSinceMs").get<int64_t>();
        x.instance = j.at("instance").get<std::string>();
        x.requestId = j.at("requestId").get<std::string>();
    }

    inline void to_json(json & j, const KnownAgents & x) {
        j = json::object();
        j["agents"] = x.agents;
        j["completeSinceMs"] = x.completeSinceMs;
        j["instance"] = x.instance;
        j["requestId"] = x.requestId;
    }

    inline void from_json(const json & j, UnloggedNotice& x) {
        x.instance = j.at("instance").get<std::string>();
        x.sinceMs = j.at("sinceMs").get<int64_t>();
    }

    inline void to_json(json & j, const UnloggedNotice & x) {
        j = json::object();
        j["instance"] = x.instance;
        j["sinceMs"] = x.sinceMs;
    }

    inline void from_json(const json & j, PeerPing& x) {
        x.acknowledgedUnlogged = j.at("acknowledgedUnlogged").get<std::vector<UnloggedNotice>>();
        x.configuration = get_stack_optional<Configuration>(j, "configuration");
        x.configVersion = j.at("configVersion").get<int64_t>();
        x.heardSequence = j.at("heardSequence").get<int64_t>();
        x.instance = j.at("instance").get<std::string>();
        x.journalOffset = j.at("journalOffset").get<int64_t>();
        x.leaving = j.at("leaving").get<bool>();
        x.live = j.at("live").get<std::vector<std::string>>();
        x.reply = j.at("reply").get<bool>();
        x.sequence = j.at("sequence").get<int64_t>();
        x.table = get_stack_optional<OwnershipTable>(j, "table");
        x.tableVersion = j.at("tableVersion").get<int64_t>();
        x.unloggedSinceMs = j.at("unloggedSinceMs").get<int64_t>();
    }

    inline void to_json(json & j, const PeerPing & x) {
        j = json::object();
        j["acknowledgedUnlogged"] = x.acknowledgedUnlogged;
        if (x.configuration) {
            j["configuration"] = x.configuration;
        }
        j["configVersion"] = x.configVersion;
        j["heardSequence"] = x.heardSequence;
        j["instance"] = x.instance;
        j["journalOffset"] = x.journalOffset;
        j["leaving"] = x.leaving;
        j["live"] = x.live;
        j["reply"] = x.reply;
        j["sequence"] = x.sequence;
        if (x.table) {
            j["table"] = x.table;
        }
        j["tableVersion"] = x.tableVersion;
        j["unloggedSinceMs"] = x.unloggedSinceMs;
    }

    inline void from_json(const json & j, QueueTable& x) {
        x.queues = j.at("queues").get<std::vector<JobQueue>>();
        x.version = j.at("version").get<int64_t>();
    }

    inline void to_json(json & j, const QueueTable & x) {
        j = json::object();
        j["queues"] = x.queues;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, StartTask& x) {
        x.attempt = j.at("attempt").get<int64_t>();
        x.epoch = j.at("epoch").get<int64_t>();
        x.index = j.at("index").get<int64_t>();
        x.job = j.at("job").get<std::string>();
        x.notAfterMs = j.at("notAfterMs").get<int64_t>();
        x.payload = j.at("payload").get<std::string>();
        x.resources = j.at("resources").get<Resources>();
        x.service = j.at("service").get<std::string>();
        x.shard = j.at("shard").get<int64_t>();
        x.unlogged = j.at("unlogged").get<bool>();
    }

    inline void to_json(json & j, const StartTask & x) {
        j = json::object();
        j["attempt"] = x.attempt;
        j["epoch"] = x.epoch;
        j["index"] = x.index;
        j["job"] = x.job;
        j["notAfterMs"] = x.notAfterMs;
        j["payload"] = x.payload;
        j["resources"] = x.resources;
        j["service"] = x.service;
        j["shard"] = x.shard;
        j["unlogged"] = x.unlogged;
    }

    inline void from_json(const json & j, StartTasks& x) {
        x.demand = j.at("demand").get<int64_t>();
        x.tasks = j.at("tasks").get<std::vector<StartTask>>();
    }

    inline void to_json(json & j, const StartTasks & x) {
        j = json::object();
        j["demand"] = x.demand;
        j["tasks"] = x.tasks;
    }

    inline void from_json(const json & j, TaskOrders& x) {
        x.deadlineInMs = j.at("deadlineInMs").get<int64_t>();
        x.echoMs = j.at("echoMs").get<int64_t>();
        x.expectedRunMs = j.at("expectedRunMs").get<int64_t>();
        x.longestWaitMs = get_stack_optional<int64_t>(j, "longestWaitMs");
        x.payload = j.at("payload").get<std::string>();
        x.priority = j.at("priority").get<int64_t>();
        x.requiredLabel = get_stack_optional<std::string>(j, "requiredLabel");
        x.resources = j.at("resources").get<Resources>();
        x.sequence = j.at("sequence").get<int64_t>();
        x.service = get_stack_optional<std::string>(j, "service");
        x.targetInMs = j.at("targetInMs").get<int64_t>();
        x.tasks = j.at("tasks").get<std::vector<TaskAttempt>>();
    }

    inline void to_json(json & j, const TaskOrders & x) {
        j = json::object();
        j["deadlineInMs"] = x.deadlineInMs;
        j["echoMs"] = x.echoMs;
        j["expectedRunMs"] = x.expectedRunMs;
        if (x.longestWaitMs) {
            j["longestWaitMs"] = x.longestWaitMs;
        }
        j["payload"] = x.payload;
        j["priority"] = x.priority;
        if (x.requiredLabel) {
            j["requiredLabel"] = x.requiredLabel;
        }
        j["resources"] = x.resources;
        j["sequence"] = x.sequence;
        if (x.service) {
            j["service"] = x.service;
        }
        j["targetInMs"] = x.targetInMs;
        j["tasks"] = x.tasks;
    }

    inline void from_json(const json & j, TaskState& x) {
        x.attempt = j.at("attempt").get<int64_t>();
        x.epoch = j.at("epoch").get<int64_t>();
        x.index = j.at("index").get<int64_t>();
        x.job = j.at("job").get<std::string>();
        x.phase = j.at("phase").get<TaskPhase>();
        x.reason = j.at("reason").get<Reason>();
        x.result = get_stack_optional<std::string>(j, "result");
        x.runMs = get_stack_optional<double>(j, "runMs");
    }

    inline void to_json(json & j, const TaskState & x) {
        j = json::object();
        j["attempt"] = x.attempt;
        j["epoch"] = x.epoch;
        j["index"] = x.index;
        j["job"] = x.job;
        j["phase"] = x.phase;
        j["reason"] = x.reason;
        if (x.result) {
            j["result"] = x.result;
        }
        if (x.runMs) {
            j["runMs"] = x.runMs;
        }
    }

    inline void from_json(const json & j, TaskStates& x) {
        x.answerTo = get_stack_optional<std::string>(j, "answerTo");
        x.instance = j.at("instance").get<std::string>();
        x.running = j.at("running").get<int64_t>();
        x.states = j.at("states").get<std::vector<TaskState>>();
        x.window = j.at("window").get<int64_t>();
    }

    inline void to_json(json & j, const TaskStates & x) {
        j = json::object();
        if (x.answerTo) {
            j["answerTo"] = x.answerTo;
        }
        j["instance"] = x.instance;
        j["running"] = x.running;
        j["states"] = x.states;
        j["window"] = x.window;
    }

    inline void from_json(const json & j, WithdrawTasks& x) {
        x.tasks = j.at("tasks").get<std::vector<TaskAttempt>>();
    }

    inline void to_json(json & j, const WithdrawTasks & x) {
        j = json::object();
        j["tasks"] = x.tasks;
    }

    inline void from_json(const json & j, Frame& x) {
        x.acknowledgeTasks = get_stack_optional<TaskRefs>(j, "acknowledgeTasks");
        x.agentAnnouncement = get_stack_optional<AgentAnnouncement>(j, "agentAnnouncement");
        x.agentHello = get_stack_optional<AgentHello>(j, "agentHello");
        x.agentReport = get_stack_optional<AgentReport>(j, "agentReport");
        x.askAgents = get_stack_optional<AskAgents>(j, "askAgents");
        x.askTasks = get_stack_optional<AskTasks>(j, "askTasks");
        x.cancelTasks = get_stack_optional<TaskRefs>(j, "cancelTasks");
        x.forward = get_stack_optional<Forward>(j, "forward");
        x.forwardAnswer = get_stack_optional<ForwardAnswer>(j, "forwardAnswer");
        x.forwardedCancel = get_stack_optional<ForwardedCancel>(j, "forwardedCancel");
        x.forwardedJob = get_stack_optional<ForwardedJob>(j, "forwardedJob");
        x.forwardedResult = get_stack_optional<ForwardedResult>(j, "forwardedResult");
        x.gatewayAnnouncement = get_stack_optional<GatewayAnnouncement>(j, "gatewayAnnouncement");
        x.gatewayPong = get_stack_optional<GatewayPong>(j, "gatewayPong");
        x.handover = get_stack_optional<Handover>(j, "handover");
        x.handoverAccepted = get_stack_optional<HandoverAccepted>(j, "handoverAccepted");
        x.knownAgents = get_stack_optional<KnownAgents>(j, "knownAgents");
        x.peerPing = get_stack_optional<PeerPing>(j, "peerPing");
        x.queueTable = get_stack_optional<QueueTable>(j, "queueTable");
        x.startTasks = get_stack_optional<StartTasks>(j, "startTasks");
        x.taskOrders = get_stack_optional<TaskOrders>(j, "taskOrders");
        x.taskStates = get_stack_optional<TaskStates>(j, "taskStates");
        x.type = j.at("type").get<FrameType>();
        x.withdrawTasks = get_stack_optional<WithdrawTasks>(j, "withdrawTasks");
    }

    inline void to_json(json & j, const Frame & x) {
        j = json::object();
        if (x.acknowledgeTasks) {
            j["acknowledgeTasks"] = x.acknowledgeTasks;
        }
        if (x.agentAnnouncement) {
            j["agentAnnouncement"] = x.agentAnnouncement;
        }
        if (x.agentHello) {
            j["agentHello"] = x.agentHello;
        }
        if (x.agentReport) {
            j["agentReport"] = x.agentReport;
        }
        if (x.askAgents) {
            j["askAgents"] = x.askAgents;
        }
        if (x.askTasks) {
            j["askTasks"] = x.askTasks;
        }
        if (x.cancelTasks) {
            j["cancelTasks"] = x.cancelTasks;
        }
        if (x.forward) {
            j["forward"] = x.forward;
        }
        if (x.forwardAnswer) {
            j["forwardAnswer"] = x.forwardAnswer;
        }
        if (x.forwardedCancel) {
            j["forwardedCancel"] = x.forwardedCancel;
        }
        if (x.forwardedJob) {
            j["forwardedJob"] = x.forwardedJob;
        }
        if (x.forwardedResult) {
            j["forwardedResult"] = x.forwardedResult;
        }
        if (x.gatewayAnnouncement) {
            j["gatewayAnnouncement"] = x.gatewayAnnouncement;
        }
        if (x.gatewayPong) {
            j["gatewayPong"] = x.gatewayPong;
        }
        if (x.handover) {
            j["handover"] = x.handover;
        }
        if (x.handoverAccepted) {
            j["handoverAccepted"] = x.handoverAccepted;
        }
        if (x.knownAgents) {
            j["knownAgents"] = x.knownAgents;
        }
        if (x.peerPing) {
            j["peerPing"] = x.peerPing;
        }
        if (x.queueTable) {
            j["queueTable"] = x.queueTable;
        }
        if (x.startTasks) {
            j["startTasks"] = x.startTasks;
        }
        if (x.taskOrders) {
            j["taskOrders"] = x.taskOrders;
        }
        if (x.taskStates) {
            j["taskStates"] = x.taskStates;
        }
        j["type"] = x.type;
        if (x.withdrawTasks) {
            j["withdrawTasks"] = x.withdrawTasks;
        }
    }

    inline void from_json(const json & j, LearnedPatience& x) {
        x.queue = j.at("queue").get<std::string>();
        x.samples = j.at("samples").get<int64_t>();
        x.usualMs = j.at("usualMs").get<double>();
    }

    inline void to_json(json & j, const LearnedPatience & x) {
        j = json::object();
        j["queue"] = x.queue;
        j["samples"] = x.samples;
        j["usualMs"] = x.usualMs;
    }

    inline void from_json(const json & j, LearnedProfile& x) {
        x.key = j.at("key").get<std::string>();
        x.meanLog = j.at("meanLog").get<double>();
        x.meanMs = j.at("meanMs").get<double>();
        x.samples = j.at("samples").get<int64_t>();
    }

    inline void to_json(json & j, const LearnedProfile & x) {
        j = json::object();
        j["key"] = x.key;
        j["meanLog"] = x.meanLog;
        j["meanMs"] = x.meanMs;
        j["samples"] = x.samples;
    }

    inline void from_json(const json & j, LearnedSpeed& x) {
        x.agent = j.at("agent").get<std::string>();
        x.labels = j.at("labels").get<std::vector<std::string>>();
        x.logFactor = j.at("logFactor").get<double>();
        x.samples = j.at("samples").get<int64_t>();
    }

    inline void to_json(json & j, const LearnedSpeed & x) {
        j = json::object();
        j["agent"] = x.agent;
        j["labels"] = x.labels;
        j["logFactor"] = x.logFactor;
        j["samples"] = x.samples;
    }

    inline void from_json(const json & j, LearnedTimes& x) {
        x.gateway = j.at("gateway").get<std::string>();
        x.patiences = j.at("patiences").get<std::vector<LearnedPatience>>();
        x.profiles = j.at("profiles").get<std::vector<LearnedProfile>>();
        x.speeds = j.at("speeds").get<std::vector<LearnedSpeed>>();
        x.writtenMs = j.at("writtenMs").get<int64_t>();
    }

    inline void to_json(json & j, const LearnedTimes & x) {
        j = json::object();
        j["gateway"] = x.gateway;
        j["patiences"] = x.patiences;
        j["profiles"] = x.profiles;
        j["speeds"] = x.speeds;
        j["writtenMs"] = x.writtenMs;
    }

    inline void from_json(const json & j, ConfigChange& x) {
        x.drain = get_stack_optional<Drain>(j, "drain");
        x.evacuation = get_stack_optional<Evacuation>(j, "evacuation");
        x.kind = j.at("kind").get<ConfigKind>();
        x.name = j.at("name").get<std::string>();
        x.policy = get_stack_optional<Policy>(j, "policy");
        x.remove = j.at("remove").get<bool>();
        x.service = get_stack_optional<Service>(j, "service");
        x.team = get_stack_optional<Team>(j, "team");
    }

    inline void to_json(json & j, const ConfigChange & x) {
        j = json::object();
        if (x.drain) {
            j["drain"] = x.drain;
        }
        if (x.evacuation) {
            j["evacuation"] = x.evacuation;
        }
        j["kind"] = x.kind;
        j["name"] = x.name;
        if (x.policy) {
            j["policy"] = x.policy;
        }
        j["remove"] = x.remove;
        if (x.service) {
            j["service"] = x.service;
        }
        if (x.team) {
            j["team"] = x.team;
        }
    }

    inline void from_json(const json & j, Intent& x) {
        x.digest = j.at("digest").get<std::string>();
        x.firstSubmittedMs = j.at("firstSubmittedMs").get<int64_t>();
        x.job = j.at("job").get<std::string>();
        x.tasks = j.at("tasks").get<int64_t>();
        x.team = j.at("team").get<std::string>();
    }

    inline void to_json(json & j, const Intent & x) {
        j = json::object();
        j["digest"] = x.digest;
        j["firstSubmittedMs"] = x.firstSubmittedMs;
        j["job"] = x.job;
        j["tasks"] = x.tasks;
        j["team"] = x.team;
    }

    inline void from_json(const json & j, LogRecord& x) {
        x.basedOn = get_stack_optional<int64_t>(j, "basedOn");
        x.change = get_stack_optional<ConfigChange>(j, "change");
        x.configuration = get_stack_optional<Configuration>(j, "configuration");
        x.id = j.at("id").get<std::string>();
        x.instance = j.at("instance").get<std::string>();
        x.intents = get_stack_optional<std::vector<Intent>>(j, "intents");
        x.kind = j.at("kind").get<RecordKind>();
        x.member = get_stack_optional<Member>(j, "member");
        x.replaces = get_stack_optional<std::string>(j, "replaces");
        x.shards = get_stack_optional<std::vector<ShardOwner>>(j, "shards");
        x.table = get_stack_optional<OwnershipTable>(j, "table");
        x.unloggedWindows = get_stack_optional<std::vector<UnloggedWindow>>(j, "unloggedWindows");
        x.wallMs = j.at("wallMs").get<int64_t>();
    }

    inline void to_json(json & j, const LogRecord & x) {
        j = json::object();
        if (x.basedOn) {
            j["basedOn"] = x.basedOn;
        }
        if (x.change) {
            j["change"] = x.change;
        }
        if (x.configuration) {
            j["configuration"] = x.configuration;
        }
        j["id"] = x.id;
        j["instance"] = x.instance;
        if (x.intents) {
            j["intents"] = x.intents;
        }
        j["kind"] = x.kind;
        if (x.member) {
            j["member"] = x.member;
        }
        if (x.replaces) {
            j["replaces"] = x.replaces;
        }
        if (x.shards) {
            j["shards"] = x.shards;
        }
        if (x.table) {
            j["table"] = x.table;
        }
        if (x.unloggedWindows) {
            j["unloggedWindows"] = x.unloggedWindows;
        }
        j["wallMs"] = x.wallMs;
    }

    inline void from_json(const json & j, LogEntry& x) {
        x.offset = j.at("offset").get<int64_t>();
        x.record = j.at("record").get<LogRecord>();
    }

    inline void to_json(json & j, const LogEntry & x) {
        j = json::object();
        j["offset"] = x.offset;
        j["record"] = x.record;
    }

    inline void from_json(const json & j, RunTask& x) {
        x.index = j.at("index").get<int64_t>();
        x.job = j.at("job").get<std::string>();
        x.notAfterMs = j.at("notAfterMs").get<int64_t>();
        x.payload = j.at("payload").get<std::string>();
        x.service = j.at("service").get<std::string>();
    }

    inline void to_json(json & j, const RunTask & x) {
        j = json::object();
        j["index"] = x.index;
        j["job"] = x.job;
        j["notAfterMs"] = x.notAfterMs;
        j["payload"] = x.payload;
        j["service"] = x.service;
    }

    inline void from_json(const json & j, MessagesSet& x) {
        x.configuration = get_stack_optional<Configuration>(j, "configuration");
        x.frame = get_stack_optional<Frame>(j, "frame");
        x.jobAnswer = get_stack_optional<JobAnswer>(j, "jobAnswer");
        x.learnedTimes = get_stack_optional<LearnedTimes>(j, "learnedTimes");
        x.logEntry = get_stack_optional<LogEntry>(j, "logEntry");
        x.logRecord = get_stack_optional<LogRecord>(j, "logRecord");
        x.queryAnswer = get_stack_optional<QueryAnswer>(j, "queryAnswer");
        x.queryRequest = get_stack_optional<QueryRequest>(j, "queryRequest");
        x.runTask = get_stack_optional<RunTask>(j, "runTask");
        x.submitJob = get_stack_optional<SubmitJob>(j, "submitJob");
    }

    inline void to_json(json & j, const MessagesSet & x) {
        j = json::object();
        if (x.configuration) {
            j["configuration"] = x.configuration;
        }
        if (x.frame) {
            j["frame"] = x.frame;
        }
        if (x.jobAnswer) {
            j["jobAnswer"] = x.jobAnswer;
        }
        if (x.learnedTimes) {
            j["learnedTimes"] = x.learnedTimes;
        }
        if (x.logEntry) {
            j["logEntry"] = x.logEntry;
        }
        if (x.logRecord) {
            j["logRecord"] = x.logRecord;
        }
        if (x.queryAnswer) {
            j["queryAnswer"] = x.queryAnswer;
        }
        if (x.queryRequest) {
            j["queryRequest"] = x.queryRequest;
        }
        if (x.runTask) {
            j["runTask"] = x.runTask;
        }
        if (x.submitJob) {
            j["submitJob"] = x.submitJob;
        }
    }

    inline void from_json(const json & j, PlacementPolicy & x) {
        if (j == "least_loaded") x = PlacementPolicy::LeastLoaded;
        else if (j == "random") x = PlacementPolicy::Random;
        else if (j == "two_choices") x = PlacementPolicy::TwoChoices;
        else if (j == "weighted_window") x = PlacementPolicy::WeightedWindow;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"PlacementPolicy\""); }
    }

    inline void to_json(json & j, const PlacementPolicy & x) {
        switch (x) {
            case PlacementPolicy::LeastLoaded: j = "least_loaded"; break;
            case PlacementPolicy::Random: j = "random"; break;
            case PlacementPolicy::TwoChoices: j = "two_choices"; break;
            case PlacementPolicy::WeightedWindow: j = "weighted_window"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"PlacementPolicy\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, QueueingPolicy & x) {
        if (j == "fair") x = QueueingPolicy::Fair;
        else if (j == "fifo") x = QueueingPolicy::Fifo;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"QueueingPolicy\""); }
    }

    inline void to_json(json & j, const QueueingPolicy & x) {
        switch (x) {
            case QueueingPolicy::Fair: j = "fair"; break;
            case QueueingPolicy::Fifo: j = "fifo"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"QueueingPolicy\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, AttemptPhase & x) {
        if (j == "failed") x = AttemptPhase::Failed;
        else if (j == "not_started") x = AttemptPhase::NotStarted;
        else if (j == "running") x = AttemptPhase::Running;
        else if (j == "stopped") x = AttemptPhase::Stopped;
        else if (j == "succeeded") x = AttemptPhase::Succeeded;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"AttemptPhase\""); }
    }

    inline void to_json(json & j, const AttemptPhase & x) {
        switch (x) {
            case AttemptPhase::Failed: j = "failed"; break;
            case AttemptPhase::NotStarted: j = "not_started"; break;
            case AttemptPhase::Running: j = "running"; break;
            case AttemptPhase::Stopped: j = "stopped"; break;
            case AttemptPhase::Succeeded: j = "succeeded"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"AttemptPhase\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, Reason & x) {
        static std::unordered_map<std::string, Reason> enumValues {
            {"agent_draining", Reason::AgentDraining},
            {"agent_lost", Reason::AgentLost},
            {"attempts_exhausted", Reason::AttemptsExhausted},
            {"backend_busy", Reason::BackendBusy},
            {"backend_lost", Reason::BackendLost},
            {"backend_refused", Reason::BackendRefused},
            {"backend_slow", Reason::BackendSlow},
            {"backend_unreachable", Reason::BackendUnreachable},
            {"bad_task_count", Reason::BadTaskCount},
            {"body_too_large", Reason::BodyTooLarge},
            {"caller_gone", Reason::CallerGone},
            {"caller_limit", Reason::CallerLimit},
            {"cancelled", Reason::Cancelled},
            {"config_conflict", Reason::ConfigConflict},
            {"config_invalid", Reason::ConfigInvalid},
            {"connection_lost", Reason::ConnectionLost},
            {"deadline_passed", Reason::DeadlinePassed},
            {"deadline_unreachable", Reason::DeadlineUnreachable},
            {"displaced", Reason::Displaced},
            {"epoch_fenced", Reason::EpochFenced},
            {"failure_domain_evacuated", Reason::FailureDomainEvacuated},
            {"forwarding_failed", Reason::ForwardingFailed},
            {"gateway_lost", Reason::GatewayLost},
            {"id_conflict", Reason::IdConflict},
            {"lease_lapsed", Reason::LeaseLapsed},
            {"log_unavailable", Reason::LogUnavailable},
            {"malformed", Reason::Malformed},
            {"never_runnable", Reason::NeverRunnable},
            {"no_backend", Reason::NoBackend},
            {"no_configuration", Reason::NoConfiguration},
            {"no_room", Reason::NoRoom},
            {"no_slot", Reason::NoSlot},
            {"none", Reason::None},
            {"not_after_passed", Reason::NotAfterPassed},
            {"not_ready", Reason::NotReady},
            {"overloaded", Reason::Overloaded},
            {"owner_unreachable", Reason::OwnerUnreachable},
            {"predecessor_unlogged", Reason::PredecessorUnlogged},
            {"queue_full", Reason::QueueFull},
            {"quota_exceeded", Reason::QuotaExceeded},
            {"request_timed_out", Reason::RequestTimedOut},
            {"start_unacknowledged", Reason::StartUnacknowledged},
            {"start_unanswered", Reason::StartUnanswered},
            {"stopping", Reason::Stopping},
            {"submission_in_future", Reason::SubmissionInFuture},
            {"submission_too_old", Reason::SubmissionTooOld},
            {"task_failed", Reason::TaskFailed},
            {"task_lost", Reason::TaskLost},
            {"unknown_job", Reason::UnknownJob},
            {"unknown_queue", Reason::UnknownQueue},
            {"unknown_service", Reason::UnknownService},
            {"unknown_team", Reason::UnknownTeam},
            {"unsupported_job", Reason::UnsupportedJob},
            {"withdrawn", Reason::Withdrawn},
        };
        auto iter = enumValues.find(j.get<std::string>());
        if (iter != enumValues.end()) {
            x = iter->second;
        }
        else { throw std::runtime_error("Cannot deserialize to enumeration \"Reason\""); }
    }

    inline void to_json(json & j, const Reason & x) {
        switch (x) {
            case Reason::AgentDraining: j = "agent_draining"; break;
            case Reason::AgentLost: j = "agent_lost"; break;
            case Reason::AttemptsExhausted: j = "attempts_exhausted"; break;
            case Reason::BackendBusy: j = "backend_busy"; break;
            case Reason::BackendLost: j = "backend_lost"; break;
            case Reason::BackendRefused: j = "backend_refused"; break;
            case Reason::BackendSlow: j = "backend_slow"; break;
            case Reason::BackendUnreachable: j = "backend_unreachable"; break;
            case Reason::BadTaskCount: j = "bad_task_count"; break;
            case Reason::BodyTooLarge: j = "body_too_large"; break;
            case Reason::CallerGone: j = "caller_gone"; break;
            case Reason::CallerLimit: j = "caller_limit"; break;
            case Reason::Cancelled: j = "cancelled"; break;
            case Reason::ConfigConflict: j = "config_conflict"; break;
            case Reason::ConfigInvalid: j = "config_invalid"; break;
            case Reason::ConnectionLost: j = "connection_lost"; break;
            case Reason::DeadlinePassed: j = "deadline_passed"; break;
            case Reason::DeadlineUnreachable: j = "deadline_unreachable"; break;
            case Reason::Displaced: j = "displaced"; break;
            case Reason::EpochFenced: j = "epoch_fenced"; break;
            case Reason::FailureDomainEvacuated: j = "failure_domain_evacuated"; break;
            case Reason::ForwardingFailed: j = "forwarding_failed"; break;
            case Reason::GatewayLost: j = "gateway_lost"; break;
            case Reason::IdConflict: j = "id_conflict"; break;
            case Reason::LeaseLapsed: j = "lease_lapsed"; break;
            case Reason::LogUnavailable: j = "log_unavailable"; break;
            case Reason::Malformed: j = "malformed"; break;
            case Reason::NeverRunnable: j = "never_runnable"; break;
            case Reason::NoBackend: j = "no_backend"; break;
            case Reason::NoConfiguration: j = "no_configuration"; break;
            case Reason::NoRoom: j = "no_room"; break;
            case Reason::NoSlot: j = "no_slot"; break;
            case Reason::None: j = "none"; break;
            case Reason::NotAfterPassed: j = "not_after_passed"; break;
            case Reason::NotReady: j = "not_ready"; break;
            case Reason::Overloaded: j = "overloaded"; break;
            case Reason::OwnerUnreachable: j = "owner_unreachable"; break;
            case Reason::PredecessorUnlogged: j = "predecessor_unlogged"; break;
            case Reason::QueueFull: j = "queue_full"; break;
            case Reason::QuotaExceeded: j = "quota_exceeded"; break;
            case Reason::RequestTimedOut: j = "request_timed_out"; break;
            case Reason::StartUnacknowledged: j = "start_unacknowledged"; break;
            case Reason::StartUnanswered: j = "start_unanswered"; break;
            case Reason::Stopping: j = "stopping"; break;
            case Reason::SubmissionInFuture: j = "submission_in_future"; break;
            case Reason::SubmissionTooOld: j = "submission_too_old"; break;
            case Reason::TaskFailed: j = "task_failed"; break;
            case Reason::TaskLost: j = "task_lost"; break;
            case Reason::UnknownJob: j = "unknown_job"; break;
            case Reason::UnknownQueue: j = "unknown_queue"; break;
            case Reason::UnknownService: j = "unknown_service"; break;
            case Reason::UnknownTeam: j = "unknown_team"; break;
            case Reason::UnsupportedJob: j = "unsupported_job"; break;
            case Reason::Withdrawn: j = "withdrawn"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"Reason\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, ForwardKind & x) {
        if (j == "cancel") x = ForwardKind::Cancel;
        else if (j == "configure") x = ForwardKind::Configure;
        else if (j == "get") x = ForwardKind::Get;
        else if (j == "query") x = ForwardKind::Query;
        else if (j == "submit") x = ForwardKind::Submit;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"ForwardKind\""); }
    }

    inline void to_json(json & j, const ForwardKind & x) {
        switch (x) {
            case ForwardKind::Cancel: j = "cancel"; break;
            case ForwardKind::Configure: j = "configure"; break;
            case ForwardKind::Get: j = "get"; break;
            case ForwardKind::Query: j = "query"; break;
            case ForwardKind::Submit: j = "submit"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"ForwardKind\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, JobOutcome & x) {
        if (j == "completed") x = JobOutcome::Completed;
        else if (j == "failed") x = JobOutcome::Failed;
        else if (j == "pending") x = JobOutcome::Pending;
        else if (j == "refused") x = JobOutcome::Refused;
        else if (j == "unknown") x = JobOutcome::Unknown;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"JobOutcome\""); }
    }

    inline void to_json(json & j, const JobOutcome & x) {
        switch (x) {
            case JobOutcome::Completed: j = "completed"; break;
            case JobOutcome::Failed: j = "failed"; break;
            case JobOutcome::Pending: j = "pending"; break;
            case JobOutcome::Refused: j = "refused"; break;
            case JobOutcome::Unknown: j = "unknown"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"JobOutcome\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, TransientOutcome & x) {
        if (j == "failed") x = TransientOutcome::Failed;
        else if (j == "gave_up") x = TransientOutcome::GaveUp;
        else if (j == "refused") x = TransientOutcome::Refused;
        else if (j == "succeeded") x = TransientOutcome::Succeeded;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"TransientOutcome\""); }
    }

    inline void to_json(json & j, const TransientOutcome & x) {
        switch (x) {
            case TransientOutcome::Failed: j = "failed"; break;
            case TransientOutcome::GaveUp: j = "gave_up"; break;
            case TransientOutcome::Refused: j = "refused"; break;
            case TransientOutcome::Succeeded: j = "succeeded"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"TransientOutcome\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, TaskPhase & x) {
        if (j == "failed") x = TaskPhase::Failed;
        else if (j == "not_started") x = TaskPhase::NotStarted;
        else if (j == "running") x = TaskPhase::Running;
        else if (j == "succeeded") x = TaskPhase::Succeeded;
        else if (j == "unknown") x = TaskPhase::Unknown;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"TaskPhase\""); }
    }

    inline void to_json(json & j, const TaskPhase & x) {
        switch (x) {
            case TaskPhase::Failed: j = "failed"; break;
            case TaskPhase::NotStarted: j = "not_started"; break;
            case TaskPhase::Running: j = "running"; break;
            case TaskPhase::Succeeded: j = "succeeded"; break;
            case TaskPhase::Unknown: j = "unknown"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"TaskPhase\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, FrameType & x) {
        static std::unordered_map<std::string, FrameType> enumValues {
            {"acknowledge_tasks", FrameType::AcknowledgeTasks},
            {"agent_announcement", FrameType::AgentAnnouncement},
            {"agent_hello", FrameType::AgentHello},
            {"agent_report", FrameType::AgentReport},
            {"ask_agents", FrameType::AskAgents},
            {"ask_tasks", FrameType::AskTasks},
            {"cancel_tasks", FrameType::CancelTasks},
            {"forward", FrameType::Forward},
            {"forward_answer", FrameType::ForwardAnswer},
            {"forwarded_cancel", FrameType::ForwardedCancel},
            {"forwarded_job", FrameType::ForwardedJob},
            {"forwarded_result", FrameType::ForwardedResult},
            {"gateway_announcement", FrameType::GatewayAnnouncement},
            {"gateway_pong", FrameType::GatewayPong},
            {"handover", FrameType::Handover},
            {"handover_accepted", FrameType::HandoverAccepted},
            {"known_agents", FrameType::KnownAgents},
            {"peer_ping", FrameType::PeerPing},
            {"queue_table", FrameType::QueueTable},
            {"start_tasks", FrameType::StartTasks},
            {"task_orders", FrameType::TaskOrders},
            {"task_states", FrameType::TaskStates},
            {"withdraw_tasks", FrameType::WithdrawTasks},
        };
        auto iter = enumValues.find(j.get<std::string>());
        if (iter != enumValues.end()) {
            x = iter->second;
        }
        else { throw std::runtime_error("Cannot deserialize to enumeration \"FrameType\""); }
    }

    inline void to_json(json & j, const FrameType & x) {
        switch (x) {
            case FrameType::AcknowledgeTasks: j = "acknowledge_tasks"; break;
            case FrameType::AgentAnnouncement: j = "agent_announcement"; break;
            case FrameType::AgentHello: j = "agent_hello"; break;
            case FrameType::AgentReport: j = "agent_report"; break;
            case FrameType::AskAgents: j = "ask_agents"; break;
            case FrameType::AskTasks: j = "ask_tasks"; break;
            case FrameType::CancelTasks: j = "cancel_tasks"; break;
            case FrameType::Forward: j = "forward"; break;
            case FrameType::ForwardAnswer: j = "forward_answer"; break;
            case FrameType::ForwardedCancel: j = "forwarded_cancel"; break;
            case FrameType::ForwardedJob: j = "forwarded_job"; break;
            case FrameType::ForwardedResult: j = "forwarded_result"; break;
            case FrameType::GatewayAnnouncement: j = "gateway_announcement"; break;
            case FrameType::GatewayPong: j = "gateway_pong"; break;
            case FrameType::Handover: j = "handover"; break;
            case FrameType::HandoverAccepted: j = "handover_accepted"; break;
            case FrameType::KnownAgents: j = "known_agents"; break;
            case FrameType::PeerPing: j = "peer_ping"; break;
            case FrameType::QueueTable: j = "queue_table"; break;
            case FrameType::StartTasks: j = "start_tasks"; break;
            case FrameType::TaskOrders: j = "task_orders"; break;
            case FrameType::TaskStates: j = "task_states"; break;
            case FrameType::WithdrawTasks: j = "withdraw_tasks"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"FrameType\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, ConfigKind & x) {
        if (j == "drain") x = ConfigKind::Drain;
        else if (j == "evacuation") x = ConfigKind::Evacuation;
        else if (j == "policy") x = ConfigKind::Policy;
        else if (j == "service") x = ConfigKind::Service;
        else if (j == "team") x = ConfigKind::Team;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"ConfigKind\""); }
    }

    inline void to_json(json & j, const ConfigKind & x) {
        switch (x) {
            case ConfigKind::Drain: j = "drain"; break;
            case ConfigKind::Evacuation: j = "evacuation"; break;
            case ConfigKind::Policy: j = "policy"; break;
            case ConfigKind::Service: j = "service"; break;
            case ConfigKind::Team: j = "team"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"ConfigKind\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, RecordKind & x) {
        if (j == "claim") x = RecordKind::Claim;
        else if (j == "config") x = RecordKind::Config;
        else if (j == "config_snapshot") x = RecordKind::ConfigSnapshot;
        else if (j == "control_snapshot") x = RecordKind::ControlSnapshot;
        else if (j == "handed_over") x = RecordKind::HandedOver;
        else if (j == "intents") x = RecordKind::Intents;
        else if (j == "join") x = RecordKind::Join;
        else if (j == "leave") x = RecordKind::Leave;
        else if (j == "roster_settled") x = RecordKind::RosterSettled;
        else if (j == "shards_taken") x = RecordKind::ShardsTaken;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"RecordKind\""); }
    }

    inline void to_json(json & j, const RecordKind & x) {
        switch (x) {
            case RecordKind::Claim: j = "claim"; break;
            case RecordKind::Config: j = "config"; break;
            case RecordKind::ConfigSnapshot: j = "config_snapshot"; break;
            case RecordKind::ControlSnapshot: j = "control_snapshot"; break;
            case RecordKind::HandedOver: j = "handed_over"; break;
            case RecordKind::Intents: j = "intents"; break;
            case RecordKind::Join: j = "join"; break;
            case RecordKind::Leave: j = "leave"; break;
            case RecordKind::RosterSettled: j = "roster_settled"; break;
            case RecordKind::ShardsTaken: j = "shards_taken"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"RecordKind\": " + std::to_string(static_cast<int>(x)));
        }
    }
}
