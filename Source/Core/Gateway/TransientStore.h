#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Gateway/TransientControl.h"
#include "StoreClient/StoreClient.h"

namespace Gateway {

/// Access of the daemon for transient jobs to the store. Follows the operators'
/// records and the addresses of gateways, writes the address of this one, and reads and writes what
/// gateways have learned.
class TransientStore
{
public:
    /// \a control and \a mailbox must outlive this object.
    TransientStore(TransientControl &control, TransientMailbox &mailbox);

    void start();
    void runPeriodicWork();
    void on(const LearnedTimesRead &event);
    void stop();

private:
    void followOperators();
    void operatorsRead(const StoreClient::StoreUpdate &news);
    void queuesRead(const Platform::StoreRecord &record);
    void reportIgnored(const Platform::StoreRecord &record);
    void followGateways();
    void readLearned();
    void writeLearned();

    TransientControl &control;
    TransientMailbox &mailbox;
    Transient::LearnedSchedule learned;
    /// Used by the thread that delivers the operators' records, like the two after it: offset of
    /// the record of each key that was last reported as ignored, and members of the queues.
    std::map<std::string, std::int64_t> ignoredRecords;
    std::vector<std::string> ignoredMembers;
    /// Offset of the record of the queues that was last reported as invalid.
    std::optional<std::int64_t> invalidQueuesOffset;
    std::unique_ptr<StoreClient::Client> client;
};

} // namespace Gateway
