#include <algorithm>
#include <doctest/doctest.h>
#include <ostream>
#include <thread>

#include "DaemonSite.h"

namespace {

using namespace DaemonTests;

constexpr const char *OtherJob = "0d5f2b7c8e914a63";
constexpr int TasksOfShortJob = 3;
constexpr int TasksOfLongJob = 2;

/// A site with the queue /checks/ and one at each of \a prefixes.
struct SiteWithQueues : Site
{
    explicit SiteWithQueues(const std::vector<std::string> &prefixes)
    {
        REQUIRE(this->serves());
        std::vector<FakePlatform::QueueRoute> routes{{"/checks/", 1}};
        for (const std::string &prefix : prefixes) {
            routes.push_back({prefix, 1});
        }
        this->store.setQueues(FakePlatform::queueRecord(8, Service, routes));
        REQUIRE(waitFor([&] { return this->call("GET", prefixes.back()).status == 200; }));
        this->takeStartedTasks();
    }
};

bool areTasksOf(const std::vector<std::string> &tasks, const std::string &id)
{
    return std::all_of(tasks.begin(), tasks.end(),
                       [&id](const std::string &task) { return task.rfind(id + '.', 0) == 0; });
}

} // namespace

TEST_CASE("The tasks of a job have the id that its caller sent")
{
    // Guards against an id that is taken from behind the last slash: where a prefix ends without a
    // slash, backend servers were told to start tasks of a job that nobody had sent.
    struct Row
    {
        std::string prefix;
        std::string id;
    };
    const Row rows[] = {
            {"/v1/order-", "1c0e7a21d94b36f8"},
            {"/order-", "2c0e7a21d94b36f8"},
            {"/x/ab", "3c0e7a21d94b36f8"},
            {"/y/deadbeef", "4c0e7a21d94b36f8"},
            {"/z/0123456789abcdef", "5c0e7a21d94b36f8"},
            {"/a/b/c/", "6c0e7a21d94b36f8"},
            {"/w.", "7C0E7A21D94B36F8"},
    };
    std::vector<std::string> prefixes;
    for (const Row &row : rows) {
        prefixes.push_back(row.prefix);
    }
    SiteWithQueues site(prefixes);
    for (const Row &row : rows) {
        CAPTURE(row.prefix);
        CHECK(site.call("POST", row.prefix + row.id, Site::shortJob()).status == 200);
        const std::vector<std::string> started = site.takeStartedTasks();
        CHECK(started.size() == TasksOfShortJob);
        CHECK(areTasksOf(started, row.id));
    }
}

TEST_CASE("A running job is found and cancelled at the path that it was submitted to")
{
    // Guards against a lookup by another id than that of the submission: GET would answer that a
    // running job does not exist, and DELETE would have no effect on it.
    struct Row
    {
        std::string prefix;
        std::string id;
    };
    const Row rows[] = {{"/checks/", "1c0e7a21d94b36f8"},
                        {"/order-", "2c0e7a21d94b36f8"},
                        {"/x/ab", "3c0e7a21d94b36f8"}};
    constexpr int Tasks = 2;
    SiteWithQueues site({"/order-", "/x/ab"});
    for (const Row &row : rows) {
        CAPTURE(row.prefix);
        // Ends before its time, when it is cancelled.
        const std::string job = FakePlatform::jobBody({10'000, Tasks});
        std::thread caller([&] { site.call("POST", row.prefix + row.id, job); });
        CHECK(waitFor([&site] { return site.backend.running() == Tasks; }));
        CHECK(areTasksOf(site.takeStartedTasks(), row.id));
        CHECK(site.call("GET", row.prefix).body == R"({"pending":0})");
        CHECK(site.call("GET", row.prefix + OtherJob).status == 410);
        CHECK(site.call("GET", row.prefix + row.id).body == R"({"state":"in_progress"})");
        CHECK(site.call("DELETE", row.prefix + row.id).status == 200);
        CHECK(waitFor([&site] { return site.backend.running() == 0; }));
        caller.join();
    }
}

TEST_CASE("A path without a job's id behind the prefix of its queue starts nothing")
{
    // Guards against a part of the path that is used as an id although it is none.
    struct Row
    {
        std::string what;
        std::string path;
        int status;
    };
    const std::string id = Job;
    const Row rows[] = {
            {"the last segment has 16 digits, the id 14", "/x/ab" + id.substr(2), 400},
            {"an id too short", "/order-" + id.substr(2), 400},
            {"an id too long", "/checks/" + id + '0', 400},
            {"no hexadecimal digits", "/checks/5c0e7a21d94b36fg", 400},
            {"no id", "/order-", 400},
            {"an escaped slash behind the prefix", "/checks/%2F" + id, 400},
            {"a doubled slash", "/checks//" + id, 400},
            {"a slash at the end", "/checks/" + id + '/', 400},
            {"a further segment before the id", "/order-/" + id, 400},
            {"a further segment behind the id", "/checks/" + id + "/0", 400},
            {"the prefix twice", "/checks/checks/" + id, 400},
            {"the prefix of another queue before the id", "/checks/order-" + id, 400},
            {"the prefix without its end", "/check" + id, 404},
    };
    SiteWithQueues site({"/order-", "/x/ab"});
    for (const Row &row : rows) {
        CAPTURE(row.what);
        CHECK(site.call("POST", row.path, Site::shortJob()).status == row.status);
        CHECK(site.takeStartedTasks().empty());
    }
}

TEST_CASE("A path may have a query, and escaped digits")
{
    // Guards against an id that is taken from the whole target of the request.
    struct Row
    {
        std::string path;
        std::string id;
    };
    const std::string other = OtherJob;
    const Row rows[] = {{std::string("/order-") + Job + "?x=/" + OtherJob, Job},
                        {"/order-%30" + other.substr(1), other}};
    SiteWithQueues site({"/order-"});
    for (const Row &row : rows) {
        CAPTURE(row.path);
        CHECK(site.call("POST", row.path, Site::shortJob()).status == 200);
        const std::vector<std::string> started = site.takeStartedTasks();
        CHECK(started.size() == TasksOfShortJob);
        CHECK(areTasksOf(started, row.id));
    }
}

TEST_CASE("A submission whose job is cancelled learns that the job is over")
{
    // Guards against an answer that asks for another attempt: after a 504 the caller submits the
    // job again at any gateway, where nothing tells of the cancelling, and the tasks start once
    // more.
    constexpr int Tasks = 2;
    SiteWithQueues site({"/order-"});
    const std::string path = std::string("/order-") + Job;
    Net::HttpResult answer;
    std::thread caller([&] {
        answer = site.call("POST", path, FakePlatform::jobBody({10'000, Tasks}));
    });
    CHECK(waitFor([&site] { return site.backend.running() == Tasks; }));
    CHECK(site.call("DELETE", path).status == 200);
    caller.join();
    CHECK(answer.status == 200);
    CHECK(answer.body == R"({"state":"cancelled"})");
    CHECK(waitFor([&site] { return site.backend.running() == 0; }));
}

TEST_CASE("An id that is in use at one queue is submitted to another")
{
    // Guards against a caller that is answered with the result of another caller's job: the second
    // submission joined the job of the first queue, and was told that it is complete although none
    // of its tasks had run. Tasks are named after the id, so that both cannot run at the same time.
    SiteWithQueues site({"/orders/"});
    const std::string id = Job;
    Net::HttpResult first;
    std::thread caller([&] { first = site.call("POST", "/checks/" + id, Site::longJob()); });
    CHECK(waitFor([&site] { return site.backend.running() == TasksOfLongJob; }));
    CHECK(site.call("GET", "/orders/" + id).status == 410);
    CHECK(site.call("DELETE", "/orders/" + id).status == 410);
    CHECK(site.call("POST", "/orders/" + id, Site::shortJob()).status == 503);
    caller.join();
    CHECK(first.status == 200);
    CHECK(site.takeStartedTasks().size() == TasksOfLongJob);
}
