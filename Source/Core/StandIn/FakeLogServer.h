#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "StandIn/FakeLogState.h"

namespace StandIn {

/// HTTP interface of the stand-in log service, served on its own threads:
///   POST /streams/{name}/append            array of records -> {"offset":first,"next":n}
///   GET  /streams/{name}/read?from=&max=&waitMs=  long poll -> {"entries","next","oldest","end"}
///   POST /control, GET /control            faults, see FakeLogControl
///   GET  /control/stats                    appends, records and bytes of each stream
class FakeLogServer
{
public:
    ~FakeLogServer();
    FakeLogServer(const FakeLogServer &) = delete;
    FakeLogServer &operator=(const FakeLogServer &) = delete;

    std::uint16_t port() const;
    std::string url() const;
    FakeLogControl control() const;
    void setControl(const FakeLogControl &control);
    nlohmann::json stats() const;

private:
    friend class FakeLogServerBuilder;
    struct Implementation;
    explicit FakeLogServer(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation;
};

class FakeLogServerBuilder
{
public:
    FakeLogServerBuilder &listenOn(std::string host, std::uint16_t port);
    FakeLogServerBuilder &threads(int count);
    FakeLogServerBuilder &seed(std::uint64_t value);
    FakeLogServerBuilder &control(const FakeLogControl &control);
    /// Starts listening and serving. Throws std::runtime_error if the address can't be bound.
    std::unique_ptr<FakeLogServer> build();

private:
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    int threadCount = 1;
    std::uint64_t randomSeed = 1;
    FakeLogControl initialControl;
};

} // namespace StandIn
