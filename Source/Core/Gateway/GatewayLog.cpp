#include "Gateway/GatewayLog.h"

#include <utility>

namespace Gateway {

using Common::LogLevel;
using Dispatch::LogStream;

namespace {

PlatformLog::Stream streamOf(LogStream stream)
{
    switch (stream) {
    case LogStream::Control:
        return PlatformLog::Stream::Control;
    case LogStream::Journal:
        return PlatformLog::Stream::Journal;
    case LogStream::Config:
        break;
    }
    return PlatformLog::Stream::Config;
}

Dispatch::AppendStatus statusOfAppend(PlatformLog::AppendStatus status)
{
    switch (status) {
    case PlatformLog::AppendStatus::Durable:
        return Dispatch::AppendStatus::Durable;
    case PlatformLog::AppendStatus::Unknown:
        return Dispatch::AppendStatus::Unknown;
    case PlatformLog::AppendStatus::Refused:
        return Dispatch::AppendStatus::Refused;
    case PlatformLog::AppendStatus::Unavailable:
        break;
    }
    return Dispatch::AppendStatus::Unavailable;
}

} // namespace

GatewayLog::GatewayLog(GatewayControl &control, ControlMailbox &mailbox,
                       DispatchEffectHandler carryOut)
    : control(control)
    , mailbox(mailbox)
    , carryOut(std::move(carryOut))
{}

void GatewayLog::start()
{
    PlatformLog::LogClientSettings settings;
    settings.url = this->control.settings.logUrl;
    settings.metrics = &this->control.metrics;
    this->client = std::make_unique<PlatformLog::LogClient>(settings);
}

void GatewayLog::follow()
{
    for (const LogStream stream : {LogStream::Control, LogStream::Journal, LogStream::Config}) {
        this->client->follow(streamOf(stream), 0, [this, stream](PlatformLog::ReadResult read) {
            this->mailbox.post(LogDelivered{stream, std::move(read)});
        });
    }
}

void GatewayLog::stop()
{
    this->client->stop();
}

void GatewayLog::on(LogDelivered &delivered)
{
    if (!delivered.read.available) {
        Common::logEvent(LogLevel::Warning, "log_unavailable",
                         {{"stream", PlatformLog::streamName(streamOf(delivered.stream))}});
        return;
    }
    Dispatch::LogRead read;
    read.entries = std::move(delivered.read.entries);
    read.nextOffset = delivered.read.nextOffset;
    read.atEnd = delivered.read.atEnd;
    read.oldestOffset = delivered.read.oldestOffset;
    this->carryOut(Dispatch::handleLogRead(this->control.state, delivered.stream, read,
                                           this->control.now));
}

void GatewayLog::on(const LogAppended &appended)
{
    this->carryOut(Dispatch::handleAppendResult(
            this->control.state, appended.stream, appended.batch,
            statusOfAppend(appended.result.status), this->control.now));
}

void GatewayLog::append(const Dispatch::AppendToLog &effect)
{
    const LogStream stream = effect.stream;
    const std::uint64_t batch = effect.batch;
    this->client->append(streamOf(stream), effect.records,
                         [this, stream, batch](PlatformLog::AppendResult result) {
                             this->mailbox.post(LogAppended{stream, batch, result});
                         });
}

} // namespace Gateway
