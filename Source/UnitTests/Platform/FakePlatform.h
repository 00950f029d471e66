#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Net/Net.h"
#include "UnitTests/Transient/ModelBackend.h"

/// The platform's store and a backend server over HTTP, with the platform's own message formats,
/// for tests of the real daemons.
namespace FakePlatform {

/// Faults of the store.
enum class StoreFault { Silent, Refusing, Slow, LosingAnswers };

constexpr Common::NameTable<StoreFault, 4> StoreFaultNames{{{StoreFault::Silent, "silent"},
                                                            {StoreFault::Refusing, "refuse"},
                                                            {StoreFault::Slow, "slow"},
                                                            {StoreFault::LosingAnswers, "lose"}}};

/// Stores topics of records with keys, from offset 0 on, and the newest record of each key.
class Store
{
public:
    /// Port 0 selects a free port.
    explicit Store(std::uint16_t port = 0);
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    std::string address() const;
    std::uint16_t port() const;
    void setQueues(const std::string &text);
    /// The operator evacuates a failure domain, or takes it back.
    void setEvacuated(const std::string &failureDomain, bool evacuated);
    /// Writes another record of the operators.
    void setOperatorRecord(const std::string &key, const std::string &value);
    /// Writes the record of a gateway's address.
    void setGatewayRecord(const std::string &key, const std::string &value);
    void setSilent(bool silent);
    void setFault(StoreFault fault, bool on);
    /// From now on acknowledges the addresses of gateways without storing them.
    void dropGatewayRecords();
    /// Removes all records, which raises the first offset. The newest record of each key is kept.
    void dropHistory();
    /// Never answers the reads that wait at present, as if their connections had lost their state:
    /// new connections work.
    void abandonReaders();
    /// The longest time that a read of the queues has asked to wait.
    std::int64_t longestQueuesWaitMs() const;
    int writes() const;
    void setLearned(const std::string &key, const std::string &value);
    /// Newest value of the key; empty if none was written.
    std::string learned(const std::string &key) const;

private:
    /// Newest record of a key.
    struct Newest
    {
        std::string value;
        std::int64_t offset = 0;
    };

    struct Topic
    {
        std::int64_t firstOffset = 0;
        /// In the wire format, from firstOffset on.
        std::vector<std::string> records;
        std::map<std::string, Newest> newest;
    };

    /// A read that waits for a record.
    struct Reader
    {
        std::string topic;
        std::int64_t offset = 0;
        Net::HttpReply reply;
    };

    void answer(const Net::HttpRequest &request, const Net::HttpReply &reply);
    void serve(const Net::HttpRequest &request, const Net::HttpReply &reply);
    void append(const std::string &topic, const std::string &key, const std::string &value);
    void appendAll(const std::string &topic, const std::string &body);
    void read(const Net::HttpRequest &request, const Net::HttpReply &reply);
    Net::HttpResponse records(const Topic &topic, std::int64_t offset) const;
    Net::HttpResponse newest(const std::string &topic) const;
    std::int64_t endOf(const Topic &topic) const;
    void endWait(std::uint64_t reader);

    mutable std::mutex mutex;
    std::map<std::string, Topic> topics;
    std::map<std::uint64_t, Reader> readers;
    std::vector<Reader> abandonedReaders;
    std::int64_t longestQueuesWait = 0;
    std::uint64_t lastReader = 0;
    std::set<StoreFault> faults;
    bool dropsGatewayRecords = false;
    int writeCount = 0;
    int callCount = 0;
    Common::TimerThread timers;
    std::unique_ptr<Net::HttpServer> server;
};

/// Faults of a backend server.
enum class BackendFault {
    Silent,
    Refusing,
    LosingAnswers,
    Late,
    LateWithNewLease,
    Slow,
    Hanging,
    Failing
};

constexpr Common::NameTable<BackendFault, 8> BackendFaultNames{
        {{BackendFault::Silent, "silent"},
         {BackendFault::Refusing, "refuse"},
         {BackendFault::LosingAnswers, "lose"},
         {BackendFault::Late, "late"},
         {BackendFault::LateWithNewLease, "late-new-lease"},
         {BackendFault::Slow, "slow"},
         {BackendFault::Hanging, "hang"},
         {BackendFault::Failing, "fail"}}};

/// The start or end of a run on a backend server.
struct RunEvent
{
    std::int64_t steadyMs = 0;
    std::string task;
    std::int64_t number = 0;
    /// How the run ended; empty for a start.
    std::optional<Transient::RunEnd> end;
    /// The order was executed long after it had arrived.
    bool isLate = false;
};

struct BackendOptions
{
    std::string id = "i-1";
    /// 0 selects a free port.
    std::uint16_t port = 0;
    /// Address that it announces; its own address if empty.
    std::string announcedAddress;
    std::vector<std::string> labels = {"a"};
    /// Added to the time of day that it announces as its start.
    std::int64_t clockStepMs = 0;
    /// Called once for each event, in order, while the server's mutex is locked.
    std::function<void(const RunEvent &)> ran = [](const RunEvent &) {};
};

/// Serves TransientSite::ModelBackend over HTTP on the real clock.
class BackendServer
{
public:
    explicit BackendServer(BackendOptions options = {});
    ~BackendServer();
    BackendServer(const BackendServer &) = delete;
    BackendServer &operator=(const BackendServer &) = delete;

    std::string address() const;
    std::uint16_t port() const;
    /// Announces itself to the agent at address \a registration. False if the agent does not
    /// acknowledge.
    bool announce(const std::string &registration, const std::string &service, bool leaving);
    /// Announces to the agent that it has left.
    void announceEnd(const std::string &registration);
    void setFault(BackendFault fault, bool on);
    std::size_t running();
    int starts();

private:
    /// Delay of an order that is executed long after it has arrived.
    struct Lateness
    {
        std::int64_t byMs = 0;
        /// The lease that it grants counts from its execution.
        bool hasNewLease = false;
    };

    /// An observation that waits for the end of a run.
    struct Waiting
    {
        std::int64_t fence = 0;
        std::int64_t lastEnd = 0;
        std::int64_t untilMs = 0;
        Net::HttpReply reply;
    };

    void answer(const Net::HttpRequest &request, const Net::HttpReply &reply);
    void carryOut(const std::string &path, const std::string &body, const Net::HttpReply &reply,
                  const Lateness &late);
    Net::HttpResponse start(const std::string &body, const Lateness &late);
    Net::HttpResponse stop(const std::string &body);
    void observe(const std::string &body, const Net::HttpReply &reply);
    bool answerObservation(const Waiting &waiting);
    void tick();
    void advanceModel();
    void delayRuns(std::int64_t byMs);
    bool has(BackendFault fault) const;

    BackendOptions options;
    std::mutex mutex;
    TransientSite::ModelBackend model;
    std::set<BackendFault> faults;
    std::vector<Waiting> waiting;
    std::int64_t lastReportedEnd = 0;
    std::int64_t advancedToMs = 0;
    int startCount = 0;
    int orderCount = 0;
    std::int64_t sequence = 0;
    Common::TimerThread timers;
    std::unique_ptr<Net::HttpServer> server;
};

/// A job with one step, as a caller submits it.
struct CallerJob
{
    std::int64_t runMs = 0;
    int tasks = 1;
    bool fails = false;
    /// Label that the backend server must have; empty for any.
    const char *requiredLabel = "";
};

std::string jobBody(const CallerJob &job);
/// Header line with the remaining timeout of the caller.
std::string remainingTimeoutHeader(std::int64_t ms);

struct QueueRoute
{
    std::string path;
    std::int64_t priority = 1;
};

/// Configuration record with these queues at host "desk.example".
std::string queueRecord(std::int64_t version, const std::string &service,
                        const std::vector<QueueRoute> &routes);

/// A port on which no process listens at the moment.
std::uint16_t freePort();

/// Address of \a port on this machine.
std::string loopback(std::uint16_t port);

/// Configuration record with one queue at host "desk.example" and path "/checks/".
std::string oneQueue(std::int64_t version, const std::string &service);

} // namespace FakePlatform
