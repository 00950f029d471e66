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

/// Serves GET /metrics and GET /health. \a metrics must outlive the server.
std::unique_ptr<HttpServer> serveMetrics(const std::string &host, std::uint16_t port,
                                         Common::Metrics &metrics);

} // namespace Net
