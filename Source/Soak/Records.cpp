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
                                                      {EventKind::Gone, "gone"}}};

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

void takeEvent(BackendLife &life, const BackendEvent &event)
{
    switch (event.kind) {
    case EventKind::Start:
    case EventKind::LateStart: {
        Run run;
        run.task = event.task;
        run.number = event.number;
        run.startMs = event.atMs;
        run.isLate = event.kind == EventKind::LateStart;
        life.runs.push_back(run);
        return;
    }
    case EventKind::End: {
        const auto open = std::find_if(life.runs.rbegin(), life.runs.rend(), [&](const Run &run) {
            return run.task == event.task && run.number == event.number;
        });
        if (open != life.runs.rend()) {
            open->endMs = event.atMs;
            open->end = event.end;
        }
        return;
    }
    case EventKind::Leaving:
        life.leavingMs = event.atMs;
        return;
    case EventKind::Gone:
        life.goneMs = std::min(life.goneMs, event.atMs);
        return;
    }
}

} // namespace

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

BackendLife readLife(std::istream &file, const std::string &server, std::int64_t goneMs)
{
    BackendLife life;
    life.server = server;
    life.goneMs = goneMs;
    std::string line;
    while (std::getline(file, line)) {
        // The last line may be half written.
        if (file.eof()) {
            break;
        }
        const auto event = decodeEvent(line);
        if (event) {
            takeEvent(life, *event);
        }
    }
    life.runs.erase(std::remove_if(life.runs.begin(), life.runs.end(),
                                   [&life](const Run &run) { return run.startMs >= life.goneMs; }),
                    life.runs.end());
    for (Run &run : life.runs) {
        run.endMs = std::min(run.endMs, life.goneMs);
    }
    return life;
}

} // namespace Soak
