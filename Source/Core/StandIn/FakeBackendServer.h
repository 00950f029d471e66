#pragma once

#include <memory>
#include <nlohmann/json.hpp>

#include "StandIn/FakeBackendState.h"
#include "StandIn/FakeServer.h"

namespace StandIn {

struct FakeBackendService;

/// HTTP interface of the stand-in backend server, served on its own threads:
///   POST /run              a Schema::RunTask -> 200 with {"result":"..."} after the run time;
///                          500 task_failed: it ran and failed; 412 not_after_passed, 503 no_slot,
///                          no_resources or backend_refused, 400 malformed: nothing was started
///   GET  /health           200, or 503 while the fault "unhealthy" is on
///   POST /control, GET /control   faults and capacity, see FakeBackendControl
///   GET  /control/stats    counters, and every task that started more than once
///   GET  /control/starts   every task that started
/// The body of each answer other than 200 is {"reason":"..."}, with a "detail" where there is one.
class FakeBackendServer : public FakeServer<FakeBackendService, FakeBackendControl>
{
public:
    nlohmann::json starts() const;

private:
    friend class FakeBackendServerBuilder;
    explicit FakeBackendServer(std::unique_ptr<FakeBackendService> service);
};

class FakeBackendServerBuilder
    : public FakeServerBuilder<FakeBackendServerBuilder, FakeBackendControl>
{
public:
    /// Starts listening and serving. Throws std::runtime_error if the address can't be bound.
    std::unique_ptr<FakeBackendServer> build();
};

} // namespace StandIn
