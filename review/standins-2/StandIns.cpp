#include "StandIns.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace StandIns {

namespace {

constexpr std::int64_t HeartbeatMs = 1500;
constexpr std::int64_t LongestLeaseMs = 1000;
constexpr std::int64_t StopMs = 30;
constexpr std::int64_t StoreAnswerMs = 4;

sockaddr_in addressOf(const std::string &host, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

int listenOn(const std::string &host, std::uint16_t port)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = addressOf(host, port);
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(listener, 512) != 0) {
        throw std::runtime_error("cannot listen on " + host + ':' + std::to_string(port));
    }
    return listener;
}

int connectTo(const std::string &host, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // From the address of the other side: programs that run beside a case listen on 127.0.0.1.
    const sockaddr_in own = addressOf(host, 0);
    ::bind(socket, reinterpret_cast<const sockaddr *>(&own), sizeof own);
    const sockaddr_in address = addressOf(host, port);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t length =
                ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (length <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(length);
    }
    return true;
}

std::string lowerCased(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

std::map<std::string, std::string> headersOf(const std::string &head)
{
    std::map<std::string, std::string> headers;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line)) {
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t begin = line.find_first_not_of(' ', colon + 1);
            std::string value = begin == std::string::npos ? "" : line.substr(begin);
            while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
                value.pop_back();
            }
            headers[lowerCased(line.substr(0, colon))] = value;
        }
    }
    return headers;
}

std::size_t lengthOf(const std::map<std::string, std::string> &headers)
{
    const auto found = headers.find("content-length");
    return found == headers.end() ? 0 : std::stoul(found->second);
}

/// Position behind the name and colon of a member; the messages have no nested member of that name.
std::size_t memberAt(const std::string &json, const std::string &name)
{
    const std::size_t at = json.find('"' + name + "\":");
    return at == std::string::npos ? at : at + name.size() + 3;
}

std::int64_t numberOf(const std::string &json, const std::string &name)
{
    const std::size_t at = memberAt(json, name);
    return at == std::string::npos ? 0 : std::stoll(json.substr(at));
}

std::string textOf(const std::string &json, const std::string &name)
{
    const std::size_t at = memberAt(json, name);
    if (at == std::string::npos || json[at] != '"') {
        return {};
    }
    return json.substr(at + 1, json.find('"', at + 1) - at - 1);
}

std::string queryOf(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + '=');
    return at == std::string::npos
                   ? std::string()
                   : target.substr(at + name.size() + 1,
                                   target.find('&', at) - at - name.size() - 1);
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text += static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU);
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    static const char *letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            group = (group << 8U)
                    | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index])
                                                 : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += at + index <= bytes.size() ? letters[(group >> (18U - 6U * index)) & 63U] : '=';
        }
    }
    return text;
}

} // namespace

std::int64_t nowMs()
{
    using namespace std::chrono;
    static const steady_clock::time_point begin = steady_clock::now();
    return duration_cast<milliseconds>(steady_clock::now() - begin).count();
}

void sleepMs(std::int64_t ms)
{
    if (ms > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
    }
}

Record::Record(const std::string &path)
    : file(::open(path.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0644))
{}

Record::~Record()
{
    ::close(this->file);
}

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const std::string whole = std::to_string(nowMs()) + " ms  " + text + '\n';
    if (::write(this->file, whole.data(), whole.size()) < 0) {
        std::perror("record");
    }
}

Server::Server(const std::string &host, std::uint16_t port, Handler handler)
    : handler(std::move(handler))
    , listener(listenOn(host, port))
    , thread([this] { this->accept(); })
{}

Server::~Server()
{
    this->isStopped = true;
    ::shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    ::close(this->listener);
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const int socket : this->sockets) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    while (this->open > 0) {
        sleepMs(1);
    }
}

void Server::accept()
{
    while (!this->isStopped) {
        const int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->sockets.push_back(socket);
        }
        ++this->open;
        std::thread([this, socket] {
            this->serve(socket);
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                this->sockets.erase(
                        std::remove(this->sockets.begin(), this->sockets.end(), socket),
                        this->sockets.end());
                ::close(socket);
            }
            --this->open;
        }).detach();
    }
}

void Server::serve(int socket)
{
    std::string input;
    char bytes[65536];
    while (!this->isStopped) {
        const std::size_t headEnd = input.find("\r\n\r\n");
        if (headEnd != std::string::npos) {
            Request request;
            std::istringstream first(input.substr(0, headEnd));
            first >> request.method >> request.target;
            request.headers = headersOf(input.substr(0, headEnd));
            const std::size_t length = lengthOf(request.headers);
            if (input.size() >= headEnd + 4 + length) {
                request.body = input.substr(headEnd + 4, length);
                input.erase(0, headEnd + 4 + length);
                const std::optional<Response> response = this->handler(request);
                if (!response) {
                    continue;
                }
                if (!sendAll(socket, "HTTP/1.1 " + std::to_string(response->status)
                                             + " X\r\nContent-Type: " + response->type
                                             + "\r\nContent-Length: "
                                             + std::to_string(response->body.size()) + "\r\n\r\n"
                                             + response->body)) {
                    return;
                }
                continue;
            }
        }
        const ssize_t length = ::recv(socket, bytes, sizeof bytes, 0);
        if (length <= 0) {
            return;
        }
        input.append(bytes, static_cast<std::size_t>(length));
    }
}

Store::Store(const std::string &host, std::uint16_t port)
    : server(std::make_unique<Server>(
              host, port, [this](const Request &request) { return this->answer(request); }))
{}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    Topic &known = this->topics[topic];
    known.newest[key] = {value, known.records.size()};
    known.records.push_back(std::string(1, static_cast<char>(key.size())) + key + value);
    this->changed.notify_all();
}

std::optional<Response> Store::answer(const Request &request)
{
    sleepMs(StoreAnswerMs);
    const std::string name = queryOf(request.target, "topic");
    const std::string call = request.target.substr(0, request.target.find('?'));
    Response response;
    if (call == "/log-append") {
        std::size_t at = 0;
        while (at + 4 < request.body.size()) {
            std::size_t length = 0;
            for (std::size_t index = 0; index < 4; ++index) {
                length = (length << 8U) | static_cast<unsigned char>(request.body[at + index]);
            }
            const std::string content = request.body.substr(at + 4, length);
            const auto keyLength = static_cast<unsigned char>(content[0]);
            this->put(name, content.substr(1, keyLength), content.substr(1U + keyLength));
            at += 4 + length;
        }
        response.body = R"({"offset":0,"endOffset":1})";
        return response;
    }
    std::unique_lock<std::mutex> lock(this->mutex);
    Topic &topic = this->topics[name];
    if (call == "/log-newest") {
        std::string items;
        for (const auto &[key, newest] : topic.newest) {
            items += std::string(items.empty() ? "" : ",") + R"({"key":")" + key + R"(","value":")"
                     + base64(newest.first) + R"(","offset":)" + std::to_string(newest.second)
                     + '}';
        }
        response.body = R"({"items":[)" + items + R"(],"hasMore":false,"endOffset":)"
                        + std::to_string(topic.records.size()) + '}';
        return response;
    }
    if (call != "/log-read") {
        response.status = 404;
        return response;
    }
    const auto source = static_cast<std::size_t>(std::stoull(queryOf(request.target, "source")));
    const std::string wait = queryOf(request.target, "waitMs");
    this->changed.wait_for(lock, std::chrono::milliseconds(wait.empty() ? 0 : std::stoll(wait)),
                           [&] { return topic.records.size() > source; });
    response.type = "application/octet-stream";
    response.body = bigEndian(topic.records.size(), 8) + bigEndian(0, 8);
    for (std::size_t index = source; index < topic.records.size(); ++index) {
        response.body += bigEndian(topic.records[index].size(), 4) + topic.records[index];
    }
    return response;
}

void Runs::started(const std::string &worker, const std::string &task, std::int64_t number)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    auto &others = this->active[task];
    std::string beside;
    for (const auto &[other, otherNumber] : others) {
        beside += " BESIDE run " + std::to_string(otherNumber) + " on " + other;
    }
    this->found += others.empty() ? 0 : 1;
    others.emplace_back(worker, number);
    this->record.line("start  " + task + " run " + std::to_string(number) + " on " + worker
                      + beside);
}

void Runs::ended(const std::string &worker, const std::string &task, std::int64_t number,
                 const std::string &how)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    auto &present = this->active[task];
    present.erase(std::remove(present.begin(), present.end(), std::make_pair(worker, number)),
                  present.end());
    this->record.line("end    " + task + " run " + std::to_string(number) + " on " + worker + ' '
                      + how);
}

int Runs::overlaps()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->found;
}

Worker::Worker(Options chosen, Runs &runs)
    : options(std::move(chosen))
    , runs(runs)
    , bornMs(std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count())
    , bootMs(nowMs())
    , server(std::make_unique<Server>(
              this->options.host, this->options.port,
              [this](const Request &request) { return this->answer(request); }))
    , ticker([this] { this->tick(); })
    , announcer([this] { this->announce(); })
{}

Worker::~Worker()
{
    this->isStopped = true;
    this->hasEnded.notify_all();
    this->ticker.join();
    this->announcer.join();
    this->server.reset();
}

std::int64_t Worker::clockMs() const
{
    return nowMs() - this->bootMs + 1;
}

std::optional<Response> Worker::answer(const Request &request)
{
    const auto expected = request.headers.find("x-auburntrail-expect-instance");
    if (expected != request.headers.end() && expected->second != this->options.id) {
        Response response;
        response.status = 421;
        response.body = R"({"clockMs":)" + std::to_string(this->clockMs()) + '}';
        return response;
    }
    std::unique_lock<std::mutex> lock(this->mutex);
    if (!this->passesFence(request.body)) {
        return this->conflict("fence");
    }
    if (request.target == "/run-start") {
        return this->start(request.body);
    }
    return request.target == "/run-stop" ? this->stop(request.body)
                                         : this->hold(request.body, lock);
}

bool Worker::passesFence(const std::string &body)
{
    const std::int64_t given = numberOf(body, "fencingToken");
    if (given < this->fence) {
        return false;
    }
    this->fence = given;
    return true;
}

Response Worker::conflict(const std::string &reason) const
{
    Response response;
    response.status = 409;
    response.body = R"({"clockMs":)" + std::to_string(this->clockMs()) + R"(,"reason":")" + reason
                    + R"("})";
    return response;
}

void Worker::renew(std::int64_t until)
{
    this->untilMs = std::max(this->untilMs, std::min(until, this->clockMs() + LongestLeaseMs));
}

Response Worker::start(const std::string &body)
{
    const std::string task = textOf(body, "task");
    const std::int64_t number = numberOf(body, "runId");
    const std::int64_t until = numberOf(body, "untilMs");
    Response started;
    started.body = R"({"clockMs":)" + std::to_string(this->clockMs()) + '}';
    if (this->active.count({task, number}) != 0) {
        return started;
    }
    if (number <= this->barred[task]) {
        this->renew(until);
        return this->conflict("old");
    }
    if (until <= this->clockMs()) {
        return this->conflict("late");
    }
    const auto used = static_cast<int>(this->active.size()) * this->options.cpuOfTask;
    if (used + this->options.cpuOfTask > this->options.cpu) {
        this->renew(until);
        return this->conflict("room");
    }
    this->renew(until);
    const std::int64_t atMs = nowMs();
    this->active[{task, number}] = {atMs, atMs + std::stoll(textOf(body, "spec")), -1};
    this->runs.started(this->options.name, task, number);
    return started;
}

Response Worker::stop(const std::string &body)
{
    const std::string task = textOf(body, "task");
    const std::int64_t number = numberOf(body, "runId");
    this->barred[task] = std::max(this->barred[task], number);
    for (auto &[key, run] : this->active) {
        if (key.first == task && key.second <= number && run.stopsMs < 0) {
            run.stopsMs = nowMs() + StopMs;
        }
    }
    Response response;
    response.body = R"({"clockMs":)" + std::to_string(this->clockMs()) + '}';
    return response;
}

Response Worker::hold(const std::string &body, std::unique_lock<std::mutex> &lock)
{
    const std::int64_t given = numberOf(body, "fencingToken");
    const std::int64_t lastSeen = numberOf(body, "lastSeen");
    this->renew(numberOf(body, "untilMs"));
    while (!this->endedRuns.empty() && this->endedRuns.front().position <= lastSeen) {
        this->endedRuns.pop_front();
    }
    this->hasEnded.wait_for(lock, std::chrono::milliseconds(numberOf(body, "waitMs")),
                            [this] { return !this->endedRuns.empty() || this->isStopped; });
    if (given < this->fence) {
        return this->conflict("fence");
    }
    std::string active;
    for (const auto &[key, run] : this->active) {
        const std::int64_t lasts = std::max<std::int64_t>(run.endsMs - run.startedMs, 1);
        const std::int64_t percent =
                std::clamp<std::int64_t>((nowMs() - run.startedMs) * 100 / lasts, 0, 99);
        active += std::string(active.empty() ? "" : ",") + "[\"" + key.first + "\","
                  + std::to_string(key.second) + ",\"\"," + std::to_string(percent) + ','
                  + std::to_string(this->options.cpuOfTask) + ']';
    }
    std::string ended;
    std::size_t listed = 0;
    for (const Ended &one : this->endedRuns) {
        constexpr std::size_t MostAtATime = 500;
        if (++listed > MostAtATime) {
            break;
        }
        ended += std::string(ended.empty() ? "" : ",") + '[' + std::to_string(one.position) + ",\""
                 + one.task + "\"," + std::to_string(one.number) + ",\"" + one.how + "\",\"\"]";
    }
    Response response;
    response.body = R"({"clockMs":)" + std::to_string(this->clockMs()) + R"(,"born":)"
                    + std::to_string(this->bornMs) + R"(,"active":[)" + active + R"(],"ended":[)"
                    + ended + "]}";
    return response;
}

void Worker::end(const Key &key, const std::string &how)
{
    this->active.erase(key);
    std::int64_t &highest = this->barred[key.first];
    highest = std::max(highest, key.second);
    this->endedRuns.push_back({++this->lastEnd, key.first, key.second, how});
    this->runs.ended(this->options.name, key.first, key.second, how);
    this->hasEnded.notify_all();
}

void Worker::tick()
{
    while (!this->isStopped) {
        sleepMs(2);
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::vector<std::pair<Key, std::string>> over;
        for (const auto &[key, run] : this->active) {
            if (run.stopsMs >= 0 && nowMs() >= run.stopsMs) {
                over.emplace_back(key, "stopped");
            } else if (run.stopsMs < 0 && nowMs() >= run.endsMs) {
                over.emplace_back(key, "done");
            } else if (this->clockMs() >= this->untilMs) {
                over.emplace_back(key, "lapsed");
            }
        }
        for (const auto &[key, how] : over) {
            this->end(key, how);
        }
    }
}

void Worker::announce()
{
    std::int64_t sequence = 0;
    std::int64_t nextMs = 0;
    while (!this->isStopped) {
        if (nowMs() < nextMs) {
            sleepMs(10);
            continue;
        }
        Call call;
        call.host = this->options.agentHost;
        call.port = this->options.agentPort;
        call.method = "PUT";
        call.target = "/instances/" + this->options.id;
        call.hostHeader = "agent";
        call.limitMs = 1000;
        call.body = R"({"service":")" + this->options.service + R"(","address":")"
                    + this->options.host + ':' + std::to_string(this->options.port)
                    + R"(","zone":")" + this->options.zone
                    + R"(","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":)"
                    + std::to_string(this->options.cpu)
                    + R"(,"memMb":32768,"gpu":0},"labels":["a","r1-1"],"clockMs":)"
                    + std::to_string(this->clockMs()) + R"(,"born":)" + std::to_string(this->bornMs)
                    + R"(,"sequence":)" + std::to_string(++sequence) + '}';
        nextMs = nowMs() + (send(call).status == 200 ? HeartbeatMs : 100);
    }
}

Proxy::Proxy(const std::string &host, std::uint16_t port, const std::string &targetHost,
             std::uint16_t targetPort)
    : targetHost(targetHost)
    , targetPort(targetPort)
    , listener(listenOn(host, port))
    , thread([this] { this->accept(); })
{}

Proxy::~Proxy()
{
    this->isStopped = true;
    ::shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    ::close(this->listener);
}

void Proxy::delayFrom(std::int64_t atMs, double growing, std::int64_t limit)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->fromMs = atMs;
    this->growth = growing;
    this->limitMs = limit;
}

void Proxy::endDelay()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->fromMs.reset();
}

std::int64_t Proxy::delayAt(std::int64_t atMs)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->fromMs || atMs <= *this->fromMs) {
        return 0;
    }
    const auto grown = static_cast<std::int64_t>(this->growth
                                                 * static_cast<double>(atMs - *this->fromMs));
    return std::min(grown, this->limitMs);
}

void Proxy::accept()
{
    while (!this->isStopped) {
        const int near = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (near >= 0) {
            // Ends with the program.
            std::thread([this, near] { this->relay(near); }).detach();
        }
    }
}

void Proxy::relay(int near)
{
    const int on = 1;
    ::setsockopt(near, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const int far = connectTo(this->targetHost, this->targetPort);
    if (far < 0) {
        ::close(near);
        return;
    }
    std::thread([near, far] {
        char bytes[65536];
        ssize_t length = 0;
        while ((length = ::recv(far, bytes, sizeof bytes, 0)) > 0
               && sendAll(near, std::string(bytes, static_cast<std::size_t>(length)))) {
        }
        ::shutdown(near, SHUT_RDWR);
    }).detach();
    struct Held
    {
        std::int64_t dueMs = 0;
        std::string bytes;
    };
    std::deque<Held> held;
    bool hasEnded = false;
    std::int64_t lastDueMs = 0;
    while (!hasEnded || !held.empty()) {
        pollfd waiting{hasEnded ? -1 : near, POLLIN, 0};
        const std::int64_t waitMs = held.empty() ? 100 : held.front().dueMs - nowMs();
        if (::poll(&waiting, 1, static_cast<int>(std::clamp<std::int64_t>(waitMs, 0, 100))) > 0) {
            char bytes[65536];
            const ssize_t length = ::recv(near, bytes, sizeof bytes, 0);
            hasEnded = length <= 0;
            this->received += std::max<ssize_t>(length, 0);
            lastDueMs = std::max(lastDueMs, nowMs() + this->delayAt(nowMs()));
            held.push_back({lastDueMs, hasEnded ? std::string()
                                                : std::string(bytes, static_cast<std::size_t>(
                                                                             length))});
        }
        while (!held.empty() && held.front().dueMs <= nowMs()) {
            if (!held.front().bytes.empty()) {
                sendAll(far, held.front().bytes);
            }
            held.pop_front();
        }
    }
    ::shutdown(far, SHUT_RDWR);
}

Answer send(const Call &call)
{
    const std::int64_t beganMs = nowMs();
    const std::int64_t waitsMs = call.resetAfterMs > 0 ? call.resetAfterMs : call.limitMs;
    const int socket = connectTo(call.host, call.port);
    if (socket < 0) {
        return {};
    }
    Answer answer;
    sendAll(socket, call.method + ' ' + call.target + " HTTP/1.1\r\nHost: " + call.hostHeader
                            + "\r\nContent-Type: application/json\r\nX-Auburntrail-Deadline-Ms: "
                            + std::to_string(call.limitMs) + "\r\nContent-Length: "
                            + std::to_string(call.body.size()) + "\r\n\r\n" + call.body);
    std::string input;
    while (true) {
        const std::size_t headEnd = input.find("\r\n\r\n");
        if (headEnd != std::string::npos
            && input.size() >= headEnd + 4 + lengthOf(headersOf(input.substr(0, headEnd)))) {
            answer.status = std::stoi(input.substr(input.find(' ') + 1));
            answer.body = input.substr(headEnd + 4);
            break;
        }
        const std::int64_t leftMs = beganMs + waitsMs - nowMs();
        pollfd waiting{socket, POLLIN, 0};
        if (leftMs <= 0 || ::poll(&waiting, 1, static_cast<int>(leftMs)) <= 0) {
            break;
        }
        char bytes[4096];
        const ssize_t length = ::recv(socket, bytes, sizeof bytes, 0);
        if (length <= 0) {
            break;
        }
        input.append(bytes, static_cast<std::size_t>(length));
    }
    if (call.resetAfterMs > 0 && answer.status == 0) {
        const linger resets{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &resets, sizeof resets);
    }
    ::close(socket);
    return answer;
}

Program::Program(const std::vector<std::string> &command, const std::string &logFile)
{
    this->process = ::fork();
    if (this->process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(logFile.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        std::vector<char *> words;
        for (const std::string &word : command) {
            words.push_back(const_cast<char *>(word.c_str()));
        }
        words.push_back(nullptr);
        ::execv(words[0], words.data());
        ::_exit(127);
    }
}

Program::~Program()
{
    ::kill(this->process, SIGCONT);
    ::kill(this->process, SIGKILL);
    ::waitpid(this->process, nullptr, 0);
}

double Program::processorSeconds() const
{
    std::ifstream file("/proc/" + std::to_string(this->process) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string skipped;
    constexpr int FieldsBefore = 11;
    for (int field = 0; field < FieldsBefore; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::string filled(const std::string &templateFile, const std::map<std::string, std::string> &values)
{
    std::ifstream file(templateFile);
    if (!file) {
        throw std::runtime_error("cannot read " + templateFile);
    }
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const auto valueOf = [&values](const std::string &name) {
        const auto found = values.find(name);
        return found == values.end() ? std::string() : found->second;
    };
    std::size_t at = 0;
    while ((at = text.find("{{#")) != std::string::npos) {
        const std::size_t end = text.find("}}", at);
        const std::string name = text.substr(at + 3, end - at - 3);
        const std::string closing = "{{/" + name + "}}";
        const std::size_t closingAt = text.find(closing, end);
        const std::string content = text.substr(end + 2, closingAt - end - 2);
        text.replace(at, closingAt + closing.size() - at, valueOf(name).empty() ? "" : content);
    }
    while ((at = text.find("{{")) != std::string::npos) {
        const std::size_t end = text.find("}}", at);
        std::string name = text.substr(at + 2, end - at - 2);
        const std::size_t bar = name.find("|json");
        const bool isJson = bar != std::string::npos;
        std::string value = valueOf(name.substr(0, bar));
        const bool isPlain = !value.empty() && (value[0] == '[' || value[0] == '{');
        text.replace(at, end + 2 - at, isJson && !isPlain ? '"' + value + '"' : value);
    }
    return text;
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

} // namespace StandIns
