#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ResourceLimits {

/// What one client sends: \a opening, then \a fillBytes times \a fill, then \a ending.
struct ClientInput
{
    std::string opening;
    char fill = 'x';
    std::size_t fillBytes = 0;
    std::string ending;
};

/// Clients that send on connections of their own and keep these open. All are served by the thread
/// that calls a function of this class.
class Crowd
{
public:
    explicit Crowd(std::uint16_t port);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    void add(ClientInput input);
    /// Connects all clients and sends until everything is sent, or nothing was accepted for a
    /// while. A client whose connection has ended stays so.
    void send();
    /// Reads until each client has an answer, or nothing has come for a while. Returns the status
    /// of each client's answer, or nothing where its connection ended without one.
    std::vector<std::optional<int>> readStatuses();
    /// Closes all connections.
    void leave();

private:
    struct Client
    {
        ClientInput input;
        int socket = -1;
        std::size_t sent = 0;
        std::string received;
    };

    static std::size_t totalBytes(const ClientInput &input);
    static bool sendSome(Client &client);
    static bool readSome(Client &client);
    static void close(Client &client);
    /// Calls \a step for each client whose socket has one of \a events, until it returns false for
    /// all of them for a while.
    template <typename IsWaiting, typename Step>
    void run(short events, IsWaiting isWaiting, Step step);

    std::uint16_t port;
    std::vector<Client> clients;
};

/// Allows this process as many descriptors as the system permits it.
void raiseDescriptorLimit();

} // namespace ResourceLimits
