#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Common.h"

/// Parser of the operators' query language, and the operations that a query applies to rows. The
/// grammar is in docs/LANGUAGE.md.
namespace Dispatch {

enum class QueryTable {
    Jobs,
    Tasks,
    BackendServers,
    Gateways,
    Shards,
    Services,
    Teams,
    Evacuations
};
extern const Common::NameTable<QueryTable, 8> QueryTableNames;

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
    /// Job id of "tasks of job ID".
    std::string job;
    std::vector<QueryCondition> conditions;
    /// Fields of "count TABLE by FIELDS"; empty if rows are listed.
    std::vector<std::string> countBy;
    std::string orderBy;
    bool isDescending = false;
    std::size_t limit = 100;
};

/// Position of a syntax error and what was expected there.
struct QueryError
{
    /// Starts at 1.
    std::size_t column = 1;
    std::string expected;
};

std::variant<Query, QueryError> parseQuery(const std::string &text);

using QueryRow = std::vector<std::string>;

/// A table of rows, with the names of its columns.
struct QueryRows
{
    std::vector<std::string> columns;
    std::vector<QueryRow> rows;
};

/// Returns the first field of the query that is not in \a columns, or an empty string.
std::string unknownField(const Query &query, const std::vector<std::string> &columns);
/// Removes the rows that don't meet every condition.
void filterRows(const Query &query, QueryRows &rows);
/// Counts, orders and limits filtered rows.
void shapeRows(const Query &query, QueryRows &rows);

} // namespace Dispatch
