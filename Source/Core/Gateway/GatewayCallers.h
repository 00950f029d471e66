#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "Gateway/GatewayControl.h"
#include "Net/Net.h"

namespace Gateway {

/// The callers' side of the gateway daemon: calls over HTTP, and the replies that are owed.
class GatewayCallers
{
public:
    /// The first two must outlive this.
    GatewayCallers(GatewayControl &control, ControlMailbox &mailbox,
                   DispatchEffectHandler carryOut);

    /// Throws std::runtime_error where the address cannot be had.
    void start();
    void stop();
    std::uint16_t port() const;

    void on(ApiCalled &called);
    void answer(const Dispatch::AnswerRequest &answer);
    void answer(const Dispatch::AnswerConfigure &answer);
    void answer(const Dispatch::AnswerQuery &answer);
    /// Whether any caller is owed a reply.
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
