#include "Kit.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

namespace Kit {

namespace {

sockaddr_in endpointOf(const std::string &host, std::uint16_t port)
{
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(port);
    ::inet_pton(AF_INET, host.c_str(), &endpoint.sin_addr);
    return endpoint;
}

int listenAt(const std::string &host, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in endpoint = endpointOf(host, port);
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) != 0
        || ::listen(socket, 128) != 0) {
        ::close(socket);
        throw std::runtime_error("cannot listen on " + host + ':' + std::to_string(port));
    }
    return socket;
}

std::uint16_t portOf(int socket)
{
    sockaddr_in endpoint{};
    socklen_t length = sizeof endpoint;
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&endpoint), &length);
    return ntohs(endpoint.sin_port);
}

std::string lowerCased(std::string text)
{
    for (char &letter : text) {
        letter = static_cast<char>(::tolower(static_cast<unsigned char>(letter)));
    }
    return text;
}

std::string decoded(const std::string &text)
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

bool sendAll(int socket, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t length = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (length <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(length);
    }
    return true;
}

struct Message
{
    std::string first;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Reads one message with a Content-Length. False at the end of the connection or of the time.
bool readMessage(int socket, std::string &buffered, Message &message, std::int64_t untilMs)
{
    const auto more = [&] {
        const std::int64_t leftMs = untilMs - nowMs();
        pollfd watched{socket, POLLIN, 0};
        if (leftMs <= 0 || ::poll(&watched, 1, static_cast<int>(leftMs)) <= 0) {
            return false;
        }
        char input[16384];
        const ssize_t length = ::recv(socket, input, sizeof input, 0);
        if (length <= 0) {
            return false;
        }
        buffered.append(input, static_cast<std::size_t>(length));
        return true;
    };
    std::size_t head = std::string::npos;
    while ((head = buffered.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return false;
        }
    }
    std::size_t at = buffered.find("\r\n");
    message.first = buffered.substr(0, at);
    while (at < head) {
        const std::size_t begin = at + 2;
        at = buffered.find("\r\n", begin);
        const std::string line = buffered.substr(begin, at - begin);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers[lowerCased(line.substr(0, colon))] =
                    value == std::string::npos ? std::string() : line.substr(value);
        }
    }
    const auto found = message.headers.find("content-length");
    const std::size_t length = found == message.headers.end() ? 0 : std::stoul(found->second);
    while (buffered.size() < head + 4 + length) {
        if (!more()) {
            return false;
        }
    }
    message.body = buffered.substr(head + 4, length);
    buffered.erase(0, head + 4 + length);
    return true;
}

Request requestOf(const Message &message, const std::string &tag)
{
    Request request;
    request.receivedBy = tag;
    request.headers = message.headers;
    request.body = message.body;
    const std::size_t space = message.first.find(' ');
    const std::size_t last = message.first.rfind(' ');
    request.method = message.first.substr(0, space);
    const std::string target = message.first.substr(space + 1, last - space - 1);
    const std::size_t mark = std::min(target.find('?'), target.size());
    request.path = decoded(target.substr(0, mark));
    std::string query = mark < target.size() ? target.substr(mark + 1) : std::string();
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string one = query.substr(0, end);
        query.erase(0, end + 1);
        const std::size_t equals = one.find('=');
        if (equals != std::string::npos) {
            request.query[one.substr(0, equals)] = decoded(one.substr(equals + 1));
        }
    }
    return request;
}

} // namespace

std::int64_t nowMs()
{
    timespec time{};
    ::clock_gettime(CLOCK_MONOTONIC, &time);
    return std::int64_t{time.tv_sec} * 1000 + time.tv_nsec / 1'000'000;
}

std::int64_t wallMs()
{
    timespec time{};
    ::clock_gettime(CLOCK_REALTIME, &time);
    return std::int64_t{time.tv_sec} * 1000 + time.tv_nsec / 1'000'000;
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool waitFor(std::int64_t timeoutMs, const std::function<bool()> &condition)
{
    const std::int64_t untilMs = nowMs() + timeoutMs;
    while (!condition()) {
        if (nowMs() >= untilMs) {
            return false;
        }
        sleepMs(5);
    }
    return true;
}

bool hasTrouble()
{
    const char *trouble = ::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

std::string randomId()
{
    std::random_device device;
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", device(), device());
    return text;
}

Record::Record(const std::string &path)
    : startedMs(nowMs())
    , file(std::fopen(path.c_str(), "w"))
{}

std::int64_t Record::sinceStartMs() const
{
    return nowMs() - this->startedMs;
}

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::fprintf(this->file, "%8.3f %s\n", static_cast<double>(this->sinceStartMs()) / 1000,
                 text.c_str());
    std::fflush(this->file);
}

Server::Server(const std::string &host, std::uint16_t port, std::string tag, Handler handler)
    : host(host)
    , tag(std::move(tag))
    , handler(std::move(handler))
    , listener(listenAt(host, port))
{
    this->port = portOf(this->listener);
    this->acceptor = std::thread([this] { this->accept(); });
}

Server::~Server()
{
    this->stop();
}

std::string Server::address() const
{
    return this->host + ':' + std::to_string(this->port);
}

void Server::stop()
{
    if (this->isStopping.exchange(true)) {
        return;
    }
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
}

void Server::accept()
{
    while (!this->isStopping) {
        const int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            if (this->isStopping) {
                return;
            }
            sleepMs(5);
            continue;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sockets.insert(socket);
        this->threads.emplace_back([this, socket] { this->serve(socket); });
    }
}

void Server::serve(int socket)
{
    std::string buffered;
    while (!this->isStopping) {
        Message message;
        if (!readMessage(socket, buffered, message, nowMs() + 600'000)) {
            break;
        }
        const Response response = this->handler(requestOf(message, this->tag));
        if (response.isSilent) {
            continue;
        }
        const std::string text = "HTTP/1.1 " + std::to_string(response.status)
                                 + " -\r\nContent-Type: " + response.type
                                 + "\r\nContent-Length: " + std::to_string(response.body.size())
                                 + "\r\n\r\n" + response.body;
        if (!sendAll(socket, text)) {
            break;
        }
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->sockets.erase(socket);
    ::close(socket);
}

Connection::Connection(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    const sockaddr_in endpoint =
            endpointOf(address.substr(0, colon),
                       static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(this->socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(this->socket, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint)
        != 0) {
        this->close();
    }
}

Connection::~Connection()
{
    this->close();
}

bool Connection::isOpen() const
{
    return this->socket >= 0;
}

bool Connection::send(const std::string &text)
{
    return this->isOpen() && sendAll(this->socket, text);
}

Answer Connection::receive(std::int64_t timeoutMs)
{
    Answer answer;
    Message message;
    if (this->isOpen() && readMessage(this->socket, this->buffered, message, nowMs() + timeoutMs)) {
        answer.isAnswered = true;
        answer.status = std::stoi(message.first.substr(message.first.find(' ') + 1));
        answer.body = message.body;
    }
    return answer;
}

void Connection::close()
{
    if (this->socket >= 0) {
        ::close(this->socket);
        this->socket = -1;
    }
}

Proxy::Proxy(const std::string &host, std::string target)
    : host(host)
    , target(std::move(target))
    , listener(listenAt(host, 0))
{
    this->port = portOf(this->listener);
    this->acceptor = std::thread([this] { this->accept(); });
}

Proxy::~Proxy()
{
    this->stop();
}

std::string Proxy::address() const
{
    return this->host + ':' + std::to_string(this->port);
}

void Proxy::accept()
{
    while (!this->isStopping) {
        const int client = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
            continue;
        }
        const std::size_t colon = this->target.rfind(':');
        const sockaddr_in endpoint =
                endpointOf(this->target.substr(0, colon),
                           static_cast<std::uint16_t>(std::stoi(this->target.substr(colon + 1))));
        const int connected = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (::connect(connected, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint)
            != 0) {
            ::close(connected);
            ::close(client);
            continue;
        }
        auto pair = std::make_unique<Pair>();
        pair->client = client;
        pair->target = connected;
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->pairs.push_back(std::move(pair));
        this->threads.emplace_back([this, one = this->pairs.back().get()] { this->forward(*one); });
    }
}

void Proxy::forward(Pair &pair)
{
    const auto closeClient = [&pair] {
        // With this option the end of the connection is a reset.
        const linger reset{1, 0};
        ::setsockopt(pair.client, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::close(pair.client);
        pair.client = -1;
    };
    char input[16384];
    while (!this->isStopping) {
        if (pair.resetMs != 0) {
            if (pair.client >= 0 && nowMs() >= pair.resetMs) {
                closeClient();
            }
            sleepMs(10);
            continue;
        }
        pollfd watched[2]{{pair.client, POLLIN, 0}, {pair.target, POLLIN, 0}};
        if (::poll(watched, 2, 10) <= 0 || pair.resetMs != 0) {
            continue;
        }
        for (int side = 0; side < 2; ++side) {
            if (watched[side].revents == 0) {
                continue;
            }
            const ssize_t length = ::recv(watched[side].fd, input, sizeof input, 0);
            if (length <= 0
                || !sendAll(watched[1 - side].fd,
                            std::string(input, static_cast<std::size_t>(length)))) {
                ::close(pair.client);
                ::close(pair.target);
                return;
            }
        }
    }
    if (pair.client >= 0) {
        ::close(pair.client);
    }
    ::close(pair.target);
}

void Proxy::forgetOpenConnections(std::int64_t keepAliveMs)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto &pair : this->pairs) {
        pair->resetMs = nowMs() + keepAliveMs;
    }
}

void Proxy::stop()
{
    if (this->isStopping.exchange(true)) {
        return;
    }
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    for (std::thread &thread : this->threads) {
        thread.join();
    }
}

void Connection::reset()
{
    const linger discards{1, 0};
    ::setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &discards, sizeof discards);
    this->close();
}

std::string requestText(const std::string &method, const std::string &path, const std::string &host,
                        const std::vector<std::string> &headers, const std::string &body)
{
    std::string text = method + ' ' + path + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const std::string &header : headers) {
        text += header + "\r\n";
    }
    if (!body.empty()) {
        text += "Content-Type: application/json\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Answer call(const std::string &address, const std::string &method, const std::string &path,
            const std::string &host, const std::vector<std::string> &headers,
            const std::string &body, std::int64_t timeoutMs)
{
    Connection connection(address);
    if (!connection.send(requestText(method, path, host, headers, body))) {
        return {};
    }
    return connection.receive(timeoutMs);
}

std::uint16_t freePort(const std::string &host)
{
    const int socket = listenAt(host, 0);
    const std::uint16_t port = portOf(socket);
    ::close(socket);
    return port;
}

} // namespace Kit
