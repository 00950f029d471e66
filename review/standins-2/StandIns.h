#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Stand-ins for the users' platform, for the scripts of the review. They keep to PROTOCOL.md and
/// use POSIX sockets only. All addresses are loopback addresses.
namespace StandIns {

/// Milliseconds on the steady clock since the start of the program.
std::int64_t nowMs();
void sleepMs(std::int64_t ms);

/// Writes record.txt: what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    void line(const std::string &text);

private:
    std::mutex mutex;
    int file = -1;
};

struct Request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Response
{
    int status = 200;
    std::string body = "{}";
    std::string type = "application/json";
};

/// HTTP/1.1 server with a thread for each connection. A handler that returns nothing leaves its
/// request unanswered.
class Server
{
public:
    using Handler = std::function<std::optional<Response>(const Request &)>;
    Server(const std::string &host, std::uint16_t port, Handler handler);
    ~Server();

private:
    void accept();
    void serve(int socket);

    Handler handler;
    int listener = -1;
    std::atomic<bool> isStopped{false};
    std::mutex mutex;
    std::vector<int> sockets;
    std::atomic<int> open{0};
    std::thread thread;
};

/// The store: topics with one partition, as a log and by newest key.
class Store
{
public:
    Store(const std::string &host, std::uint16_t port);
    void put(const std::string &topic, const std::string &key, const std::string &value);

private:
    struct Topic
    {
        std::vector<std::string> records;
        std::map<std::string, std::pair<std::string, std::size_t>> newest;
    };
    std::optional<Response> answer(const Request &request);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Topic> topics;
    std::unique_ptr<Server> server;
};

/// What workers have run, and which runs of a task overlap.
class Runs
{
public:
    explicit Runs(Record &record)
        : record(record)
    {}
    void started(const std::string &worker, const std::string &task, std::int64_t number);
    void ended(const std::string &worker, const std::string &task, std::int64_t number,
               const std::string &how);
    int overlaps();

private:
    Record &record;
    std::mutex mutex;
    std::map<std::string, std::vector<std::pair<std::string, std::int64_t>>> active;
    int found = 0;
};

/// A worker with preconditions. The spec of a task is its run time in milliseconds.
class Worker
{
public:
    struct Options
    {
        std::string name;
        std::string host;
        std::uint16_t port = 0;
        /// Address of its agent.
        std::string agentHost;
        std::uint16_t agentPort = 0;
        std::string service;
        std::string zone;
        std::string id;
        int cpu = 16000;
        int cpuOfTask = 200;
    };
    Worker(Options options, Runs &runs);
    ~Worker();

private:
    struct Run
    {
        std::int64_t startedMs = 0;
        std::int64_t endsMs = 0;
        std::int64_t stopsMs = -1;
    };
    struct Ended
    {
        std::int64_t position = 0;
        std::string task;
        std::int64_t number = 0;
        std::string how;
    };
    using Key = std::pair<std::string, std::int64_t>;

    std::int64_t clockMs() const;
    std::optional<Response> answer(const Request &request);
    Response start(const std::string &body);
    Response stop(const std::string &body);
    Response hold(const std::string &body, std::unique_lock<std::mutex> &lock);
    Response conflict(const std::string &reason) const;
    bool passesFence(const std::string &body);
    void renew(std::int64_t untilMs);
    void end(const Key &key, const std::string &how);
    void tick();
    void announce();

    Options options;
    Runs &runs;
    std::int64_t bornMs = 0;
    std::int64_t bootMs = 0;
    std::mutex mutex;
    std::condition_variable hasEnded;
    std::map<Key, Run> active;
    std::map<std::string, std::int64_t> barred;
    std::deque<Ended> endedRuns;
    std::int64_t lastEnd = 0;
    std::int64_t fence = 0;
    std::int64_t untilMs = 0;
    std::atomic<bool> isStopped{false};
    std::unique_ptr<Server> server;
    std::thread ticker;
    std::thread announcer;
};

/// Forwards connections to a target. The delay of what the connecting side sends grows by
/// \a growth for each unit of time from delayFrom() on, up to a limit.
class Proxy
{
public:
    Proxy(const std::string &host, std::uint16_t port, const std::string &targetHost,
          std::uint16_t targetPort);
    ~Proxy();
    void delayFrom(std::int64_t atMs, double growth, std::int64_t limitMs);
    void endDelay();
    /// What connecting sides have sent so far.
    std::int64_t bytes() const { return this->received; }

private:
    void accept();
    void relay(int near);
    std::int64_t delayAt(std::int64_t atMs);

    std::string targetHost;
    std::uint16_t targetPort;
    int listener = -1;
    std::mutex mutex;
    std::optional<std::int64_t> fromMs;
    double growth = 0;
    std::int64_t limitMs = 0;
    std::atomic<bool> isStopped{false};
    std::atomic<std::int64_t> received{0};
    std::thread thread;
};

struct Answer
{
    /// 0 where the connection broke or no answer came in time.
    int status = 0;
    std::string body;
};

struct Call
{
    std::string host;
    std::uint16_t port = 0;
    std::string method = "POST";
    std::string target;
    std::string hostHeader;
    std::string body;
    /// How long the client waits; sent as X-Auburntrail-Deadline-Ms.
    std::int64_t limitMs = 1500;
    /// The connection is reset after this time; 0 if it is not.
    std::int64_t resetAfterMs = 0;
};

Answer send(const Call &call);

/// A started program of the project.
class Program
{
public:
    Program(const std::vector<std::string> &command, const std::string &logFile);
    ~Program();
    int id() const { return this->process; }
    /// Processor time that it has used so far.
    double processorSeconds() const;

private:
    int process = -1;
};

/// Fills a template of the settings in, as DEPLOY.md describes, from \a values: texts by the names
/// of the platform. A value that begins with '[' or '{', or is a number, is used as it is in JSON.
std::string filled(const std::string &templateFile, const std::map<std::string, std::string> &values);
void writeFile(const std::string &path, const std::string &text);

} // namespace StandIns
