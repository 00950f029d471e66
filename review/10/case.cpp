#include "../standins-2/Kit.h"

/// The operator adds a queue whose path prefix does not end with a slash.
namespace {

constexpr std::int64_t ApplyMs = 2000;

int run(Kit::Site &site)
{
    if (!site.start()) {
        return Kit::NotRun;
    }
    if (Kit::hasTrouble()) {
        site.prefix = "/lohu930/order-";
    } else {
        site.prefix = "/lohu930/order/";
    }
    site.store.write("config", Kit::configuration(9, site));
    site.record.line("operator: version 9, pathPrefix " + site.prefix);
    Kit::sleepMs(ApplyMs);
    const std::string id = Kit::randomId();
    const std::string path = site.prefix + id;
    const Kit::Answer answer =
            Kit::call(site.gateways[0]->frontend, "POST", path, site.host,
                      {"X-Auburntrail-Deadline-Ms: 3000"}, Kit::wideJob(2, 200, 6200), 4000);
    site.record.line("client: POST " + path + " -> " + std::to_string(answer.status) + ' '
                     + answer.body);
    int foreign = 0;
    int own = 0;
    for (const Kit::Run &run : site.runs.all()) {
        own += run.task.rfind(id + '.', 0) == 0 ? 1 : 0;
        if (run.task.rfind(id + '.', 0) != 0 && run.task.find(id) != std::string::npos) {
            ++foreign;
            site.record.line("told to start " + run.task + ", which is of no job that was sent");
        }
    }
    site.record.line(std::to_string(own) + " starts of the job's tasks, " + std::to_string(foreign)
                     + " of a job that nobody sent");
    return foreign > 0 ? Kit::Broken : own > 0 ? Kit::Passed : Kit::NotRun;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        return Kit::NotRun;
    }
    Kit::Site site(2, 2, argv[1]);
    const int result = run(site);
    site.record.line(result == Kit::Broken   ? "broken"
                     : result == Kit::Passed ? "held"
                                             : "could not run");
    site.stop();
    return result;
}
