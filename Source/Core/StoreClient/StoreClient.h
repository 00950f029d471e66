#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "platform/Platform.h"

/// Client of the platform's store. Nothing on the path of a job waits for it.
namespace StoreClient {

struct StoreSettings
{
    /// host:port
    std::string address;
    /// How long a read may wait for a record: each read is charged for, and a change comes at once.
    std::int64_t longPollMs = 10'000;
    /// How long an answer may take beyond that: three times what a store takes that is sixty times
    /// slower than usual. A gateway that starts while the store is silent serves nobody until it is
    /// asked again.
    std::int64_t answerTimeoutMs = 800;
    /// Pause before the first repetition of a call that failed. It doubles up to four times this,
    /// and is spread by half to either side: processes that lost the store together would otherwise
    /// come back to it together. Twelve gateways then make some 40 of its 2,000 reads a second.
    std::int64_t retryMs = 150;
    /// Counts calls by kind and outcome. Must outlive the client.
    Common::Metrics *metrics = nullptr;
};

/// Records that were read, or the loss of the store.
struct StoreUpdate
{
    /// False once each time the store stops answering.
    bool available = false;
    std::vector<Platform::StoreRecord> records;
};

/// Works on threads of its own.
class Client
{
public:
    explicit Client(StoreSettings settings);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Delivers the newest record of each key of \a topic, then every later one, for as long as
    /// the client lives, on a thread of the client.
    void follow(Platform::StoreTopic topic, std::function<void(StoreUpdate)> deliver);
    /// Delivers the newest record of each key once; nothing where the store does not answer.
    void readOnce(Platform::StoreTopic topic, std::function<void(StoreUpdate)> deliver);
    /// Writes the record, again and again until it is acknowledged.
    void write(Platform::StoreTopic topic, const Platform::StoreRecord &record);
    /// Writes the record, or not: for what is written again soon anyway.
    void tryWrite(Platform::StoreTopic topic, const Platform::StoreRecord &record);
    /// Nothing is delivered afterwards. Not to be called from a delivery.
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace StoreClient
