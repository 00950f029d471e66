#pragma once

#include <memory>

#include "Gateway/TransientControl.h"
#include "StoreClient/StoreClient.h"

namespace Gateway {

/// Access of the daemon for transient jobs to the store. Follows the operators' queues and the
/// addresses of gateways, writes the address of this one, and reads and writes what gateways have
/// learned.
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
    void followQueues();
    void followGateways();
    void readLearned();
    void writeLearned();

    TransientControl &control;
    TransientMailbox &mailbox;
    Transient::LearnedSchedule learned;
    std::unique_ptr<StoreClient::Client> client;
};

} // namespace Gateway
