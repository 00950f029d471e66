#include "RawCaller.h"

#include <arpa/inet.h>
#include <cerrno>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

RawCaller::RawCaller(std::uint16_t port, int receiveBuffer)
    : number(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (receiveBuffer > 0) {
        ::setsockopt(this->number, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    constexpr int On = 1;
    ::setsockopt(this->number, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(this->number, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
}

RawCaller::~RawCaller()
{
    this->close();
}

std::string RawCaller::requestOf(const std::string &path, const std::string &headers)
{
    return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n" + headers + "\r\n";
}

void RawCaller::close()
{
    if (this->number >= 0) {
        ::close(this->number);
    }
    this->number = -1;
}

void RawCaller::endSending() const
{
    ::shutdown(this->number, SHUT_WR);
}

void RawCaller::send(const std::string &bytes) const
{
    REQUIRE(::send(this->number, bytes.data(), bytes.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(bytes.size()));
}

void RawCaller::ask(const std::string &path) const
{
    this->send(requestOf(path));
}

bool RawCaller::waitForInput(std::chrono::milliseconds limit) const
{
    pollfd entry{this->number, POLLIN, 0};
    return ::poll(&entry, 1, static_cast<int>(limit.count())) == 1;
}

bool RawCaller::readSome(std::size_t most, std::chrono::milliseconds limit)
{
    if (!this->waitForInput(limit)) {
        return false;
    }
    std::vector<char> buffer(most);
    const ssize_t length = ::recv(this->number, buffer.data(), buffer.size(), 0);
    if (length <= 0) {
        this->isClosedByServer = true;
        this->isResetByServer = length < 0 && errno == ECONNRESET;
        return false;
    }
    this->received.append(buffer.data(), static_cast<std::size_t>(length));
    return true;
}

/// Takes the next whole answer out of what was received.
bool RawCaller::takeAnswer(std::string &body)
{
    static const std::string headEnd = "\r\n\r\n";
    static const std::string lengthName = "Content-Length: ";
    constexpr std::size_t MaxDigits = 20;
    const std::size_t head = this->received.find(headEnd);
    if (head == std::string::npos) {
        return false;
    }
    const std::size_t length = this->received.find(lengthName);
    REQUIRE(length < head);
    const std::size_t bytes =
            std::stoul(this->received.substr(length + lengthName.size(), MaxDigits));
    const std::size_t start = head + headEnd.size();
    if (this->received.size() < start + bytes) {
        return false;
    }
    body = this->received.substr(start, bytes);
    this->received.erase(0, start + bytes);
    return true;
}

std::vector<std::string> RawCaller::readAnswers(std::size_t count, std::chrono::milliseconds limit)
{
    constexpr std::size_t PieceBytes = std::size_t{64} << 10U;
    std::vector<std::string> bodies;
    std::string body;
    while (bodies.size() < count) {
        if (this->takeAnswer(body)) {
            bodies.push_back(body);
        } else if (!this->readSome(PieceBytes, limit)) {
            break;
        }
    }
    return bodies;
}

std::string RawCaller::readToEnd()
{
    constexpr std::size_t PieceBytes = std::size_t{64} << 10U;
    while (this->readSome(PieceBytes)) {
    }
    return std::move(this->received);
}
