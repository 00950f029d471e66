#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

#include "Record.h"

namespace Review {

namespace {

constexpr std::size_t BufferBytes = 65536;
constexpr int Backlog = 256;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::uint16_t portOf(int socket)
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

std::string lowerCased(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

std::string decoded(const std::string &text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            result += text[index];
        }
    }
    return result;
}

std::map<std::string, std::string> headersOf(const std::string &head)
{
    std::map<std::string, std::string> headers;
    std::size_t at = head.find("\r\n");
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t end = head.find("\r\n", at + 2);
        const std::string line = head.substr(at + 2, end - at - 2);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            headers[lowerCased(line.substr(0, colon))] =
                    value == std::string::npos ? "" : line.substr(value);
        }
        at = end;
    }
    return headers;
}

/// Head and body of the next message in \a buffer, which are removed from it.
struct Message
{
    std::string head;
    std::string body;
};

std::optional<Message> takeMessage(std::string &buffer)
{
    const std::size_t end = buffer.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    Message message;
    message.head = buffer.substr(0, end);
    const auto headers = headersOf(message.head);
    const auto length = headers.find("content-length");
    const std::size_t bodyBytes =
            length == headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
    if (buffer.size() < end + 4 + bodyBytes) {
        return std::nullopt;
    }
    message.body = buffer.substr(end + 4, bodyBytes);
    buffer.erase(0, end + 4 + bodyBytes);
    return message;
}

Request requestOf(const Message &message)
{
    Request request;
    const std::string line = message.head.substr(0, message.head.find("\r\n"));
    const std::size_t space = line.find(' ');
    request.method = line.substr(0, space);
    const std::string target = line.substr(space + 1, line.rfind(' ') - space - 1);
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    std::size_t at = mark;
    while (at != std::string::npos) {
        const std::size_t next = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, next == std::string::npos ? std::string::npos
                                                                                 : next - at - 1);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos) {
            request.query[pair.substr(0, equals)] = decoded(pair.substr(equals + 1));
        }
        at = next;
    }
    request.headers = headersOf(message.head);
    request.body = message.body;
    return request;
}

bool writeAll(int socket, const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t sent =
                ::send(socket, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(sent);
    }
    return true;
}

void resetOnClose(int socket)
{
    const linger discardsUnsent{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &discardsUnsent, sizeof discardsUnsent);
}

} // namespace

Server::Server(std::uint16_t port, Handler chosen)
    : handler(std::move(chosen))
{
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    if (::bind(this->listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(this->listener, Backlog) != 0) {
        ::close(this->listener);
        throw std::runtime_error("cannot listen on port " + std::to_string(port));
    }
    this->boundPort = portOf(this->listener);
    this->acceptor = std::thread([this] { this->acceptAll(); });
}

Server::~Server()
{
    this->stop();
}

std::uint16_t Server::port() const
{
    return this->boundPort;
}

void Server::stop()
{
    if (this->isStopped.exchange(true)) {
        return;
    }
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const Connection &connection : this->connections) {
            resetOnClose(connection.socket);
            ::shutdown(connection.socket, SHUT_RDWR);
        }
    }
    for (Connection &connection : this->connections) {
        connection.thread.join();
        ::close(connection.socket);
    }
    this->connections.clear();
}

void Server::acceptAll()
{
    while (!this->isStopped) {
        const int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->connections.push_back({socket, {}});
        this->connections.back().thread = std::thread([this, socket] { this->serve(socket); });
    }
}

void Server::serve(int socket)
{
    std::string buffer;
    std::string part(BufferBytes, '\0');
    while (!this->isStopped) {
        std::optional<Message> message = takeMessage(buffer);
        if (!message) {
            const ssize_t received = ::recv(socket, part.data(), part.size(), 0);
            if (received <= 0) {
                ::shutdown(socket, SHUT_RDWR);
                return;
            }
            buffer.append(part, 0, static_cast<std::size_t>(received));
            continue;
        }
        const Response response = this->handler(requestOf(*message));
        if (response.isWithheld) {
            continue;
        }
        const std::string head = "HTTP/1.1 " + std::to_string(response.status)
                                 + " Answer\r\nContent-Type: " + response.contentType
                                 + "\r\nContent-Length: " + std::to_string(response.body.size())
                                 + "\r\n\r\n";
        if (!writeAll(socket, head + response.body)) {
            return;
        }
    }
}

Answer send(const Call &call)
{
    Answer answer;
    const std::int64_t deadlineMs = nowMs() + call.timeoutMs;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(call.port);
    std::string text = call.method + ' ' + call.path + " HTTP/1.1\r\n";
    for (const auto &[name, value] : call.headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
    if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || !writeAll(socket, text)) {
        ::close(socket);
        return answer;
    }
    std::string buffer;
    std::string part(BufferBytes, '\0');
    while (true) {
        if (const std::optional<Message> message = takeMessage(buffer)) {
            answer.status = std::atoi(message->head.substr(message->head.find(' ') + 1).c_str());
            answer.body = message->body;
            break;
        }
        const std::int64_t leftMs = deadlineMs - nowMs();
        pollfd watched{socket, POLLIN, 0};
        if (leftMs <= 0 || ::poll(&watched, 1, static_cast<int>(leftMs)) <= 0) {
            break;
        }
        const ssize_t received = ::recv(socket, part.data(), part.size(), 0);
        if (received <= 0) {
            break;
        }
        buffer.append(part, 0, static_cast<std::size_t>(received));
    }
    ::close(socket);
    return answer;
}

std::uint16_t freePort()
{
    // Below the range from which systems take the ports of outgoing connections: nothing takes the
    // port before it is used.
    // Cases that run at the same time take theirs from different ranges.
    constexpr int Lowest = 10'000;
    constexpr int Ranges = 40;
    constexpr int PortsOfRange = 550;
    static std::mt19937 random(std::random_device{}());
    static std::set<std::uint16_t> given;
    const int first = Lowest + ::getpid() % Ranges * PortsOfRange;
    std::uniform_int_distribution<int> ports(first, first + PortsOfRange - 1);
    while (true) {
        const auto port = static_cast<std::uint16_t>(ports(random));
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(port);
        const bool isFree =
                ::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        ::close(socket);
        if (isFree && given.insert(port).second) {
            return port;
        }
    }
}

} // namespace Review
