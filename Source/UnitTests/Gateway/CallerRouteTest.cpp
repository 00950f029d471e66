#include <doctest/doctest.h>
#include <ostream>
#include <string>

#include "Gateway/CallerRoute.h"
#include "UnitTests/Transient/TestQueues.h"

namespace {

using TestQueues::queueAt;

constexpr const char *Host = "desk.example";
constexpr const char *OtherHost = "yard.example";

Schema::QueueTable queues()
{
    Schema::QueueTable table;
    table.version = 1;
    table.queues = {queueAt(Host, "/x/"),
                    queueAt(Host, "/x/ab"),
                    queueAt(Host, "/order-"),
                    queueAt(Host, "/y/"),
                    queueAt(Host, "/y/5c0e7a21d94b36f8"),
                    queueAt(OtherHost, "/x/")};
    return table;
}

/// Path of the found queue and id, or the reason of the failure.
std::string describe(const Schema::QueueTable &table, const std::string &host,
                     const std::string &path)
{
    return Common::handle(
            [&]() -> Common::Outcome<std::string> {
                BOOST_LEAF_AUTO(route, Gateway::findRoute(table, host, path));
                return route.queue->name + ' ' + (route.job ? route.job->text() : "none");
            },
            [](const Common::Failure &failure) { return Schema::enumName(failure.reason); });
}

} // namespace

TEST_CASE("The id of a job is what stands behind the prefix of its queue")
{
    // Guards against an id that is no id, or that of another queue's prefix: tasks are named after
    // it, and a job is looked up by it.
    struct Row
    {
        const char *what;
        const char *host;
        const char *path;
        const char *found;
    };
    const Row rows[] = {
            {"a prefix with a slash", Host, "/x/5c0e7a21d94b36f8",
             "desk.example/x/ 5c0e7a21d94b36f8"},
            {"a prefix without one", Host, "/order-5c0e7a21d94b36f8",
             "desk.example/order- 5c0e7a21d94b36f8"},
            {"the longer one of two prefixes", Host, "/x/ab5c0e7a21d94b36f8",
             "desk.example/x/ab 5c0e7a21d94b36f8"},
            {"an id of the shorter prefix only", Host, "/x/ab0e7a21d94b36f8", "malformed"},
            {"the queue itself", Host, "/order-", "desk.example/order- none"},
            {"the queue of the longer prefix itself", Host, "/x/ab", "desk.example/x/ab none"},
            {"a prefix that looks like an id", Host, "/y/5c0e7a21d94b36f8",
             "desk.example/y/5c0e7a21d94b36f8 none"},
            {"the same path at another host", OtherHost, "/x/5c0e7a21d94b36f8",
             "yard.example/x/ 5c0e7a21d94b36f8"},
            {"a path of another host", OtherHost, "/order-5c0e7a21d94b36f8", "unknown_queue"},
            {"no prefix", Host, "/order5c0e7a21d94b36f8", "unknown_queue"},
            {"nothing at all", Host, "", "unknown_queue"},
            {"15 digits", Host, "/x/5c0e7a21d94b36f", "malformed"},
            {"17 digits", Host, "/x/5c0e7a21d94b36f80", "malformed"},
            {"another letter", Host, "/x/5c0e7a21d94b36fg", "malformed"},
            {"a name of a task", Host, "/x/5c0e7a21d94b36f8.0.0", "malformed"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        CHECK(describe(queues(), row.host, row.path) == row.found);
    }
    CHECK(describe({}, Host, "/x/5c0e7a21d94b36f8") == "no_configuration");
}
