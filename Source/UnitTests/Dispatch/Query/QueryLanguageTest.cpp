#include <doctest/doctest.h>

#include "Dispatch/Dispatch.h"

namespace {

Dispatch::QueryRows sampleRows()
{
    Dispatch::QueryRows rows;
    rows.columns = {"id", "state", "tasks"};
    rows.rows = {{"a", "failed", "9"}, {"b", "completed", "10"}, {"c", "failed", "30"}};
    return rows;
}

std::string toText(const Dispatch::QueryRows &rows)
{
    std::string text;
    for (const Dispatch::QueryRow &row : rows.rows) {
        for (const std::string &value : row) {
            text += value + ' ';
        }
        text.back() = ';';
    }
    return text;
}

} // namespace

TEST_CASE("Queries filter, count, order and limit")
{
    struct Row
    {
        const char *text;
        const char *answer;
    };
    const Row rows[] = {
            {"jobs", "a failed 9;b completed 10;c failed 30;"},
            {"jobs where state = failed", "a failed 9;c failed 30;"},
            {"jobs where state != \"failed\"", "b completed 10;"},
            {"jobs where tasks > 9 and state = failed", "c failed 30;"},
            {"jobs where tasks < 10", "a failed 9;"},
            {"jobs order by tasks desc limit 2", "c failed 30;b completed 10;"},
            {"jobs order by id", "a failed 9;b completed 10;c failed 30;"},
            {"count jobs by state", "completed 1;failed 2;"},
            {"count jobs by state order by count desc", "failed 2;completed 1;"},
            {"count jobs by state, id limit 1", "completed b 1;"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.text);
        const auto parsed = Dispatch::parseQuery(row.text);
        REQUIRE(std::holds_alternative<Dispatch::Query>(parsed));
        const auto &query = std::get<Dispatch::Query>(parsed);
        Dispatch::QueryRows answer = sampleRows();
        CHECK(Dispatch::unknownField(query, answer.columns).empty());
        Dispatch::filterRows(query, answer);
        Dispatch::shapeRows(query, answer);
        CHECK(toText(answer) == row.answer);
    }
}

TEST_CASE("An invalid query is answered with the column and what was expected")
{
    struct Row
    {
        const char *text;
        std::size_t column;
        const char *expected;
    };
    const Row rows[] = {
            {"", 1, "jobs, tasks of job ID"},
            {"job", 1, "jobs, tasks of job ID"},
            {"backend", 8, "\"servers\""},
            {"jobs where", 11, "a field"},
            {"jobs where state", 17, "=, !=, < or >"},
            {"jobs where state =", 19, "a value"},
            {"jobs where state = \"open", 20, "a value"},
            {"jobs limit 0", 12, "a number from 1 to 10000"},
            {"jobs limit 99999", 12, "a number from 1 to 10000"},
            {"jobs since 10m", 6, "where, order by, limit or the end"},
            {"tasks of x", 10, "\"job\""},
            {"count jobs state", 12, "\"by\""},
    };
    for (const Row &row : rows) {
        CAPTURE(row.text);
        const auto parsed = Dispatch::parseQuery(row.text);
        REQUIRE(std::holds_alternative<Dispatch::QueryError>(parsed));
        CHECK(std::get<Dispatch::QueryError>(parsed).column == row.column);
        CHECK(std::get<Dispatch::QueryError>(parsed).expected.find(row.expected) == 0);
    }
    const auto parsed = Dispatch::parseQuery("jobs where colour = red");
    CHECK(Dispatch::unknownField(std::get<Dispatch::Query>(parsed), {"id"}) == "colour");
}
