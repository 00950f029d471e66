#include "Soak/Records.h"

#include <algorithm>
#include <sstream>

namespace Soak {

namespace {

using Transient::RunEnd;

constexpr Common::NameTable<EventKind, 5> EventNames{{{EventKind::Start, "start"},
                                                      {EventKind::LateStart, "late-start"},
                                                      {EventKind::End, "end"},
                                                      {EventKind::Leaving, "leaving"},
                                                      {EventKind::Ended, "gone"}}};

constexpr Common::NameTable<RunEnd, 5> EndNames{{{RunEnd::Succeeded, "succeeded"},
                                                 {RunEnd::Failed, "failed"},
                                                 {RunEnd::Stopped, "stopped"},
                                                 {RunEnd::LeaseLapsed, "lapsed"},
                                                 {RunEnd::Other, "other"}}};

std::optional<BackendEvent> decodeEvent(const std::string &line)
{
    std::istringstream text(line);
    std::string kind;
    std::string end;
    BackendEvent event;
    text >> kind >> event.atMs >> event.task >> event.number >> end;
    const auto known = Common::valueOf(EventNames, kind);
    if (!known) {
        return std::nullopt;
    }
    event.kind = *known;
    event.end = Common::valueOf(EndNames, end);
    return event;
}

void applyEvent(BackendIncarnation &incarnation, const BackendEvent &event)
{
    switch (event.kind) {
    case EventKind::Start:
    case EventKind::LateStart: {
        Run run;
        run.task = event.task;
        run.number = event.number;
        run.startMs = event.atMs;
        run.isLate = event.kind == EventKind::LateStart;
        incarnation.runs.push_back(run);
        return;
    }
    case EventKind::End: {
        const auto open = std::find_if(
                incarnation.runs.rbegin(), incarnation.runs.rend(), [&](const Run &run) {
                    return run.task == event.task && run.number == event.number;
                });
        if (open != incarnation.runs.rend()) {
            open->endMs = event.atMs;
            open->end = event.end;
        }
        return;
    }
    case EventKind::Leaving:
        incarnation.leavingMs = event.atMs;
        return;
    case EventKind::Ended:
        incarnation.processEndMs = std::min(incarnation.processEndMs, event.atMs);
        return;
    }
}

} // namespace

std::string processName(const char *role, int number)
{
    return std::string(role) + '-' + std::to_string(number);
}

std::string failureDomainOf(int number)
{
    return "domain-" + std::to_string(number % FailureDomains);
}

std::int64_t nowMs()
{
    return Common::currentMoment().steadyMs;
}

std::string encodeEvent(const BackendEvent &event)
{
    std::ostringstream line;
    line << Common::nameOf(EventNames, event.kind) << ' ' << event.atMs << ' '
         << (event.task.empty() ? "-" : event.task) << ' ' << event.number << ' '
         << (event.end ? Common::nameOf(EndNames, *event.end) : "-") << '\n';
    return line.str();
}

BackendIncarnation readIncarnation(std::istream &file, const std::string &server,
                                   std::int64_t processEndMs)
{
    BackendIncarnation incarnation;
    incarnation.server = server;
    incarnation.processEndMs = processEndMs;
    std::string line;
    while (std::getline(file, line)) {
        // The last line may be incomplete.
        if (file.eof()) {
            break;
        }
        const auto event = decodeEvent(line);
        if (event) {
            applyEvent(incarnation, *event);
        }
    }
    incarnation.runs.erase(std::remove_if(incarnation.runs.begin(), incarnation.runs.end(),
                                          [&incarnation](const Run &run) {
                                              return run.startMs >= incarnation.processEndMs;
                                          }),
                           incarnation.runs.end());
    for (Run &run : incarnation.runs) {
        run.endMs = std::min(run.endMs, incarnation.processEndMs);
    }
    return incarnation;
}

} // namespace Soak
