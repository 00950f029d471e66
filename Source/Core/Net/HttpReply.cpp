#include "Net/HttpReply.h"

#include <utility>

namespace Net {

HttpReply::Implementation::Implementation(std::shared_ptr<HttpConnection> connection,
                                          std::shared_ptr<HttpServerState> server,
                                          std::unique_ptr<ListenerBudget::Charge> charge)
    : connection(std::move(connection))
    , server(std::move(server))
    , charge(std::move(charge))
{}

HttpReply::Implementation::~Implementation()
{
    constexpr int InternalServerError = 500;
    HttpResponse response;
    response.status = InternalServerError;
    this->send(std::move(response));
}

bool HttpReply::Implementation::send(HttpResponse response)
{
    if (this->isAnswered.exchange(true)) {
        return false;
    }
    this->charge.reset();
    const std::shared_lock<std::shared_mutex> lock(this->server->mutex);
    return this->server->isOpen && this->connection->answer(std::move(response));
}

bool HttpReply::Implementation::hasCallerLeft()
{
    const std::shared_lock<std::shared_mutex> lock(this->server->mutex);
    return !this->server->isOpen || this->connection->hasCallerLeft();
}

HttpReply::HttpReply(std::shared_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{}

bool HttpReply::send(HttpResponse response) const
{
    return this->implementation->send(std::move(response));
}

bool HttpReply::hasCallerLeft() const
{
    return this->implementation->hasCallerLeft();
}

} // namespace Net
