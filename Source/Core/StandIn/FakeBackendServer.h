#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "StandIn/FakeBackendState.h"

namespace StandIn {

/// HTTP interface of the stand-in backend server, served on its own threads:
///   POST /run              a Schema::RunTask -> 200 with {"result":"..."} after the run time;
///                          500 task_failed: it ran and failed; 412 not_after_passed, 503 no_slot,
///                          no_resources or backend_refused, 400 malformed: nothing was started
///   GET  /health           200, or 503 while the fault "unhealthy" is on
///   POST /control, GET /control   faults and capacity, see FakeBackendControl
///   GET  /control/stats    counters, and every task that started more than once
///   GET  /control/starts   every task that started
/// The body of each answer other than 200 is {"reason":"..."}, with a "detail" where there is one.
class FakeBackendServer
{
public:
    ~FakeBackendServer();
    FakeBackendServer(const FakeBackendServer &) = delete;
    FakeBackendServer &operator=(const FakeBackendServer &) = delete;

    std::uint16_t port() const;
    std::string url() const;
    FakeBackendControl control() const;
    void setControl(const FakeBackendControl &control);
    nlohmann::json stats() const;
    nlohmann::json starts() const;

private:
    friend class FakeBackendServerBuilder;
    struct Implementation;
    explicit FakeBackendServer(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation;
};

class FakeBackendServerBuilder
{
public:
    FakeBackendServerBuilder &listenOn(std::string host, std::uint16_t port);
    FakeBackendServerBuilder &threads(int count);
    FakeBackendServerBuilder &control(const FakeBackendControl &control);
    /// Starts listening and serving. Throws std::runtime_error if the address can't be bound.
    std::unique_ptr<FakeBackendServer> build();

private:
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    int threadCount = 1;
    FakeBackendControl initialControl;
};

} // namespace StandIn
