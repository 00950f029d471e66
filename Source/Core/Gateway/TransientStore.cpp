#include "Gateway/TransientStore.h"

#include <algorithm>
#include <utility>

#include "platform/Platform.h"

namespace Gateway {

using Common::LogLevel;
using Platform::StoreTopic;

namespace {

constexpr const char *IgnoredCounter = "auburntrail_operator_records_ignored_total";

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
    this->followOperators();
    this->followGateways();
    this->client->write(StoreTopic::Gateways,
                        {this->control.settings.name, Platform::encodeMember(this->control.self)});
    this->learned = Transient::scheduleLearned(this->control.state.fleet, this->control.now);
    this->readLearned();
}

void TransientStore::followOperators()
{
    const Schema::TransientGatewaySettings &settings = this->control.settings;
    this->client->follow(
            StoreTopic::Operators,
            [this](const StoreClient::StoreUpdate &news) { this->operatorsRead(news); },
            std::min(settings.queuesMaxAgeMs, settings.evacuationsMaxAgeMs));
}

/// Evacuations come first, so that no job of a new queue is placed where nothing may start.
void TransientStore::operatorsRead(const StoreClient::StoreUpdate &news)
{
    if (!news.available) {
        return;
    }
    this->mailbox.post(EvacuationsRead{
            {Platform::decodeEvacuations(news.records), news.nextOffset, news.isComplete}});
    for (const Platform::StoreRecord &record : news.records) {
        switch (Platform::kindOf(record)) {
        case Platform::OperatorRecordKind::Queues:
            this->queuesRead(record);
            break;
        case Platform::OperatorRecordKind::Evacuation:
            break;
        case Platform::OperatorRecordKind::Ignored:
            this->reportIgnored(record);
            break;
        }
    }
    this->mailbox.post(OperatorsConfirmed{Common::currentMoment().steadyMs});
}

void TransientStore::queuesRead(const Platform::StoreRecord &record)
{
    Common::handle([&] { return postQueues(this->mailbox, record); },
                   [this, &record](const Common::Failure &failure) {
                       if (std::exchange(this->invalidQueuesOffset, record.offset)
                           == record.offset) {
                           return;
                       }
                       this->control.metrics.count(IgnoredCounter, {{"kind", "invalid"}});
                       Common::logEvent(LogLevel::Warning, "queues_invalid",
                                        {{"key", record.key},
                                         {"offset", record.offset},
                                         {"detail", failure.detail}});
                   });
    std::vector<std::string> ignored = Platform::ignoredMembers(record.value);
    if (ignored == this->ignoredMembers) {
        return;
    }
    for (const std::string &member : ignored) {
        this->control.metrics.count(IgnoredCounter, {{"kind", "member"}});
        Common::logEvent(LogLevel::Warning, "queues_member_ignored", {{"member", member}});
    }
    this->ignoredMembers = std::move(ignored);
}

/// An operator who writes a record that this system does not act on would otherwise believe it in
/// force.
void TransientStore::reportIgnored(const Platform::StoreRecord &record)
{
    const auto [known, isNew] = this->ignoredRecords.try_emplace(record.key, record.offset);
    if (!isNew && known->second >= record.offset) {
        return;
    }
    known->second = record.offset;
    this->control.metrics.count(IgnoredCounter, {{"kind", "record"}});
    Common::logEvent(LogLevel::Warning, "operator_record_ignored",
                     {{"key", record.key}, {"offset", record.offset}});
}

void TransientStore::followGateways()
{
    // A new gateway is known from its peers, too.
    this->client->follow(StoreTopic::Gateways, [this](const StoreClient::StoreUpdate &news) {
        this->mailbox.post(GatewaysRead{
                this->client->usable(StoreTopic::Gateways, Platform::decodeMembers(news.records))});
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
        this->mailbox.post(LearnedTimesRead{
                news.available,
                this->client->usable(StoreTopic::Learned, Platform::decodeLearned(news.records))});
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
