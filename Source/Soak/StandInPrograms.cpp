#include "Soak/StandInPrograms.h"

#include <atomic>
#include <csignal>
#include <fstream>
#include <mutex>
#include <thread>
#include <unistd.h>

#include "Soak/Records.h"
#include "UnitTests/Platform/FakePlatform.h"

namespace Soak {

namespace {

constexpr int BadRequest = 400;

std::unique_ptr<Net::HttpServer>
serveCommands(std::uint16_t port, std::function<bool(const Net::HttpRequest &)> execute)
{
    return Net::HttpServerBuilder()
            .listenOn("127.0.0.1", port)
            .handler([execute = std::move(execute)](const Net::HttpRequest &request,
                                                    const Net::HttpReply &reply) {
                Net::HttpResponse response;
                response.status = execute(request) ? response.status : BadRequest;
                reply.send(response);
            })
            .build();
}

template <typename Fault, typename Names, typename Server>
bool setFault(const Net::HttpRequest &request, const Names &names, Server &server)
{
    const auto name = request.query.find("name");
    const auto on = request.query.find("on");
    if (name == request.query.end() || on == request.query.end()) {
        return false;
    }
    const std::optional<Fault> fault = Common::valueOf(names, name->second);
    if (fault) {
        server.setFault(*fault, on->second == "1");
    }
    return fault.has_value();
}

bool commandStore(FakePlatform::Store &store, const Net::HttpRequest &request)
{
    if (request.path == "/queues") {
        store.setQueues(request.body);
        return true;
    }
    if (request.path == "/evacuate") {
        store.setEvacuated(request.query.at("domain"), request.query.at("on") == "1");
        return true;
    }
    if (request.path == "/forget") {
        store.dropHistory();
        return true;
    }
    return request.path == "/fault"
           && setFault<FakePlatform::StoreFault>(request, FakePlatform::StoreFaultNames, store);
}

/// Each line is flushed immediately, since the process may be killed at any time.
class EventFile
{
public:
    explicit EventFile(const std::string &path)
        : file(path, std::ios::app)
    {}

    void write(const BackendEvent &event)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->file << encodeEvent(event) << std::flush;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

BackendEvent eventOf(const FakePlatform::RunEvent &ran)
{
    BackendEvent event;
    event.atMs = ran.steadyMs;
    event.task = ran.task;
    event.number = ran.number;
    event.end = ran.end;
    if (ran.end) {
        event.kind = EventKind::End;
    } else {
        event.kind = ran.isLate ? EventKind::LateStart : EventKind::Start;
    }
    return event;
}

/// Announces the server to its agent until it stops or has left.
void announce(FakePlatform::BackendServer &server, const BackendProgram &program, EventFile &events,
              const std::atomic<bool> &isLeaving, const std::atomic<bool> &isStopping)
{
    constexpr std::chrono::milliseconds Pause{250};
    constexpr std::chrono::milliseconds DrainTime{5000};
    constexpr std::int64_t LeaveTimeoutMs = 4000;
    std::int64_t leavingSinceMs = 0;
    while (!isStopping) {
        const bool isLeavingNow = isLeaving;
        if (isLeavingNow && leavingSinceMs == 0) {
            leavingSinceMs = nowMs();
        }
        const bool isAccepted =
                server.announce(program.registration, program.service, isLeavingNow);
        if (isLeavingNow && isAccepted) {
            events.write({EventKind::Leaving, nowMs(), {}, 0, std::nullopt});
            std::this_thread::sleep_for(DrainTime);
        }
        if (isLeavingNow && (isAccepted || nowMs() > leavingSinceMs + LeaveTimeoutMs)) {
            server.announceEnd(program.registration);
            kill(getpid(), SIGTERM);
            return;
        }
        std::this_thread::sleep_for(Pause);
    }
}

} // namespace

void serveStore(const StoreProgram &program)
{
    StandIn::blockStopSignals();
    Common::startLogging("soak-store", program.daemon.logLevel);
    FakePlatform::Store store(program.daemon.port);
    if (program.hidesGateways) {
        store.dropGatewayRecords();
    }
    const auto commands =
            serveCommands(program.controlPort, [&store](const Net::HttpRequest &request) {
                return commandStore(store, request);
            });
    StandIn::writePortFile(program.daemon.portFile, store.port());
    StandIn::waitForStop();
    commands->stop();
    Common::stopLogging();
}

void serveBackend(const BackendProgram &program)
{
    StandIn::blockStopSignals();
    Common::startLogging(program.id, program.daemon.logLevel);
    EventFile events(program.eventFile);
    FakePlatform::BackendOptions options;
    options.id = program.id;
    options.port = program.daemon.port;
    options.announcedAddress = program.announcedAddress;
    options.clockStepMs = program.clockStepMs;
    options.ran = [&events](const FakePlatform::RunEvent &ran) { events.write(eventOf(ran)); };
    auto server = std::make_unique<FakePlatform::BackendServer>(options);
    std::atomic<bool> isLeaving{false};
    std::atomic<bool> isStopping{false};
    const auto commands = serveCommands(program.controlPort, [&](const Net::HttpRequest &request) {
        isLeaving = isLeaving || request.path == "/leave";
        return request.path == "/leave"
               || setFault<FakePlatform::BackendFault>(request, FakePlatform::BackendFaultNames,
                                                       *server);
    });
    std::thread announcer([&] { announce(*server, program, events, isLeaving, isStopping); });
    StandIn::writePortFile(program.daemon.portFile, server->port());
    StandIn::waitForStop();
    isStopping = true;
    announcer.join();
    commands->stop();
    const std::int64_t processEndMs = nowMs();
    server.reset();
    events.write({EventKind::Ended, processEndMs, {}, 0, std::nullopt});
    Common::stopLogging();
}

} // namespace Soak
