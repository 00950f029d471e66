#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "Common/Common.h"
#include "Net/Net.h"
#include "UnitTests/Transient/ModelBackend.h"

/// The platform's store and a backend server over HTTP, in the platform's own forms, for tests of
/// the real daemons.
namespace FakePlatform {

/// Holds one configuration and the newest records of what gateways have learned; reads wait a
/// little and find nothing more.
class Store
{
public:
    Store();
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    std::string address() const;
    void setQueues(const std::string &text);
    void setSilent(bool silent);
    int writes() const;
    void setLearned(const std::string &key, const std::string &value);
    /// Empty where nobody has written it.
    std::string learned(const std::string &key) const;

private:
    void answer(const Net::HttpRequest &request, const Net::HttpReply &reply);

    mutable std::mutex mutex;
    std::string queues;
    std::map<std::string, std::string> learnedByKey;
    bool isSilent = false;
    int writeCount = 0;
    Common::TimerThread timers;
    std::unique_ptr<Net::HttpServer> server;
};

/// TransientSite::ModelBackend on the real clock.
class BackendServer
{
public:
    BackendServer();
    ~BackendServer();
    BackendServer(const BackendServer &) = delete;
    BackendServer &operator=(const BackendServer &) = delete;

    std::string address() const;
    /// Tells the agent at \a registration of itself. False where it does not acknowledge.
    bool announce(const std::string &registration, const std::string &service, bool leaving);
    std::size_t running();
    int starts();

private:
    void answer(const Net::HttpRequest &request, const Net::HttpReply &reply);
    void observe(const std::string &body, const Net::HttpReply &reply, std::int64_t untilMs);

    std::mutex mutex;
    TransientSite::ModelBackend model;
    int startCount = 0;
    std::int64_t sequence = 0;
    Common::TimerThread timers;
    std::unique_ptr<Net::HttpServer> server;
};

/// A port that nothing listens on at the moment.
std::uint16_t freePort();

/// A configuration with one queue at host "desk.example" and path "/checks/".
std::string oneQueue(std::int64_t version, const std::string &service);

} // namespace FakePlatform
