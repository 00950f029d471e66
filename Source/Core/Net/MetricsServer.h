#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "Common/Metrics.h"
#include "Net/HttpServer.h"

namespace Net {

/// Counts the answers that a server gives up since their callers do not read them. \a metrics must
/// outlive the server.
DropListener countDrops(Common::Metrics &metrics);

/// Counts the connections to \a listener that are given up. \a metrics must outlive the server.
ReleaseListener countReleases(Common::Metrics &metrics, Listener listener);

/// A server within \a budget that counts what it refuses and gives up. \a metrics must outlive the
/// server.
HttpServerBuilder serverWithin(const ResourceBudget &budget, Listener listener,
                               Common::Metrics &metrics);

/// Sets the gauges of what the listeners of \a budget hold.
void exportUsage(Common::Metrics &metrics, const ResourceBudget &budget);

/// Longest body of a request that needs none.
constexpr std::size_t SmallBodyBytes = 4096;

/// Serves GET /metrics and GET /health. \a metrics and \a budget must outlive the server.
std::unique_ptr<HttpServer> serveMetrics(const std::string &host, std::uint16_t port,
                                         Common::Metrics &metrics, const ResourceBudget &budget);

} // namespace Net
