#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>

#include "Common/Common.h"

namespace {

std::string loadError(const std::string &yaml)
{
    const std::string path = "settings-test.yaml";
    std::ofstream(path) << yaml;
    std::string error;
    Common::handle(
            [&]() -> Common::Outcome<void> {
                BOOST_LEAF_CHECK(
                        Common::loadSettings<Schema::GatewaySettings>(path, "GatewaySettings"));
                return {};
            },
            [&](const Common::Failure &failed) { error = failed.detail; });
    std::remove(path.c_str());
    return error;
}

} // namespace

TEST_CASE("A wrong settings file is refused with file, key and allowed range")
{
    struct Row
    {
        const char *yaml;
        const char *error;
    };
    const Row rows[] = {
            {"", ""},
            {"heartbeatMs: 100\nname: '7'", ""},
            {"heartbeatMs: 5",
             "settings-test.yaml: heartbeatMs: found 5; allowed: integer from 20 to 10000"},
            {"heartbeatMs: fast",
             "settings-test.yaml: heartbeatMs: found \"fast\"; allowed: integer from 20 to 10000"},
            {"logLevel: loud", "settings-test.yaml: logLevel: found \"loud\"; allowed: one of "
                               "[\"debug\",\"info\",\"warning\",\"error\"]"},
            {"- a list", "settings-test.yaml: expected lines of key: value"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.yaml);
        CHECK(loadError(row.yaml) == row.error);
    }
    CHECK(loadError("hartbeatMs: 100").find("hartbeatMs: unknown key; allowed: ")
          != std::string::npos);
    CHECK(loadError("name: [").find("settings-test.yaml: ") == 0);
}

TEST_CASE("A message is checked against its schema")
{
    struct Row
    {
        const char *json;
        bool accepted;
    };
    const Row rows[] = {
            {R"({"team":"a","caller":"b","service":"c","tasks":[{"payload":""}]})", true},
            {R"({"team":"a","caller":"b","service":"c","tasks":[]})", false},
            {R"({"team":"a","caller":"b","service":"c","tasks":[{"payload":""}],"extra":1})",
             false},
            {R"({"team":"a","caller":"b","service":7,"tasks":[{"payload":""}]})", false},
            {R"([])", false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.json);
        const bool accepted = Common::handle(
                [&]() -> Common::Outcome<bool> {
                    BOOST_LEAF_CHECK(
                            Common::checkMessage(nlohmann::json::parse(row.json), "SubmitJob"));
                    return true;
                },
                [&](const Common::Failure &failed) {
                    CHECK(!failed.detail.empty());
                    return false;
                });
        CHECK(accepted == row.accepted);
    }
}
