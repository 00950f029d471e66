#pragma once

#include <memory>

#include "Gateway/TransientControl.h"
#include "StoreClient/StoreClient.h"

namespace Gateway {

/// The store's side of the daemon for transient jobs: the operators' queues and the addresses of
/// other gateways, which are followed, and what was learned, which is read and written.
class TransientStore
{
public:
    /// Both must outlive this.
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
