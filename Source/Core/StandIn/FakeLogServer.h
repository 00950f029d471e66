#pragma once

#include <cstdint>
#include <memory>

#include "StandIn/FakeLogState.h"
#include "StandIn/FakeServer.h"

namespace StandIn {

struct FakeLogService;

/// HTTP interface of the stand-in log service, served on its own threads:
///   POST /streams/{name}/append            array of records -> {"offset":first,"next":n}
///   GET  /streams/{name}/read?from=&max=&waitMs=  long poll -> {"entries","next","oldest","end"}
///   POST /control, GET /control            faults, see FakeLogControl
///   GET  /control/stats                    appends, records and bytes of each stream
class FakeLogServer : public FakeServer<FakeLogService, FakeLogControl>
{
private:
    friend class FakeLogServerBuilder;
    explicit FakeLogServer(std::unique_ptr<FakeLogService> service);
};

class FakeLogServerBuilder : public FakeServerBuilder<FakeLogServerBuilder, FakeLogControl>
{
public:
    FakeLogServerBuilder &seed(std::uint64_t value);
    /// Starts listening and serving. Throws std::runtime_error if the address can't be bound.
    std::unique_ptr<FakeLogServer> build();

private:
    std::uint64_t randomSeed = 1;
};

} // namespace StandIn
