#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "Gateway/CallerRoute.h"
#include "Gateway/TransientControl.h"

namespace Gateway {

/// HTTP servers of the daemon for transient jobs. Decodes the requests of callers, finds the route
/// of each and answers each once. Also serves the readiness probe and the metrics.
class TransientCallers
{
public:
    /// \a control and \a mailbox must outlive this object.
    TransientCallers(TransientControl &control, TransientMailbox &mailbox,
                     TransientEffectHandler carryOut);

    /// Starts the servers. Throws std::runtime_error if it cannot listen on an address.
    void start();
    void stop();
    std::uint16_t callerPort() const;
    std::uint16_t metricsPort() const;

    void on(CallerRequest &event);
    void on(const CallerDisconnected &event);
    void answer(const Transient::AnswerCaller &effect);

    /// Updates the idle time. The readiness probe reports \a isReady from now on.
    void runPeriodicWork(bool isReady);
    /// From now on the HTTP thread refuses each request when it arrives, because the control thread
    /// reads no more messages. Requests that were not read yet stay in the mailbox.
    void refuseNewRequests();
    /// Refuses a request that arrived before refuseNewRequests() and was not processed.
    void refuseUnprocessed(const CallerRequest &event);
    std::size_t openRequests() const;
    /// True if no request has been open for a short time, and no caller has a connection open on
    /// which it could send another.
    bool isIdle() const;

private:
    /// Why a request is answered without being handled.
    struct Refusal
    {
        int status = 0;
        Schema::Reason reason = Schema::Reason::None;
        std::string detail;
        /// Id of the job; empty if the path names none.
        std::string job;
    };

    struct OpenRequest
    {
        std::uint64_t connection = 0;
        Net::HttpReply reply;
    };

    void startCallerServer();
    void startProbeServer();
    void handleRequest(Net::HttpRequest request, Net::HttpReply reply);
    void handleRouted(CallerRequest &callerRequest, const CallerRoute &route);
    void submit(CallerRequest &callerRequest, const Schema::JobQueue &queue,
                const Platform::JobId &id);
    std::string openRequest(const CallerRequest &callerRequest);
    bool refuseWaited(const CallerRequest &callerRequest, const Platform::JobId &id);
    void handleStateOrCancel(const CallerRequest &callerRequest, const Schema::JobQueue &queue,
                             const Platform::JobId &id);
    void refuse(const CallerRequest &callerRequest, const Refusal &refused);
    /// Returns false if the answer cannot be delivered because the caller has disconnected.
    bool reply(const Net::HttpReply &reply, Net::HttpResponse response);

    TransientControl &control;
    TransientMailbox &mailbox;
    TransientEffectHandler carryOut;
    std::atomic<bool> ready{false};
    std::mutex intakeMutex;
    bool isRefusing = false;
    /// Bodies are then decoded after the control thread has decided whether to refuse unread.
    std::atomic<bool> isQueueStanding{false};
    std::map<std::string, OpenRequest> requests;
    std::uint64_t lastToken = 0;
    /// Time on the steady clock since which no request is open; 0 while one is open.
    std::int64_t idleSinceMs = 0;

    std::unique_ptr<Net::HttpServer> callerServer;
    std::unique_ptr<Net::HttpServer> probeServer;
    std::unique_ptr<Net::HttpServer> metricsServer;
};

} // namespace Gateway
