#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "Gateway/GatewayControl.h"
#include "Net/Net.h"

namespace Gateway {

/// HTTP server of the gateway daemon: requests of callers, and the replies that are still open.
class GatewayCallers
{
public:
    /// \a control and \a mailbox must outlive this object.
    GatewayCallers(GatewayControl &control, ControlMailbox &mailbox,
                   DispatchEffectHandler carryOut);

    /// Starts the server. Throws std::runtime_error if it cannot listen on the address.
    void start();
    void stop();
    std::uint16_t port() const;

    void on(ApiCalled &called);
    void answer(const Dispatch::AnswerRequest &answer);
    void answer(const Dispatch::AnswerConfigure &answer);
    void answer(const Dispatch::AnswerQuery &answer);
    /// True if a request has not been answered yet.
    bool hasOpenRequests() const;

private:
    void handleRequest(const Net::HttpRequest &request, const Net::HttpReply &reply);
    Common::Outcome<void> decodeRequest(const Net::HttpRequest &request,
                                        const Net::HttpReply &reply);
    void answerReady(const Net::HttpReply &reply);
    void handleJobRequest(ApiCalled &called);
    std::string storeReply(Net::HttpReply reply);
    void sendReply(const std::string &token, const Net::HttpResponse &response);

    GatewayControl &control;
    ControlMailbox &mailbox;
    DispatchEffectHandler carryOut;
    std::unordered_map<std::string, Net::HttpReply> replies;
    std::uint64_t lastToken = 0;
    std::unique_ptr<Net::HttpServer> server;
};

} // namespace Gateway
