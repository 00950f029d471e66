#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Common.h"

/// The operators' language: what a text asks for. The grammar is in docs/LANGUAGE.md.
namespace Dispatch {

enum class QueryTable { Jobs, Tasks, BackendServers, Gateways, Shards, Services, Teams };
extern const Common::NameTable<QueryTable, 7> QueryTableNames;

enum class QueryOperator { Equal, NotEqual, Less, Greater };

struct QueryCondition
{
    std::string field;
    QueryOperator comparison = QueryOperator::Equal;
    std::string value;
};

struct Query
{
    QueryTable table = QueryTable::Jobs;
    /// tasks of job ID
    std::string job;
    std::vector<QueryCondition> conditions;
    /// count TABLE by FIELDS; empty for a plain list.
    std::vector<std::string> countBy;
    std::string orderBy;
    bool isDescending = false;
    std::size_t limit = 100;
};

/// Where a text is wrong, and what was expected there.
struct QueryError
{
    /// From 1.
    std::size_t column = 1;
    std::string expected;
};

std::variant<Query, QueryError> parseQuery(const std::string &text);

using QueryRow = std::vector<std::string>;

/// Columns and rows before filtering.
struct QueryRows
{
    std::vector<std::string> columns;
    std::vector<QueryRow> rows;
};

/// Names a field of the query that \a columns lacks; empty when all are there.
std::string unknownField(const Query &query, const std::vector<std::string> &columns);
/// Keeps the rows that meet every condition.
void filterRows(const Query &query, QueryRows &rows);
/// Counts, orders and limits filtered rows.
void shapeRows(const Query &query, QueryRows &rows);

} // namespace Dispatch
