#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "Gateway/TransientControl.h"

namespace Gateway {

/// The callers' side of the daemon for transient jobs: calls are decoded, sent to their queue, and
/// answered once each. Serves readiness and metrics, too.
class TransientCallers
{
public:
    /// The first two must outlive this.
    TransientCallers(TransientControl &control, TransientMailbox &mailbox,
                     TransientEffectHandler carryOut);

    /// Throws std::runtime_error where an address cannot be had.
    void start();
    void stop();
    std::uint16_t callerPort() const;
    std::uint16_t metricsPort() const;

    void on(CallerRequest &event);
    void on(const CallerDisconnected &event);
    void answer(const Transient::AnswerCaller &effect);

    /// \a isReady is what the probe says from now on.
    void runPeriodicWork(bool isReady);
    /// What is asked from now on is refused as it comes, on the HTTP thread: the control thread
    /// reads no more messages. What it has not read yet is left in the mailbox.
    void refuseNewRequests();
    /// Asked before refuseNewRequests() and not looked at.
    void refuseUnprocessed(const CallerRequest &event);
    std::size_t openRequests() const;
    /// No caller is owed an answer or can still ask.
    bool isIdle() const;

private:
    struct OpenRequest
    {
        std::uint64_t connection = 0;
        Net::HttpReply reply;
    };

    void startCallerServer();
    void startProbeServer();
    void handleRequest(const Net::HttpRequest &request, Net::HttpReply reply);
    void submit(CallerRequest &callerRequest, const Schema::JobQueue &queue);
    void handleStateOrCancel(const CallerRequest &callerRequest, const Schema::JobQueue &queue);
    void refuse(const CallerRequest &callerRequest, int status, Schema::Reason reason,
                const std::string &detail);
    /// False where the caller has gone.
    bool reply(const Net::HttpReply &reply, Net::HttpResponse response);

    TransientControl &control;
    TransientMailbox &mailbox;
    TransientEffectHandler carryOut;
    std::atomic<bool> ready{false};
    std::mutex intakeMutex;
    bool isRefusing = false;
    std::map<std::string, OpenRequest> requests;
    std::uint64_t lastToken = 0;
    /// 0 while an answer is owed.
    std::int64_t idleSinceMs = 0;

    std::unique_ptr<Net::HttpServer> callerServer;
    std::unique_ptr<Net::HttpServer> probeServer;
    std::unique_ptr<Net::HttpServer> metricsServer;
};

} // namespace Gateway
