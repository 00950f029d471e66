#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Stand-ins of the platform, of workers and of clients for the cases of the second review, and the
/// means to start the project's daemons beside them. Everything listens on loopback addresses.
namespace Kit {

using Json = nlohmann::json;

constexpr int Passed = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;

/// Steady clock.
std::int64_t nowMs();
/// Time of day since 1970.
std::int64_t wallMs();
void sleepMs(std::int64_t ms);
/// False if \a condition has not become true within \a timeoutMs.
bool waitFor(std::int64_t timeoutMs, const std::function<bool()> &condition);
/// False where the case has to do the same without its disruption (TROUBLE=0).
bool hasTrouble();

/// Writes what was sent, answered and run, with the time since the start of the case.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);
    std::int64_t sinceStartMs() const;

private:
    mutable std::mutex mutex;
    std::int64_t startedMs;
    FILE *file;
};

struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    /// Tag of the server that received it.
    std::string receivedBy;
};

struct Response
{
    int status = 200;
    std::string body;
    std::string type = "application/json";
    /// Never answered; the connection stays open and silent.
    bool isSilent = false;
};

/// HTTP/1.1 server with a thread for each connection.
class Server
{
public:
    using Handler = std::function<Response(const Request &)>;

    Server(const std::string &host, std::uint16_t port, std::string tag, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    std::string address() const;
    void stop();

private:
    void accept();
    void serve(int socket);

    std::string host;
    std::uint16_t port = 0;
    std::string tag;
    Handler handler;
    int listener = -1;
    std::atomic<bool> isStopping{false};
    std::mutex mutex;
    std::set<int> sockets;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

struct Answer
{
    bool isAnswered = false;
    int status = 0;
    std::string body;
};

/// A connection of a client.
class Connection
{
public:
    explicit Connection(const std::string &address);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    bool isOpen() const;
    bool send(const std::string &text);
    /// Reads one whole answer.
    Answer receive(std::int64_t timeoutMs);
    void close();
    /// Both ends of the connection see a reset.
    void reset();

private:
    int socket = -1;
    std::string buffered;
};

/// A device between clients and a gateway, as a load balancer is. New connections are forwarded.
class Proxy
{
public:
    Proxy(const std::string &host, std::string target);
    ~Proxy();
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;
    std::string address() const;
    /// Loses track of all open connections: both sides stay open and silent. What the client sends
    /// next, after \a keepAliveMs, is answered with a reset; the gateway sends nothing.
    void forgetOpenConnections(std::int64_t keepAliveMs);
    void stop();

private:
    struct Pair
    {
        int client = -1;
        int target = -1;
        /// When the client is reset; 0 while the connection is forwarded.
        std::atomic<std::int64_t> resetMs{0};
    };

    void accept();
    void forward(Pair &pair);

    std::string host;
    std::uint16_t port = 0;
    std::string target;
    int listener = -1;
    std::atomic<bool> isStopping{false};
    std::mutex mutex;
    std::vector<std::unique_ptr<Pair>> pairs;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

std::string requestText(const std::string &method, const std::string &path, const std::string &host,
                        const std::vector<std::string> &headers, const std::string &body);
/// One call on a connection of its own.
Answer call(const std::string &address, const std::string &method, const std::string &path,
            const std::string &host, const std::vector<std::string> &headers,
            const std::string &body, std::int64_t timeoutMs);

/// A free port at \a host.
std::uint16_t freePort(const std::string &host);

/// The platform's store: append-only topics, and the newest record of each key.
class Store
{
public:
    /// Asked before each call. A silent response is never sent; status 0 lets the call through.
    using Trouble = std::function<Response(const Request &)>;

    Store();
    ~Store();
    /// Starts to listen for a machine with this tag. Returns the address.
    std::string listenFor(const std::string &host, const std::string &tag);
    /// The operator's write; the acknowledgement is the return.
    void write(const std::string &key, const std::string &value);
    void setTrouble(Trouble trouble);
    void stop();

private:
    struct Topic
    {
        std::vector<std::string> records;
        std::map<std::string, std::pair<std::string, std::int64_t>> newest;
    };

    Response serve(const Request &request);
    Response append(const Request &request);
    Response read(const Request &request);
    Response newest(const Request &request);
    void add(const std::string &topic, const std::string &content);

    std::mutex mutex;
    std::condition_variable added;
    std::map<std::string, Topic> topics;
    Trouble trouble;
    std::atomic<bool> isStopping{false};
    std::vector<std::unique_ptr<Server>> servers;
};

/// A run on a worker.
struct Run
{
    std::string worker;
    std::string task;
    std::int64_t number = 0;
    std::int64_t startedMs = 0;
    /// 0 while it runs.
    std::int64_t endedMs = 0;
    std::string how;
};

/// All runs of all workers, as these have seen them.
class Runs
{
public:
    std::size_t started(const Run &run);
    void ended(std::size_t index, std::int64_t atMs, const std::string &how);
    std::vector<Run> all() const;

private:
    mutable std::mutex mutex;
    std::vector<Run> runs;
};

struct WorkerOptions
{
    std::string id;
    std::string host;
    std::uint16_t port = 0;
    std::string service;
    std::string zone;
    std::string registration;
    std::vector<std::string> labels{"a", "r1-1"};
    std::int64_t cpu = 64000;
    std::int64_t memMb = 262144;
    std::int64_t heartbeatMs = 1500;
    std::int64_t holdMaxMs = 1000;
    /// How long a stop takes; at most stopMs of the pages.
    std::int64_t stopMs = 20;
};

/// A worker: one life of a machine. A task's spec begins with the milliseconds that it takes.
class Worker
{
public:
    /// Asked before each call, as for the store.
    using Trouble = std::function<Response(const Request &)>;

    Worker(WorkerOptions options, Runs &runs, Record &record);
    ~Worker();
    std::string id() const { return this->options.id; }
    std::string address() const;
    void setTrouble(Trouble trouble);
    /// From now on its pings say that it drains. True if one was acknowledged.
    bool drain();
    /// Sends one ping. True if it is acknowledged.
    bool ping();
    std::size_t running();
    /// Carries out an order to start that was left unanswered \a lateMs ago. The time of the lease
    /// that it grants counts from now.
    void startLate(const Request &request, std::int64_t lateMs);
    /// From now on what runs there and what starts takes \a factor times as long.
    void setSlowdown(int factor);
    /// Ends without a word, as in a crash.
    void crash();

private:
    struct Active
    {
        std::int64_t number = 0;
        std::int64_t startedMs = 0;
        std::int64_t endsMs = 0;
        std::string how = "done";
        std::size_t index = 0;
    };

    Response serve(const Request &request);
    Response start(const Json &body);
    Response stop(const Json &body);
    Response hold(const Json &body);
    std::int64_t clockMs() const;
    void extendLease(const Json &body);
    void end(const std::string &task, const Active &active, std::int64_t atMs,
             const std::string &how);
    void advance();
    void tick();
    void beat();

    WorkerOptions options;
    Runs &runs;
    Record &record;
    std::int64_t bornMs;
    std::int64_t bootedMs;
    std::recursive_mutex mutex;
    std::condition_variable_any changed;
    std::map<std::string, Active> active;
    std::map<std::string, std::int64_t> barred;
    std::deque<Json> ends;
    std::int64_t lastEnd = 0;
    std::int64_t fence = 0;
    std::int64_t leaseUntil = 0;
    std::int64_t sequence = 0;
    int slowdown = 1;
    std::atomic<bool> isDraining{false};
    std::atomic<bool> isStopping{false};
    Trouble trouble;
    std::unique_ptr<Server> server;
    std::thread ticker;
    std::thread beater;
};

/// One of the project's daemons.
class Daemon
{
public:
    ~Daemon();
    /// \a settings is the text of the settings file. Output goes to a file in \a folder.
    void start(const std::string &program, const std::string &settings, const std::string &folder,
               const std::string &name);
    void signal(int number) const;
    bool isRunning();
    /// Ends it by force, if it still runs.
    void end();

private:
    pid_t pid = -1;
};

struct Machine
{
    std::string name;
    std::string zone;
    std::string host;
    std::string store;
    std::string settings;
    // Gateways.
    std::string frontend;
    std::string ready;
    std::string peer;
    // Agents.
    std::string registration;
    std::unique_ptr<Worker> worker;
    Daemon daemon;
};

/// A site: the store, gateways, and agents with a worker each. The settings are those of the
/// templates in deploy/, filled in as for a small deployment.
class Site
{
public:
    Site(int gateways, int agents, const std::string &recordPath);
    ~Site();
    /// Starts everything and waits until every gateway is ready and every worker has served.
    bool start();
    void startGateway(Machine &machine);
    void startAgent(Machine &machine);
    /// Whether the platform's balancer counts the gateway as ready: no two misses in a row.
    bool isInRotation(std::size_t gateway) const;
    void stop();

    std::string folder;
    Record record;
    Runs runs;
    Store store;
    std::string service = "huvo11a";
    std::string host = "nony24.example";
    std::string prefix = "/lohu930/";
    std::vector<std::unique_ptr<Machine>> gateways;
    std::vector<std::unique_ptr<Machine>> agents;

private:
    void probe();

    mutable std::mutex probeMutex;
    std::vector<int> misses;
    std::atomic<bool> isStopping{false};
    std::thread prober;
};

std::string configuration(std::int64_t version, const Site &site);
/// A job that need not be stored, with steps one after the other, each of one task.
std::string chainedJob(int steps, std::int64_t taskMs, std::int64_t cpu);
/// A job that need not be stored, with one step.
std::string wideJob(int tasks, std::int64_t taskMs, std::int64_t cpu);
/// Runs of the job's tasks.
std::vector<Run> runsOf(const Site &site, const std::string &job);
/// Writes the pairs of runs of one task that overlap. Returns their number.
int countOverlaps(Site &site, const std::string &job);
std::string randomId();

} // namespace Kit
