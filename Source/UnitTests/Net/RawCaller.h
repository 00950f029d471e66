#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// A caller with a connection of its own, which is read and written only when the test says so.
class RawCaller
{
public:
    /// Upper limit of every wait; far above what any of them needs.
    static constexpr std::chrono::seconds MaxWait{5};

    /// With a \a receiveBuffer of 0 the kernel chooses its size.
    explicit RawCaller(std::uint16_t port, int receiveBuffer = 0);
    ~RawCaller();
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    static std::string requestOf(const std::string &path, const std::string &headers = "");

    void close();
    void endSending() const;
    void send(const std::string &bytes) const;
    void ask(const std::string &path) const;

    /// Waits until something can be read. False if nothing comes.
    bool waitForInput(std::chrono::milliseconds limit = MaxWait) const;

    /// Reads at most \a most bytes of what comes. False if nothing comes, or the connection is
    /// over.
    bool readSome(std::size_t most, std::chrono::milliseconds limit = MaxWait);

    /// Reads until \a count answers are whole, the connection is over, or nothing comes any more.
    /// Returns their bodies.
    std::vector<std::string> readAnswers(std::size_t count,
                                         std::chrono::milliseconds limit = MaxWait);

    /// Reads until the connection is over or nothing comes any more. Returns all that came.
    std::string readToEnd();

    /// Whether the server has ended the connection, as far as it was read.
    bool isOver() const { return this->isClosedByServer; }
    bool isReset() const { return this->isResetByServer; }

private:
    bool takeAnswer(std::string &body);

    int number = -1;
    std::string received;
    bool isClosedByServer = false;
    bool isResetByServer = false;
};
