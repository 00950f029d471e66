#include "Crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace ResourceLimits {

namespace {

constexpr std::size_t BlockBytes = std::size_t{64} << 10U;
/// The crowd is done when the server has accepted or sent nothing for this long.
constexpr std::chrono::milliseconds Quiet{3000};

int connectTo(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    // Goes on in the background.
    (void)::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address);
    return socket;
}

bool isTransient(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOTCONN;
}

/// Status in the first line of \a answer that is not an interim one.
std::optional<int> statusOf(const std::string &answer)
{
    constexpr int FirstFinal = 200;
    constexpr std::size_t Digits = 3;
    static const std::string version = "HTTP/1.1 ";
    for (std::size_t line = answer.find(version); line != std::string::npos;
         line = answer.find(version, line + 1)) {
        const std::string digits = answer.substr(line + version.size(), Digits);
        if (digits.size() == Digits && std::stoi(digits) >= FirstFinal) {
            return std::stoi(digits);
        }
    }
    return std::nullopt;
}

} // namespace

Crowd::Crowd(std::uint16_t port)
    : port(port)
{}

Crowd::~Crowd()
{
    this->leave();
}

void Crowd::add(ClientInput input)
{
    Client client;
    client.input = std::move(input);
    this->clients.push_back(std::move(client));
}

std::size_t Crowd::totalBytes(const ClientInput &input)
{
    return input.opening.size() + input.fillBytes + input.ending.size();
}

template <typename IsWaiting, typename Step>
void Crowd::run(short events, IsWaiting isWaiting, Step step)
{
    constexpr int PollMs = 100;
    auto lastProgress = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < lastProgress + Quiet) {
        std::vector<pollfd> polled;
        std::vector<Client *> waiting;
        for (Client &client : this->clients) {
            if (client.socket >= 0 && isWaiting(client)) {
                polled.push_back({client.socket, events, 0});
                waiting.push_back(&client);
            }
        }
        if (polled.empty()) {
            return;
        }
        ::poll(polled.data(), polled.size(), PollMs);
        for (std::size_t index = 0; index < polled.size(); ++index) {
            if (polled[index].revents != 0 && step(*waiting[index])) {
                lastProgress = std::chrono::steady_clock::now();
            }
        }
    }
}

void Crowd::send()
{
    for (Client &client : this->clients) {
        client.socket = connectTo(this->port);
    }
    this->run(
            POLLOUT, [](const Client &client) { return client.sent < totalBytes(client.input); },
            sendSome);
}

bool Crowd::sendSome(Client &client)
{
    const ClientInput &input = client.input;
    const std::size_t fillEnd = input.opening.size() + input.fillBytes;
    std::string block;
    if (client.sent < input.opening.size()) {
        block = input.opening.substr(client.sent);
    } else if (client.sent < fillEnd) {
        block.assign(std::min(BlockBytes, fillEnd - client.sent), input.fill);
    } else {
        block = input.ending.substr(client.sent - fillEnd);
    }
    const ssize_t sent = ::send(client.socket, block.data(), block.size(), MSG_NOSIGNAL);
    if (sent < 0 && !isTransient(errno)) {
        // What the server has answered before it ended the connection can still be read.
        client.sent = totalBytes(input);
    }
    client.sent += sent > 0 ? static_cast<std::size_t>(sent) : 0;
    return sent != 0;
}

std::vector<std::optional<int>> Crowd::readStatuses()
{
    this->run(
            POLLIN, [](const Client &client) { return !statusOf(client.received); }, readSome);
    std::vector<std::optional<int>> statuses;
    for (const Client &client : this->clients) {
        statuses.push_back(statusOf(client.received));
    }
    return statuses;
}

bool Crowd::readSome(Client &client)
{
    std::string block(BlockBytes, '\0');
    const ssize_t length = ::recv(client.socket, block.data(), block.size(), 0);
    if (length > 0) {
        client.received.append(block, 0, static_cast<std::size_t>(length));
        return true;
    }
    if (length == 0 || !isTransient(errno)) {
        close(client);
    }
    return false;
}

void Crowd::close(Client &client)
{
    if (client.socket >= 0) {
        ::close(client.socket);
        client.socket = -1;
    }
}

void Crowd::leave()
{
    for (Client &client : this->clients) {
        close(client);
    }
}

void raiseDescriptorLimit()
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace ResourceLimits
