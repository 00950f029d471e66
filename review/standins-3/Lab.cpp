#include "Lab.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Lab {

namespace {

const auto Begin = std::chrono::steady_clock::now();

sockaddr_in addressOf(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    return address;
}

void noDelay(int socket)
{
    int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

bool sendAll(int socket, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Reads one message: its first line, headers and body. \a deadlineMs -1 waits for ever.
bool readMessage(int socket, std::string &buffer, std::string &firstLine,
                 std::map<std::string, std::string> &headers, std::string &body,
                 std::int64_t deadlineMs)
{
    const auto more = [&] {
        const int waitMs =
                deadlineMs < 0 ? -1
                               : static_cast<int>(std::max<std::int64_t>(deadlineMs - nowMs(), 0));
        pollfd watched{socket, POLLIN, 0};
        if (::poll(&watched, 1, waitMs) <= 0) {
            return false;
        }
        char bytes[65536];
        const ssize_t count = ::recv(socket, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return false;
        }
    }
    std::istringstream head(buffer.substr(0, end));
    std::getline(head, firstLine);
    if (!firstLine.empty() && firstLine.back() == '\r') {
        firstLine.pop_back();
    }
    headers.clear();
    std::string line;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t start = line.find_first_not_of(' ', colon + 1);
            headers[lower(line.substr(0, colon))] =
                    start == std::string::npos ? "" : line.substr(start);
        }
    }
    const std::size_t length =
            headers.count("content-length") != 0 ? std::stoul(headers["content-length"]) : 0;
    while (buffer.size() < end + 4 + length) {
        if (!more()) {
            return false;
        }
    }
    body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

std::string percentDecoded(const std::string &text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            result += text[at];
        }
    }
    return result;
}

std::string base64(const std::string &bytes)
{
    static const char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned value = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            value = (value << 8U)
                    | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index])
                                                 : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += at + index <= bytes.size() ? Digits[(value >> (18 - 6 * index)) & 63U] : '=';
        }
    }
    return text;
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int index = bytes - 1; index >= 0; --index) {
        text += static_cast<char>((value >> (8 * index)) & 0xffU);
    }
    return text;
}

std::string folder()
{
    static const std::string path = [] {
        const char *base = std::getenv("TMPDIR");
        std::string pattern = std::string(base != nullptr ? base : "/tmp") + "/review-XXXXXX";
        return std::string(::mkdtemp(pattern.data()));
    }();
    return path;
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - Begin)
            .count();
}

void sleepMs(std::int64_t ms)
{
    if (ms > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
    }
}

void sleepUntil(std::int64_t atMs)
{
    sleepMs(atMs - nowMs());
}

std::uint16_t freePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = addressOf(0);
    socklen_t length = sizeof address;
    ::bind(socket, reinterpret_cast<sockaddr *>(&address), length);
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
    ::close(socket);
    return ntohs(address.sin_port);
}

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

void Record::open(const std::string &path)
{
    this->file = std::fopen(path.c_str(), "w");
}

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->file != nullptr) {
        std::fprintf(this->file, "%8.3f s  %s\n", static_cast<double>(nowMs()) / 1000,
                     text.c_str());
        std::fflush(this->file);
    }
}

Record &record()
{
    static Record instance;
    return instance;
}

Server::Server(std::uint16_t port, Handler handler)
    : handler(std::move(handler))
{
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = addressOf(port);
    socklen_t length = sizeof address;
    if (::bind(this->listener, reinterpret_cast<sockaddr *>(&address), length) != 0
        || ::listen(this->listener, 256) != 0) {
        std::fprintf(stderr, "cannot listen on port %d\n", port);
        std::exit(2);
    }
    ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &length);
    this->listening = ntohs(address.sin_port);
    this->acceptor = std::thread([this] { this->accept(); });
}

Server::~Server()
{
    this->isStopped = true;
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const int socket : this->sockets) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    for (const int socket : this->sockets) {
        ::close(socket);
    }
}

void Server::accept()
{
    while (!this->isStopped) {
        const int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            if (this->isStopped) {
                return;
            }
            sleepMs(1);
            continue;
        }
        noDelay(socket);
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sockets.push_back(socket);
        this->threads.emplace_back([this, socket] { this->serve(socket); });
    }
}

void Server::serve(int socket)
{
    std::string buffer;
    std::string line;
    Request request;
    while (!this->isStopped
           && readMessage(socket, buffer, line, request.headers, request.body, -1)) {
        std::istringstream words(line);
        std::string target;
        words >> request.method >> target;
        const std::size_t mark = std::min(target.find('?'), target.size());
        request.path = target.substr(0, mark);
        request.query.clear();
        std::istringstream query(target.substr(std::min(mark + 1, target.size())));
        std::string part;
        while (std::getline(query, part, '&')) {
            const std::size_t equals = std::min(part.find('='), part.size());
            request.query[part.substr(0, equals)] =
                    percentDecoded(part.substr(std::min(equals + 1, part.size())));
        }
        const Response response = this->handler(request);
        if (response.isSilent) {
            continue;
        }
        const std::string text = "HTTP/1.1 " + std::to_string(response.status)
                                 + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                 + std::to_string(response.body.size()) + "\r\n\r\n"
                                 + response.body;
        if (!sendAll(socket, text)) {
            break;
        }
    }
    // Closed with the server; until then the peer sees the end of the stream.
    ::shutdown(socket, SHUT_RDWR);
}

Response call(std::uint16_t port, const std::string &method, const std::string &path,
              const std::string &body, std::int64_t timeoutMs,
              const std::vector<std::string> &headers)
{
    const std::int64_t deadlineMs = nowMs() + timeoutMs;
    Response response{0, "", false};
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf(port);
    if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0) {
        noDelay(socket);
        std::string text = method + ' ' + path + " HTTP/1.1\r\n";
        for (const std::string &header : headers) {
            text += header + "\r\n";
        }
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n\r\n" + body;
        std::string buffer;
        std::string line;
        std::map<std::string, std::string> answered;
        if (sendAll(socket, text)
            && readMessage(socket, buffer, line, answered, response.body, deadlineMs)) {
            response.status = std::atoi(line.substr(std::min<std::size_t>(9, line.size())).c_str());
        }
    }
    ::close(socket);
    return response;
}

Store::Store()
{
    this->server = std::make_unique<Server>(
            0, [this](const Request &request) { return this->answer(request); });
}

void Store::stop()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->isStopped = true;
    }
    this->changed.notify_all();
    this->server.reset();
}

void Store::append(const std::string &topic, const std::string &key, const std::string &value)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        Topic &kept = this->topics[topic];
        const auto offset = static_cast<std::int64_t>(kept.records.size());
        kept.records.push_back(static_cast<char>(key.size()) + key + value);
        if (value.empty()) {
            kept.newest.erase(key);
        } else {
            kept.newest[key] = {value, offset};
        }
    }
    this->changed.notify_all();
}

Response Store::answer(const Request &request)
{
    if (request.path == "/log-read") {
        return this->read(request);
    }
    if (request.path == "/log-newest") {
        return this->newest(request);
    }
    if (request.path == "/log-append") {
        std::size_t at = 0;
        while (at + 4 <= request.body.size()) {
            std::size_t length = 0;
            for (int index = 0; index < 4; ++index) {
                length = (length << 8U) | static_cast<unsigned char>(request.body[at + index]);
            }
            const std::string content = request.body.substr(at + 4, length);
            const std::size_t keyLength = static_cast<unsigned char>(content[0]);
            this->append(request.query.at("topic"), content.substr(1, keyLength),
                         content.substr(1 + keyLength));
            at += 4 + length;
        }
        return {200, R"({"offset":0,"endOffset":1})", false};
    }
    return {404, "{}", false};
}

Response Store::read(const Request &request)
{
    const std::size_t from = std::stoul(request.query.at("source"));
    const auto wait = request.query.find("waitMs");
    const std::int64_t waitMs = wait == request.query.end() ? 0 : std::stol(wait->second);
    std::unique_lock<std::mutex> lock(this->mutex);
    Topic &topic = this->topics[request.query.at("topic")];
    this->changed.wait_for(lock, std::chrono::milliseconds(waitMs),
                           [&] { return this->isStopped || topic.records.size() > from; });
    std::string bytes = bigEndian(topic.records.size(), 8) + bigEndian(0, 8);
    for (std::size_t index = from; index < topic.records.size(); ++index) {
        bytes += bigEndian(topic.records[index].size(), 4) + topic.records[index];
    }
    return {200, bytes, false};
}

Response Store::newest(const Request &request)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const Topic &topic = this->topics[request.query.at("topic")];
    Json items = Json::array();
    for (const auto &[key, entry] : topic.newest) {
        items.push_back({{"key", key}, {"value", base64(entry.first)}, {"offset", entry.second}});
    }
    return {200,
            Json{{"items", items}, {"hasMore", false}, {"endOffset", topic.records.size()}}.dump(),
            false};
}

Worker::Worker(WorkerOptions options)
    : chosen(std::move(options))
    , bornMs(std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count())
    , bootedMs(nowMs())
{
    this->server = std::make_unique<Server>(
            this->chosen.port, [this](const Request &request) { return this->answer(request); });
    this->ticker = std::thread([this] {
        while (!this->isStopped) {
            sleepMs(2);
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->advance();
        }
    });
}

Worker::~Worker()
{
    this->isStopped = true;
    this->changed.notify_all();
    this->ticker.join();
    if (this->pinger.joinable()) {
        this->pinger.join();
    }
    this->server.reset();
    for (std::thread &helper : this->helpers) {
        helper.join();
    }
}

std::int64_t Worker::clockMs() const
{
    return nowMs() - this->bootedMs + 1000;
}

Json Worker::ping(const std::string &state)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return Json{
            {"service", this->chosen.service},
            {"address", loopback(this->server->port())},
            {"zone", this->chosen.zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", state},
            {"coldLeftMs", 0},
            {"capacity", {{"cpu", this->chosen.cpu}, {"memMb", this->chosen.memMb}, {"gpu", 0}}},
            {"labels", this->chosen.labels},
            {"clockMs", this->clockMs()},
            {"born", this->bornMs},
            {"sequence", ++this->sequence}};
}

void Worker::pingOnce()
{
    const bool says = this->isDraining;
    Json body = this->ping(says ? "draining" : "ready");
    if (says) {
        body["remainingMs"] = 8000;
    }
    const Response response =
            call(this->registration, "PUT", "/instances/" + this->chosen.id, body.dump(), 1000);
    record().line("worker " + this->chosen.id + " pings " + (says ? "draining" : "ready")
                  + " sequence " + std::to_string(body["sequence"].get<std::int64_t>())
                  + ", answered " + std::to_string(response.status));
    if (says && response.status / 100 == 2 && this->drainAckMs < 0) {
        this->drainAckMs = nowMs();
    }
}

void Worker::startPings(std::uint16_t agent, std::int64_t everyMs)
{
    this->registration = agent;
    this->heartbeatMs = everyMs;
    this->pinger = std::thread([this] {
        std::int64_t nextMs = nowMs();
        bool saidDraining = false;
        while (!this->isStopped) {
            const bool isNews = this->isDraining && !saidDraining;
            if (nowMs() >= nextMs || isNews) {
                saidDraining = saidDraining || this->isDraining;
                this->pingOnce();
                nextMs = nowMs() + this->heartbeatMs;
            }
            sleepMs(5);
        }
    });
}

void Worker::setDraining()
{
    this->isDraining = true;
}

std::vector<RunSeen> Worker::runs()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->seen;
}

Response Worker::answer(const Request &request)
{
    const auto expected = request.headers.find("x-auburntrail-expect-instance");
    if (expected != request.headers.end() && expected->second != this->chosen.id) {
        return {421, "{}", false};
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (body.is_discarded()) {
        return {400, "{}", false};
    }
    const Treatment chosenTreatment =
            this->treat ? this->treat(request.path, body) : Treatment::Answer;
    switch (chosenTreatment) {
    case Treatment::Refuse:
        return {503, "{}", false};
    case Treatment::Ignore:
        return {0, "", true};
    case Treatment::LoseAnswer:
        this->carryOut(request.path, body);
        return {0, "", true};
    case Treatment::CarryOutLate: {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const std::int64_t atMs = nowMs() + this->lateMs;
        this->helpers.emplace_back([this, path = request.path, body, atMs] {
            while (!this->isStopped && nowMs() < atMs) {
                sleepMs(2);
            }
            if (!this->isStopped) {
                record().line("worker " + this->chosen.id + " carries out late " + path + ' '
                              + body.dump());
                Json late = body;
                if (this->lateGrantsCountFromArrival && late.contains("untilMs")) {
                    late["untilMs"] = late["untilMs"].get<std::int64_t>() + this->lateMs;
                }
                this->carryOut(path, late);
            }
        });
        return {0, "", true};
    }
    case Treatment::Answer:
        break;
    }
    return this->carryOut(request.path, body);
}

Response Worker::carryOut(const std::string &path, const Json &body)
{
    if (path == "/run-start") {
        return this->start(body);
    }
    if (path == "/run-stop") {
        return this->stop(body);
    }
    return path == "/hold" ? this->hold(body) : Response{404, "{}", false};
}

void Worker::renew(std::int64_t untilMs)
{
    this->leaseUntilMs = std::max(this->leaseUntilMs, std::min(untilMs, this->clockMs() + 1000));
}

Response Worker::start(const Json &body)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->advance();
    const auto conflict = [&](const char *reason) {
        return Response{409, Json{{"clockMs", this->clockMs()}, {"reason", reason}}.dump(), false};
    };
    const std::int64_t token = body.value("fencingToken", std::int64_t{0});
    if (token < this->fence) {
        return conflict("fence");
    }
    this->fence = token;
    const std::string task = body.at("task").get<std::string>();
    const std::int64_t run = body.at("runId").get<std::int64_t>();
    const std::int64_t untilMs = body.value("untilMs", std::int64_t{0});
    for (const Active &one : this->active) {
        if (one.task == task && one.run == run) {
            this->renew(untilMs);
            return {200, Json{{"clockMs", this->clockMs()}}.dump(), false};
        }
    }
    const auto bar = this->barred.find(task);
    if (bar != this->barred.end() && run <= bar->second) {
        this->renew(untilMs);
        return conflict("old");
    }
    if (untilMs <= this->clockMs()) {
        return conflict("late");
    }
    Active added;
    added.task = task;
    added.run = run;
    std::istringstream spec(body.at("spec").get<std::string>());
    spec >> added.workMs >> added.cpu;
    std::int64_t used = added.cpu;
    for (const Active &one : this->active) {
        used += one.cpu;
    }
    this->renew(untilMs);
    if (used > this->chosen.cpu) {
        return conflict("room");
    }
    added.startedMs = nowMs();
    added.seen = this->seen.size();
    this->seen.push_back({this->chosen.id, task, run, added.startedMs, -1, ""});
    this->active.push_back(added);
    record().line("worker " + this->chosen.id + " starts " + task + " run " + std::to_string(run));
    return {200, Json{{"clockMs", this->clockMs()}}.dump(), false};
}

Response Worker::stop(const Json &body)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->advance();
    const std::int64_t token = body.value("fencingToken", std::int64_t{0});
    if (token < this->fence) {
        return {409, Json{{"clockMs", this->clockMs()}, {"reason", "fence"}}.dump(), false};
    }
    this->fence = token;
    const std::string task = body.at("task").get<std::string>();
    const std::int64_t run = body.at("runId").get<std::int64_t>();
    this->barred[task] = std::max(this->barred[task], run);
    for (Active &one : this->active) {
        if (one.task == task && one.run <= run && one.stopAtMs < 0) {
            one.stopAtMs = nowMs() + 20;
        }
    }
    return {200, Json{{"clockMs", this->clockMs()}}.dump(), false};
}

Json Worker::lists(std::int64_t lastSeen)
{
    while (!this->ended.empty() && this->ended.front().number <= lastSeen) {
        this->ended.pop_front();
    }
    Json running = Json::array();
    for (const Active &one : this->active) {
        const std::int64_t percent =
                (nowMs() - one.startedMs) * 100 / std::max<std::int64_t>(one.workMs, 1);
        running.push_back(Json::array(
                {one.task, one.run, "", std::clamp<std::int64_t>(percent, 0, 99), one.cpu}));
    }
    Json over = Json::array();
    for (const Ended &one : this->ended) {
        if (over.size() < 500) {
            over.push_back(Json::array({one.number, one.task, one.run, one.how, ""}));
        }
    }
    return Json{{"clockMs", this->clockMs()},
                {"born", this->bornMs},
                {"active", running},
                {"ended", over}};
}

Response Worker::hold(const Json &body)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->advance();
    const auto fenced = [&] {
        return Response{409, Json{{"clockMs", this->clockMs()}, {"reason", "fence"}}.dump(), false};
    };
    const std::int64_t token = body.value("fencingToken", std::int64_t{0});
    if (token < this->fence) {
        return fenced();
    }
    this->fence = token;
    const std::int64_t lastSeen = body.value("lastSeen", std::int64_t{0});
    this->renew(body.value("untilMs", std::int64_t{0}));
    const std::int64_t waitMs = std::min<std::int64_t>(body.value("waitMs", std::int64_t{0}), 2000);
    this->changed.wait_for(lock, std::chrono::milliseconds(waitMs), [&] {
        return this->isStopped || this->fence > token
               || (!this->ended.empty() && this->ended.back().number > lastSeen);
    });
    if (this->fence > token) {
        return fenced();
    }
    return {200, this->lists(lastSeen).dump(), false};
}

/// The caller holds the mutex.
void Worker::advance()
{
    const std::int64_t now = nowMs();
    const bool hasLapsed = this->clockMs() >= this->leaseUntilMs;
    std::vector<Active> remaining;
    for (const Active &one : this->active) {
        if (now >= one.startedMs + one.workMs) {
            this->finish(one, "done", one.startedMs + one.workMs);
        } else if (one.stopAtMs >= 0 && now >= one.stopAtMs) {
            this->finish(one, "stopped", now);
        } else if (hasLapsed) {
            this->finish(one, "lapsed", now);
        } else {
            remaining.push_back(one);
        }
    }
    this->active.swap(remaining);
}

void Worker::finish(const Active &one, const std::string &how, std::int64_t atMs)
{
    this->barred[one.task] = std::max(this->barred[one.task], one.run);
    this->ended.push_back({++this->lastNumber, one.task, one.run, how});
    this->seen[one.seen].endedMs = atMs;
    this->seen[one.seen].how = how;
    record().line("worker " + this->chosen.id + " ends " + one.task + " run "
                  + std::to_string(one.run) + ": " + how);
    this->changed.notify_all();
}

Daemon::Daemon(std::string program, std::string name, std::string settings)
    : program(std::move(program))
    , name(std::move(name))
    , file(folder() + '/' + this->name + ".yaml")
    , log(folder() + '/' + this->name + ".log")
{
    std::ofstream(this->file) << settings;
}

Daemon::~Daemon()
{
    this->kill();
}

void Daemon::start()
{
    const std::string path = "target/bin/" + this->program;
    record().line("starts " + path + " as " + this->name);
    this->pid = ::fork();
    if (this->pid == 0) {
        // No daemon outlives the driver. Cases start daemons on the main thread only: the signal
        // comes with the end of the thread that started the process.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl(path.c_str(), path.c_str(), "--transient", "--settings", this->file.c_str(),
                static_cast<char *>(nullptr));
        ::_exit(127);
    }
}

void Daemon::signal(int number)
{
    record().line("signal " + std::to_string(number) + " to " + this->name);
    ::kill(this->pid, number);
}

void Daemon::kill()
{
    if (this->pid > 0) {
        ::kill(this->pid, SIGCONT);
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        record().line(this->name + " is killed");
        this->pid = -1;
    }
}

bool Daemon::isRunning()
{
    return this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == 0;
}

Proxy::Proxy(std::uint16_t target)
    : target(target)
{
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf(0);
    socklen_t length = sizeof address;
    if (::bind(this->listener, reinterpret_cast<sockaddr *>(&address), length) != 0
        || ::listen(this->listener, 64) != 0) {
        std::exit(2);
    }
    ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &length);
    this->listening = ntohs(address.sin_port);
    this->acceptor = std::thread([this] { this->accept(); });
}

Proxy::~Proxy()
{
    this->isStopped = true;
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    this->reset();
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    for (const int socket : this->sockets) {
        ::close(socket);
    }
}

void Proxy::accept()
{
    while (!this->isStopped) {
        const int client = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
            sleepMs(1);
            continue;
        }
        const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = addressOf(this->target);
        if (::connect(server, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            ::close(server);
            ::close(client);
            continue;
        }
        noDelay(client);
        noDelay(server);
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sockets.push_back(client);
        this->sockets.push_back(server);
        this->threads.emplace_back(
                [this, client, server] { this->pump(client, server, this->holdsUp); });
        this->threads.emplace_back(
                [this, client, server] { this->pump(server, client, this->holdsDown); });
    }
}

void Proxy::pump(int from, int to, const std::atomic<bool> &holds)
{
    char bytes[65536];
    while (!this->isStopped) {
        const ssize_t count = ::recv(from, bytes, sizeof bytes, 0);
        while (holds && !this->isStopped) {
            sleepMs(1);
        }
        if (count <= 0 || !sendAll(to, std::string(bytes, static_cast<std::size_t>(count)))) {
            break;
        }
    }
    ::shutdown(to, SHUT_WR);
}

void Proxy::reset()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const int socket : this->sockets) {
        const linger discards{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &discards, sizeof discards);
        ::shutdown(socket, SHUT_RDWR);
    }
}

namespace {

std::string listOf(const std::vector<std::string> &words)
{
    return Json(words).dump();
}

} // namespace

std::unique_ptr<Daemon> makeGateway(const std::string &name, const std::string &zone,
                                    const GatewayPorts &ports, const std::string &store,
                                    const std::vector<std::string> &seeds)
{
    const std::string settings =
            "name: " + name + "\nfailureDomain: " + zone + "\nregion: north\nhost: \"127.0.0.1\"\n"
            + "callerAddress: \"" + loopback(ports.callers) + "\"\nprobeAddress: \""
            + loopback(ports.probe) + "\"\npeerAddress: \"" + loopback(ports.peers)
            + "\"\nmetricsPort: 0\nstoreAddress: \"" + store
            + "\"\nqueuesMaxAgeMs: 2000\nseeds: " + listOf(seeds)
            + "\nlinkMbitPerS: 1000.0\nprocessors: 0.25\nprocessMemoryMb: 260\nmaxDescriptors: "
              "4100\n";
    return std::make_unique<Daemon>("auburntrail-gateway", name, settings);
}

std::unique_ptr<Daemon> makeAgent(const std::string &name, const std::string &zone,
                                  std::uint16_t registration, std::uint16_t worker,
                                  const std::string &store, const std::vector<std::string> &seeds)
{
    const std::string settings =
            "name: " + name + "\nfailureDomain: " + zone + "\nregion: north\nhost: \"127.0.0.1\"\n"
            + "registrationAddress: \"" + loopback(registration) + "\"\nbackendAddress: \""
            + loopback(worker) + "\"\nservice: desk\nmetricsPort: 0\nstoreAddress: \"" + store
            + "\"\nseeds: " + listOf(seeds) + "\nprocessMemoryMb: 128\nmaxDescriptors: 4096\n";
    return std::make_unique<Daemon>("auburntrail-agent", name, settings);
}

std::string configuration(std::int64_t version)
{
    const Json route{{"name", "jobs"},         {"host", "desk.example"}, {"pathPrefix", "/jobs/"},
                     {"service", "desk"},      {"kind", "unsafe"},       {"timeoutMs", 10000},
                     {"priority", 0},          {"maxAttempts", 3},       {"slackFactor", 1.6},
                     {"targetLatencyMs", 2000}};
    const Json service{{"name", "desk"}, {"preconditions", true}};
    return Json{{"version", version},
                {"routes", Json::array({route})},
                {"services", Json::array({service})},
                {"limits", Json::object()}}
            .dump();
}

std::string jobBody(std::int64_t workMs, std::int64_t cpu, int tasks, const Json &more)
{
    Json step{{"count", tasks}, {"cpu", cpu}, {"memMb", 16}, {"estimateMs", workMs}};
    if (more.is_object()) {
        step.update(more);
    }
    return Json{{"bestEffort", true},
                {"spec", std::to_string(workMs) + ' ' + std::to_string(cpu)},
                {"steps", Json::array({step})}}
            .dump();
}

std::string jobId(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

Response submit(std::uint16_t gateway, const std::string &id, const std::string &body,
                std::int64_t timeLimitMs)
{
    record().line("client submits " + id + " at port " + std::to_string(gateway));
    const Response response = call(
            gateway, "POST", "/jobs/" + id, body, timeLimitMs,
            {"Host: desk.example", "X-Auburntrail-Deadline-Ms: " + std::to_string(timeLimitMs)});
    record().line("client of " + id + " has status " + std::to_string(response.status) + ' '
                  + response.body);
    return response;
}

bool waitUntilServed(std::uint16_t gateway, std::int64_t withinMs)
{
    const std::int64_t untilMs = nowMs() + withinMs;
    std::uint64_t number = 0xabc0000000000000;
    while (nowMs() < untilMs) {
        if (submit(gateway, jobId(number++ + gateway * 1000ULL), jobBody(20, 100, 1), 1500).status
            == 200) {
            return true;
        }
        sleepMs(200);
    }
    return false;
}

std::vector<Overlap> overlaps(const std::vector<RunSeen> &runs)
{
    std::vector<Overlap> found;
    for (std::size_t a = 0; a < runs.size(); ++a) {
        for (std::size_t b = a + 1; b < runs.size(); ++b) {
            if (runs[a].task != runs[b].task) {
                continue;
            }
            const auto endOf = [](const RunSeen &run) {
                return run.endedMs < 0 ? nowMs() : run.endedMs;
            };
            const std::int64_t from = std::max(runs[a].startedMs, runs[b].startedMs);
            const std::int64_t until = std::min(endOf(runs[a]), endOf(runs[b]));
            if (until > from) {
                found.push_back({runs[a], runs[b], until - from});
            }
        }
    }
    return found;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace Lab
