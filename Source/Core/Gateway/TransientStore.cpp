#include "Gateway/TransientStore.h"

#include <utility>

#include "platform/Platform.h"

namespace Gateway {

using Common::LogLevel;
using Platform::StoreTopic;

namespace {

Common::Outcome<void> postQueues(TransientMailbox &mailbox, const Platform::StoreRecord &record)
{
    BOOST_LEAF_AUTO(queues, Platform::decodeQueues(record.value));
    mailbox.post(QueuesRead{std::move(queues)});
    return {};
}

} // namespace

TransientStore::TransientStore(TransientControl &control, TransientMailbox &mailbox)
    : control(control)
    , mailbox(mailbox)
{}

void TransientStore::start()
{
    StoreClient::StoreSettings settings;
    settings.address = this->control.settings.storeAddress;
    settings.metrics = &this->control.metrics;
    this->client = std::make_unique<StoreClient::Client>(settings);
    this->followQueues();
    this->followGateways();
    this->client->write(StoreTopic::Gateways,
                        {this->control.settings.name, Platform::encodeMember(this->control.self)});
    this->learned = Transient::scheduleLearned(this->control.state.fleet, this->control.now);
    this->readLearned();
}

void TransientStore::followQueues()
{
    this->client->follow(
            StoreTopic::Operators,
            [this](const StoreClient::StoreUpdate &news) {
                for (const Platform::StoreRecord &record : news.records) {
                    if (record.key != Platform::QueuesKey) {
                        continue;
                    }
                    Common::handle([&] { return postQueues(this->mailbox, record); },
                                   [](const Common::Failure &failure) {
                                       Common::logEvent(LogLevel::Warning, "queues_invalid",
                                                        {{"detail", failure.detail}});
                                   });
                }
                if (news.available) {
                    this->mailbox.post(QueuesConfirmed{Common::currentMoment().steadyMs});
                }
            },
            this->control.settings.queuesMaxAgeMs);
}

void TransientStore::followGateways()
{
    // A new gateway is known from its peers, too.
    this->client->follow(StoreTopic::Gateways, [this](const StoreClient::StoreUpdate &news) {
        this->mailbox.post(GatewaysRead{Platform::decodeMembers(news.records)});
    });
}

void TransientStore::runPeriodicWork()
{
    this->readLearned();
    this->writeLearned();
}

void TransientStore::readLearned()
{
    if (!this->control.state.storesLearned
        || !Transient::takeReadDue(this->learned, this->control.now)) {
        return;
    }
    this->client->readOnce(StoreTopic::Learned, [this](const StoreClient::StoreUpdate &news) {
        this->mailbox.post(LearnedTimesRead{news.available, Platform::decodeLearned(news.records)});
    });
}

void TransientStore::on(const LearnedTimesRead &event)
{
    if (!event.available) {
        return;
    }
    Transient::finishReading(this->learned);
    for (const Schema::LearnedTimes &times : event.learned) {
        Transient::recallTimes(this->control.state, times);
        Common::logEvent(LogLevel::Info, "times_recalled",
                         {{"from", times.gateway},
                          {"age_ms", this->control.now.wallMs - times.writtenMs},
                          {"profiles", times.profiles.size()},
                          {"speeds", times.speeds.size()}});
    }
}

void TransientStore::writeLearned()
{
    const TransientControl &control = this->control;
    if (!control.state.storesLearned
        || !Transient::takeWriteDue(this->learned, control.state.fleet, control.now)) {
        return;
    }
    const Schema::LearnedTimes times =
            Transient::learnedTimes(control.state, control.self.instance, control.now);
    if (!times.speeds.empty()) {
        this->client->tryWrite(StoreTopic::Learned,
                               {control.settings.name, Platform::encodeLearned(times)});
    }
}

void TransientStore::stop()
{
    this->client->stop();
}

} // namespace Gateway
