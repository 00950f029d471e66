//  To parse this JSON data, first install
//
//      json.hpp  https://github.com/nlohmann/json
//
//  Then include this file, and then do
//
//     SettingsSet data = nlohmann::json::parse(jsonString);

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

    enum class LogLevel : int { Debug, Error, Info, Warning };

    struct AgentSettings {
        int64_t accelerators{};
        std::string backendUrl{};
        int64_t connections{};
        std::string failureDomain{};
        /**
         * host:peerPort of some gateways; the rest are learned from them.
         */
        std::vector<std::string> gateways{};
        int64_t heartbeatMs{};
        /**
         * IP address its metrics are served at.
         */
        std::string host{};
        /**
         * Must equal the gateways' leaseMs.
         */
        int64_t leaseMs{};
        LogLevel logLevel{};
        /**
         * Descriptors that this process may use, at most what the system permits; 0 for all of
         * these. Connections are limited by it.
         */
        int64_t maxDescriptors{};
        int64_t memoryMb{};
        /**
         * Port for /metrics, /health and /ready; 0 takes a free one.
         */
        int64_t metricsPort{};
        std::string name{};
        /**
         * How long an unacknowledged outcome is kept.
         */
        int64_t outcomeRetentionMs{};
        /**
         * Memory of the machine that this process may use; 0 if it is not known, which counts as
         * 128. What clients make the process hold is limited by it.
         */
        double processMemoryMb{};
        double processors{};
        std::string rack{};
        std::string region{};
        /**
         * Services the backend server can run; empty means any.
         */
        std::vector<std::string> services{};
        /**
         * A connection without a frame for this long is closed and made anew.
         */
        int64_t silenceMs{};
        int64_t slots{};
        int64_t stopTimeoutMs{};
        /**
         * A task without an answer from the backend server for this long counts as lost: it may
         * have run.
         */
        int64_t taskTimeoutMs{};
    };

    struct GatewaySettings {
        /**
         * An agent from which nothing was received for this long gets no work.
         */
        int64_t agentSilenceMs{};
        /**
         * How long a job id is stored to detect resubmissions; shorter than the log's retention.
         */
        int64_t dedupWindowMs{};
        int64_t defaultDeadlineMs{};
        std::string failureDomain{};
        int64_t heartbeatMs{};
        /**
         * IP address that the gateway listens on and is reached at.
         */
        std::string host{};
        /**
         * Port for callers and operators; 0 takes a free one.
         */
        int64_t httpPort{};
        int64_t httpThreads{};
        /**
         * Minimum time between two appends of intents.
         */
        int64_t journalBatchMs{};
        /**
         * How long an agent accepts starts after it last received frames from a majority of the
         * roster.
         */
        int64_t leaseMs{};
        LogLevel logLevel{};
        /**
         * Address of the platform's log service.
         */
        std::string logUrl{};
        int64_t maxBodyBytes{};
        int64_t maxDeadlineMs{};
        /**
         * Descriptors that this process may use, at most what the system permits; 0 for all of
         * these. Connections are limited by it.
         */
        int64_t maxDescriptors{};
        /**
         * Name of the instance; a random suffix makes it unique for each start.
         */
        std::string name{};
        /**
         * Port for gateways and agents; 0 takes a free one.
         */
        int64_t peerPort{};
        /**
         * A gateway from which nothing was received for this long loses its shards.
         */
        int64_t peerSilenceMs{};
        /**
         * Memory of the machine that this process may use; 0 if it is not known, which counts as
         * 128. What clients make the process hold is limited by it.
         */
        double processMemoryMb{};
        std::string region{};
        /**
         * Shards of job ids; the same on every gateway of a region.
         */
        int64_t shardCount{};
        int64_t startAckMs{};
        /**
         * How long a graceful stop may take.
         */
        int64_t stopTimeoutMs{};
        /**
         * After this time without a durable append, tasks start unlogged.
         */
        int64_t unloggedAfterMs{};
    };

    enum class AgentDecision : int { Moves, StartLimits, UrgencyOrder };

    struct TransientAgentSettings {
        /**
         * IP address and port of the backend server, until it announces another.
         */
        std::string backendAddress{};
        /**
         * Decisions that are switched off, to show the effect of each.
         */
        std::vector<AgentDecision> disabledDecisions{};
        /**
         * Within this time the evacuation of this agent's failure domain is in force. If its
         * gateways' news is older than half of it, the agent reads the store.
         */
        int64_t evacuationsMaxAgeMs{};
        std::string failureDomain{};
        /**
         * Number of gateways that this agent connects to, half of them in its failure domain. Only
         * these send it tasks.
         */
        int64_t gatewayLinks{};
        int64_t heartbeatMs{};
        /**
         * IP address the metrics are served at.
         */
        std::string host{};
        /**
         * Length of the lease that each renewal grants to running tasks; at most what the backend
         * server allows.
         */
        int64_t leaseMs{};
        LogLevel logLevel{};
        /**
         * Descriptors that this process may use, at most what the system permits; 0 for all of
         * these. Connections are limited by it.
         */
        int64_t maxDescriptors{};
        /**
         * Port of /metrics; 0 takes a free one.
         */
        int64_t metricsPort{};
        std::string name{};
        /**
         * Memory of the machine that this process may use; 0 if it is not known, which counts as
         * 128. What clients make the process hold is limited by it.
         */
        double processMemoryMb{};
        std::string region{};
        /**
         * IP address and port where the backend server announces itself.
         */
        std::string registrationAddress{};
        /**
         * Peer addresses of some gateways; the rest are learned from them.
         */
        std::vector<std::string> seeds{};
        std::string service{};
        /**
         * A gateway without a frame for this long counts as lost, and the tasks that it ordered are
         * stopped. Well under the time after which its callers submit again.
         */
        int64_t silenceMs{};
        /**
         * How long running tasks may continue after a stop was requested.
         */
        int64_t stopTimeoutMs{};
        /**
         * The platform's store.
         */
        std::string storeAddress{};
    };

    enum class GatewayDecision : int { Admission, AvoidedAgents, CorrectedPredictions, Displacement, Ejection, Forwarding, Gathering, LateBinding, LearnedMemory, LearnedSpeeds, OwnDelay, Paces, Patience, RandomTies, WaitErrors, WaitForecasts, WaitWeight };

    struct TransientGatewaySettings {
        /**
         * IP address and port for callers.
         */
        std::string callerAddress{};
        /**
         * Decisions that are switched off, to show the effect of each.
         */
        std::vector<GatewayDecision> disabledDecisions{};
        /**
         * Within this time the evacuation of a failure domain is in force everywhere.
         */
        int64_t evacuationsMaxAgeMs{};
        std::string failureDomain{};
        /**
         * Number of other gateways that this one connects to; about as many connect to it. With
         * fewer than three, gateways may be left unconnected to the others.
         */
        int64_t gatewayLinks{};
        /**
         * Interval of heartbeats. Three fit into silenceMs, so that one lost or late heartbeat has
         * no effect.
         */
        int64_t heartbeatMs{};
        /**
         * IP address the metrics are served at.
         */
        std::string host{};
        /**
         * Longest time that a task runs on after its agent has stopped renewing its lease.
         */
        int64_t leaseMs{};
        /**
         * What the link of this machine carries in each direction; 0 if it is not known. Reports of
         * agents and orders to them are limited by it.
         */
        double linkMbitPerS{};
        LogLevel logLevel{};
        int64_t maxBodyBytes{};
        /**
         * Descriptors that this process may use, at most what the system permits; 0 for all of
         * these. Connections are limited by it.
         */
        int64_t maxDescriptors{};
        /**
         * Port of /metrics; 0 takes a free one.
         */
        int64_t metricsPort{};
        std::string name{};
        /**
         * IP address and port for gateways and agents.
         */
        std::string peerAddress{};
        /**
         * IP address and port of the readiness probe.
         */
        std::string probeAddress{};
        /**
         * Memory of the machine that this process may use; 0 if it is not known, which counts as
         * 128. What clients make the process hold is limited by it.
         */
        double processMemoryMb{};
        /**
         * Processors of this machine that the gateway may use, or its share of one; 0 if it is not
         * known. Reports of agents are limited by it.
         */
        double processors{};
        /**
         * Within this time a new queue table is in force, also if the connection to the store that
         * it was to come by is dead. The store is read at least this often.
         */
        int64_t queuesMaxAgeMs{};
        std::string region{};
        /**
         * Peer addresses of some gateways; the rest are learned from them and from the store.
         */
        std::vector<std::string> seeds{};
        /**
         * From this number of known gateways on, backend servers count as shared by many: their
         * reported load is old when it is used. Late binding, predictions with their error,
         * displacement and forwarding act from then on.
         */
        int64_t sharedFromGateways{};
        /**
         * A link without a frame for this long is closed, and its peer counts as lost.
         */
        int64_t silenceMs{};
        /**
         * How long a graceful stop may take.
         */
        int64_t stopTimeoutMs{};
        /**
         * The platform's store.
         */
        std::string storeAddress{};
    };

    /**
     * Settings files of the daemons, one object for each daemon. The defaults suit a site of
     * four failure domains and eleven workers.
     */
    struct SettingsSet {
        std::optional<AgentSettings> agent{};
        std::optional<GatewaySettings> gateway{};
        std::optional<TransientAgentSettings> transientAgent{};
        std::optional<TransientGatewaySettings> transientGateway{};
    };
}

namespace Schema {
    void from_json(const json & j, AgentSettings & x);
    void to_json(json & j, const AgentSettings & x);

    void from_json(const json & j, GatewaySettings & x);
    void to_json(json & j, const GatewaySettings & x);

    void from_json(const json & j, TransientAgentSettings & x);
    void to_json(json & j, const TransientAgentSettings & x);

    void from_json(const json & j, TransientGatewaySettings & x);
    void to_json(json & j, const TransientGatewaySettings & x);

    void from_json(const json & j, SettingsSet & x);
    void to_json(json & j, const SettingsSet & x);

    void from_json(const json & j, LogLevel & x);
    void to_json(json & j, const LogLevel & x);

    void from_json(const json & j, AgentDecision & x);
    void to_json(json & j, const AgentDecision & x);

    void from_json(const json & j, GatewayDecision & x);
    void to_json(json & j, const GatewayDecision & x);

    inline void from_json(const json & j, AgentSettings& x) {
        x.accelerators = j.at("accelerators").get<int64_t>();
        x.backendUrl = j.at("backendUrl").get<std::string>();
        x.connections = j.at("connections").get<int64_t>();
        x.failureDomain = j.at("failureDomain").get<std::string>();
        x.gateways = j.at("gateways").get<std::vector<std::string>>();
        x.heartbeatMs = j.at("heartbeatMs").get<int64_t>();
        x.host = j.at("host").get<std::string>();
        x.leaseMs = j.at("leaseMs").get<int64_t>();
        x.logLevel = j.at("logLevel").get<LogLevel>();
        x.maxDescriptors = j.at("maxDescriptors").get<int64_t>();
        x.memoryMb = j.at("memoryMb").get<int64_t>();
        x.metricsPort = j.at("metricsPort").get<int64_t>();
        x.name = j.at("name").get<std::string>();
        x.outcomeRetentionMs = j.at("outcomeRetentionMs").get<int64_t>();
        x.processMemoryMb = j.at("processMemoryMb").get<double>();
        x.processors = j.at("processors").get<double>();
        x.rack = j.at("rack").get<std::string>();
        x.region = j.at("region").get<std::string>();
        x.services = j.at("services").get<std::vector<std::string>>();
        x.silenceMs = j.at("silenceMs").get<int64_t>();
        x.slots = j.at("slots").get<int64_t>();
        x.stopTimeoutMs = j.at("stopTimeoutMs").get<int64_t>();
        x.taskTimeoutMs = j.at("taskTimeoutMs").get<int64_t>();
    }

    inline void to_json(json & j, const AgentSettings & x) {
        j = json::object();
        j["accelerators"] = x.accelerators;
        j["backendUrl"] = x.backendUrl;
        j["connections"] = x.connections;
        j["failureDomain"] = x.failureDomain;
        j["gateways"] = x.gateways;
        j["heartbeatMs"] = x.heartbeatMs;
        j["host"] = x.host;
        j["leaseMs"] = x.leaseMs;
        j["logLevel"] = x.logLevel;
        j["maxDescriptors"] = x.maxDescriptors;
        j["memoryMb"] = x.memoryMb;
        j["metricsPort"] = x.metricsPort;
        j["name"] = x.name;
        j["outcomeRetentionMs"] = x.outcomeRetentionMs;
        j["processMemoryMb"] = x.processMemoryMb;
        j["processors"] = x.processors;
        j["rack"] = x.rack;
        j["region"] = x.region;
        j["services"] = x.services;
        j["silenceMs"] = x.silenceMs;
        j["slots"] = x.slots;
        j["stopTimeoutMs"] = x.stopTimeoutMs;
        j["taskTimeoutMs"] = x.taskTimeoutMs;
    }

    inline void from_json(const json & j, GatewaySettings& x) {
        x.agentSilenceMs = j.at("agentSilenceMs").get<int64_t>();
        x.dedupWindowMs = j.at("dedupWindowMs").get<int64_t>();
        x.defaultDeadlineMs = j.at("defaultDeadlineMs").get<int64_t>();
        x.failureDomain = j.at("failureDomain").get<std::string>();
        x.heartbeatMs = j.at("heartbeatMs").get<int64_t>();
        x.host = j.at("host").get<std::string>();
        x.httpPort = j.at("httpPort").get<int64_t>();
        x.httpThreads = j.at("httpThreads").get<int64_t>();
        x.journalBatchMs = j.at("journalBatchMs").get<int64_t>();
        x.leaseMs = j.at("leaseMs").get<int64_t>();
        x.logLevel = j.at("logLevel").get<LogLevel>();
        x.logUrl = j.at("logUrl").get<std::string>();
        x.maxBodyBytes = j.at("maxBodyBytes").get<int64_t>();
        x.maxDeadlineMs = j.at("maxDeadlineMs").get<int64_t>();
        x.maxDescriptors = j.at("maxDescriptors").get<int64_t>();
        x.name = j.at("name").get<std::string>();
        x.peerPort = j.at("peerPort").get<int64_t>();
        x.peerSilenceMs = j.at("peerSilenceMs").get<int64_t>();
        x.processMemoryMb = j.at("processMemoryMb").get<double>();
        x.region = j.at("region").get<std::string>();
        x.shardCount = j.at("shardCount").get<int64_t>();
        x.startAckMs = j.at("startAckMs").get<int64_t>();
        x.stopTimeoutMs = j.at("stopTimeoutMs").get<int64_t>();
        x.unloggedAfterMs = j.at("unloggedAfterMs").get<int64_t>();
    }

    inline void to_json(json & j, const GatewaySettings & x) {
        j = json::object();
        j["agentSilenceMs"] = x.agentSilenceMs;
        j["dedupWindowMs"] = x.dedupWindowMs;
        j["defaultDeadlineMs"] = x.defaultDeadlineMs;
        j["failureDomain"] = x.failureDomain;
        j["heartbeatMs"] = x.heartbeatMs;
        j["host"] = x.host;
        j["httpPort"] = x.httpPort;
        j["httpThreads"] = x.httpThreads;
        j["journalBatchMs"] = x.journalBatchMs;
        j["leaseMs"] = x.leaseMs;
        j["logLevel"] = x.logLevel;
        j["logUrl"] = x.logUrl;
        j["maxBodyBytes"] = x.maxBodyBytes;
        j["maxDeadlineMs"] = x.maxDeadlineMs;
        j["maxDescriptors"] = x.maxDescriptors;
        j["name"] = x.name;
        j["peerPort"] = x.peerPort;
        j["peerSilenceMs"] = x.peerSilenceMs;
        j["processMemoryMb"] = x.processMemoryMb;
        j["region"] = x.region;
        j["shardCount"] = x.shardCount;
        j["startAckMs"] = x.startAckMs;
        j["stopTimeoutMs"] = x.stopTimeoutMs;
        j["unloggedAfterMs"] = x.unloggedAfterMs;
    }

    inline void from_json(const json & j, TransientAgentSettings& x) {
        x.backendAddress = j.at("backendAddress").get<std::string>();
        x.disabledDecisions = j.at("disabledDecisions").get<std::vector<AgentDecision>>();
        x.evacuationsMaxAgeMs = j.at("evacuationsMaxAgeMs").get<int64_t>();
        x.failureDomain = j.at("failureDomain").get<std::string>();
        x.gatewayLinks = j.at("gatewayLinks").get<int64_t>();
        x.heartbeatMs = j.at("heartbeatMs").get<int64_t>();
        x.host = j.at("host").get<std::string>();
        x.leaseMs = j.at("leaseMs").get<int64_t>();
        x.logLevel = j.at("logLevel").get<LogLevel>();
        x.maxDescriptors = j.at("maxDescriptors").get<int64_t>();
        x.metricsPort = j.at("metricsPort").get<int64_t>();
        x.name = j.at("name").get<std::string>();
        x.processMemoryMb = j.at("processMemoryMb").get<double>();
        x.region = j.at("region").get<std::string>();
        x.registrationAddress = j.at("registrationAddress").get<std::string>();
        x.seeds = j.at("seeds").get<std::vector<std::string>>();
        x.service = j.at("service").get<std::string>();
        x.silenceMs = j.at("silenceMs").get<int64_t>();
        x.stopTimeoutMs = j.at("stopTimeoutMs").get<int64_t>();
        x.storeAddress = j.at("storeAddress").get<std::string>();
    }

    inline void to_json(json & j, const TransientAgentSettings & x) {
        j = json::object();
        j["backendAddress"] = x.backendAddress;
        j["disabledDecisions"] = x.disabledDecisions;
        j["evacuationsMaxAgeMs"] = x.evacuationsMaxAgeMs;
        j["failureDomain"] = x.failureDomain;
        j["gatewayLinks"] = x.gatewayLinks;
        j["heartbeatMs"] = x.heartbeatMs;
        j["host"] = x.host;
        j["leaseMs"] = x.leaseMs;
        j["logLevel"] = x.logLevel;
        j["maxDescriptors"] = x.maxDescriptors;
        j["metricsPort"] = x.metricsPort;
        j["name"] = x.name;
        j["processMemoryMb"] = x.processMemoryMb;
        j["region"] = x.region;
        j["registrationAddress"] = x.registrationAddress;
        j["seeds"] = x.seeds;
        j["service"] = x.service;
        j["silenceMs"] = x.silenceMs;
        j["stopTimeoutMs"] = x.stopTimeoutMs;
        j["storeAddress"] = x.storeAddress;
    }

    inline void from_json(const json & j, TransientGatewaySettings& x) {
        x.callerAddress = j.at("callerAddress").get<std::string>();
        x.disabledDecisions = j.at("disabledDecisions").get<std::vector<GatewayDecision>>();
        x.evacuationsMaxAgeMs = j.at("evacuationsMaxAgeMs").get<int64_t>();
        x.failureDomain = j.at("failureDomain").get<std::string>();
        x.gatewayLinks = j.at("gatewayLinks").get<int64_t>();
        x.heartbeatMs = j.at("heartbeatMs").get<int64_t>();
        x.host = j.at("host").get<std::string>();
        x.leaseMs = j.at("leaseMs").get<int64_t>();
        x.linkMbitPerS = j.at("linkMbitPerS").get<double>();
        x.logLevel = j.at("logLevel").get<LogLevel>();
        x.maxBodyBytes = j.at("maxBodyBytes").get<int64_t>();
        x.maxDescriptors = j.at("maxDescriptors").get<int64_t>();
        x.metricsPort = j.at("metricsPort").get<int64_t>();
        x.name = j.at("name").get<std::string>();
        x.peerAddress = j.at("peerAddress").get<std::string>();
        x.probeAddress = j.at("probeAddress").get<std::string>();
        x.processMemoryMb = j.at("processMemoryMb").get<double>();
        x.processors = j.at("processors").get<double>();
        x.queuesMaxAgeMs = j.at("queuesMaxAgeMs").get<int64_t>();
        x.region = j.at("region").get<std::string>();
        x.seeds = j.at("seeds").get<std::vector<std::string>>();
        x.sharedFromGateways = j.at("sharedFromGateways").get<int64_t>();
        x.silenceMs = j.at("silenceMs").get<int64_t>();
        x.stopTimeoutMs = j.at("stopTimeoutMs").get<int64_t>();
        x.storeAddress = j.at("storeAddress").get<std::string>();
    }

    inline void to_json(json & j, const TransientGatewaySettings & x) {
        j = json::object();
        j["callerAddress"] = x.callerAddress;
        j["disabledDecisions"] = x.disabledDecisions;
        j["evacuationsMaxAgeMs"] = x.evacuationsMaxAgeMs;
        j["failureDomain"] = x.failureDomain;
        j["gatewayLinks"] = x.gatewayLinks;
        j["heartbeatMs"] = x.heartbeatMs;
        j["host"] = x.host;
        j["leaseMs"] = x.leaseMs;
        j["linkMbitPerS"] = x.linkMbitPerS;
        j["logLevel"] = x.logLevel;
        j["maxBodyBytes"] = x.maxBodyBytes;
        j["maxDescriptors"] = x.maxDescriptors;
        j["metricsPort"] = x.metricsPort;
        j["name"] = x.name;
        j["peerAddress"] = x.peerAddress;
        j["probeAddress"] = x.probeAddress;
        j["processMemoryMb"] = x.processMemoryMb;
        j["processors"] = x.processors;
        j["queuesMaxAgeMs"] = x.queuesMaxAgeMs;
        j["region"] = x.region;
        j["seeds"] = x.seeds;
        j["sharedFromGateways"] = x.sharedFromGateways;
        j["silenceMs"] = x.silenceMs;
        j["stopTimeoutMs"] = x.stopTimeoutMs;
        j["storeAddress"] = x.storeAddress;
    }

    inline void from_json(const json & j, SettingsSet& x) {
        x.agent = get_stack_optional<AgentSettings>(j, "agent");
        x.gateway = get_stack_optional<GatewaySettings>(j, "gateway");
        x.transientAgent = get_stack_optional<TransientAgentSettings>(j, "transientAgent");
        x.transientGateway = get_stack_optional<TransientGatewaySettings>(j, "transientGateway");
    }

    inline void to_json(json & j, const SettingsSet & x) {
        j = json::object();
        if (x.agent) {
            j["agent"] = x.agent;
        }
        if (x.gateway) {
            j["gateway"] = x.gateway;
        }
        if (x.transientAgent) {
            j["transientAgent"] = x.transientAgent;
        }
        if (x.transientGateway) {
            j["transientGateway"] = x.transientGateway;
        }
    }

    inline void from_json(const json & j, LogLevel & x) {
        if (j == "debug") x = LogLevel::Debug;
        else if (j == "error") x = LogLevel::Error;
        else if (j == "info") x = LogLevel::Info;
        else if (j == "warning") x = LogLevel::Warning;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"LogLevel\""); }
    }

    inline void to_json(json & j, const LogLevel & x) {
        switch (x) {
            case LogLevel::Debug: j = "debug"; break;
            case LogLevel::Error: j = "error"; break;
            case LogLevel::Info: j = "info"; break;
            case LogLevel::Warning: j = "warning"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"LogLevel\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, AgentDecision & x) {
        if (j == "moves") x = AgentDecision::Moves;
        else if (j == "start_limits") x = AgentDecision::StartLimits;
        else if (j == "urgency_order") x = AgentDecision::UrgencyOrder;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"AgentDecision\""); }
    }

    inline void to_json(json & j, const AgentDecision & x) {
        switch (x) {
            case AgentDecision::Moves: j = "moves"; break;
            case AgentDecision::StartLimits: j = "start_limits"; break;
            case AgentDecision::UrgencyOrder: j = "urgency_order"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"AgentDecision\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, GatewayDecision & x) {
        static std::unordered_map<std::string, GatewayDecision> enumValues {
            {"admission", GatewayDecision::Admission},
            {"avoided_agents", GatewayDecision::AvoidedAgents},
            {"corrected_predictions", GatewayDecision::CorrectedPredictions},
            {"displacement", GatewayDecision::Displacement},
            {"ejection", GatewayDecision::Ejection},
            {"forwarding", GatewayDecision::Forwarding},
            {"gathering", GatewayDecision::Gathering},
            {"late_binding", GatewayDecision::LateBinding},
            {"learned_memory", GatewayDecision::LearnedMemory},
            {"learned_speeds", GatewayDecision::LearnedSpeeds},
            {"own_delay", GatewayDecision::OwnDelay},
            {"paces", GatewayDecision::Paces},
            {"patience", GatewayDecision::Patience},
            {"random_ties", GatewayDecision::RandomTies},
            {"wait_errors", GatewayDecision::WaitErrors},
            {"wait_forecasts", GatewayDecision::WaitForecasts},
            {"wait_weight", GatewayDecision::WaitWeight},
        };
        auto iter = enumValues.find(j.get<std::string>());
        if (iter != enumValues.end()) {
            x = iter->second;
        }
        else { throw std::runtime_error("Cannot deserialize to enumeration \"GatewayDecision\""); }
    }

    inline void to_json(json & j, const GatewayDecision & x) {
        switch (x) {
            case GatewayDecision::Admission: j = "admission"; break;
            case GatewayDecision::AvoidedAgents: j = "avoided_agents"; break;
            case GatewayDecision::CorrectedPredictions: j = "corrected_predictions"; break;
            case GatewayDecision::Displacement: j = "displacement"; break;
            case GatewayDecision::Ejection: j = "ejection"; break;
            case GatewayDecision::Forwarding: j = "forwarding"; break;
            case GatewayDecision::Gathering: j = "gathering"; break;
            case GatewayDecision::LateBinding: j = "late_binding"; break;
            case GatewayDecision::LearnedMemory: j = "learned_memory"; break;
            case GatewayDecision::LearnedSpeeds: j = "learned_speeds"; break;
            case GatewayDecision::OwnDelay: j = "own_delay"; break;
            case GatewayDecision::Paces: j = "paces"; break;
            case GatewayDecision::Patience: j = "patience"; break;
            case GatewayDecision::RandomTies: j = "random_ties"; break;
            case GatewayDecision::WaitErrors: j = "wait_errors"; break;
            case GatewayDecision::WaitForecasts: j = "wait_forecasts"; break;
            case GatewayDecision::WaitWeight: j = "wait_weight"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"GatewayDecision\": " + std::to_string(static_cast<int>(x)));
        }
    }
}
