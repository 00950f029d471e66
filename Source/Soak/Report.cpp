#include "Soak/Report.h"

#include <fstream>
#include <sstream>

namespace Soak {

namespace {

using Net::HttpTransport;

constexpr int Ok = 200;

constexpr Common::NameTable<HttpTransport, 4> TransportNames{
        {{HttpTransport::Answered, "answered"},
         {HttpTransport::NotConnected, "not-connected"},
         {HttpTransport::Lost, "lost"},
         {HttpTransport::TimedOut, "timed-out"}}};

} // namespace

Summary summarize(const Records &records)
{
    Summary summary;
    summary.faults = records.faults.size();
    summary.requests = records.submissions.size();
    for (const Submission &submission : records.submissions) {
        const bool isAnswered = submission.transport == HttpTransport::Answered;
        summary.answered += isAnswered ? 1 : 0;
        summary.succeeded += isAnswered && submission.status == Ok ? 1 : 0;
        summary.broken += isAnswered || submission.isAbandoned ? 0 : 1;
    }
    for (const BackendIncarnation &incarnation : records.backends) {
        summary.runs += incarnation.runs.size();
        for (const Run &run : incarnation.runs) {
            summary.lateRuns += run.isLate ? 1 : 0;
        }
    }
    return summary;
}

std::string describe(const Summary &summary)
{
    std::ostringstream line;
    line << "seed " << summary.seed << ": " << summary.gateways << " gateways, " << summary.agents
         << " agents, " << summary.faults << " faults, " << summary.requests << " requests ("
         << summary.answered << " answered, " << summary.succeeded << " with 200, "
         << summary.broken << " broken), " << summary.runs << " runs (" << summary.lateRuns
         << " by late orders), served again after " << summary.servedAgainMs << " ms";
    return line.str();
}

std::string describe(const Finding &finding, std::int64_t startedMs)
{
    std::ostringstream line;
    line << nameOf(finding.invariant) << " at " << finding.atMs << " (" << finding.atMs - startedMs
         << " ms after the first fault was due): " << finding.detail;
    return line.str();
}

void writeReport(const std::string &directory, const std::vector<Fault> &schedule,
                 const Records &records, const std::vector<Finding> &findings,
                 std::int64_t startedMs)
{
    std::ofstream planned(directory + "/schedule.txt");
    for (const Fault &fault : schedule) {
        planned << describe(fault) << '\n';
    }
    std::ofstream faults(directory + "/faults.txt");
    for (const FaultWindow &fault : records.faults) {
        faults << fault.fromMs << ' ' << fault.toMs << ' ' << fault.fromMs - startedMs << ' '
               << traitsOf(fault.kind).name << ' ' << fault.target << '\n';
    }
    std::ofstream requests(directory + "/requests.txt");
    for (const Submission &submission : records.submissions) {
        requests << submission.sentMs << ' ' << submission.endedMs << ' ' << submission.job << ' '
                 << submission.gateway << ' '
                 << Common::nameOf(TransportNames, submission.transport) << ' ' << submission.status
                 << ' ' << submission.state << (submission.isAbandoned ? " left" : "") << '\n';
    }
    std::ofstream broken(directory + "/findings.txt");
    for (const Finding &finding : findings) {
        broken << describe(finding, startedMs) << '\n';
    }
}

} // namespace Soak
