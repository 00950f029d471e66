#pragma once

#include <atomic>
#include <memory>

#include "Net/HttpConnection.h"
#include "Net/HttpServer.h"

namespace Net {

/// One request that a handler has to answer.
struct HttpReply::Implementation
{
    Implementation(std::shared_ptr<HttpConnection> connection,
                   std::shared_ptr<HttpServerState> server,
                   std::unique_ptr<ListenerBudget::Charge> charge);
    ~Implementation();
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    bool send(HttpResponse response);
    bool hasCallerLeft();

    const std::shared_ptr<HttpConnection> connection;
    const std::shared_ptr<HttpServerState> server;
    /// What the request holds until it is answered.
    std::unique_ptr<ListenerBudget::Charge> charge;
    std::atomic<bool> isAnswered = false;
};

} // namespace Net
