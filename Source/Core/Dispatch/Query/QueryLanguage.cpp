#include "Dispatch/Query/QueryLanguage.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <map>

namespace Dispatch {

const Common::NameTable<QueryTable, 8> QueryTableNames{
        {{QueryTable::Jobs, "jobs"},
         {QueryTable::Tasks, "tasks"},
         {QueryTable::BackendServers, "backend servers"},
         {QueryTable::Gateways, "gateways"},
         {QueryTable::Shards, "shards"},
         {QueryTable::Services, "services"},
         {QueryTable::Teams, "teams"},
         {QueryTable::Evacuations, "evacuations"}}};

namespace {

constexpr std::size_t MaxLimit = 10'000;
constexpr Common::NameTable<QueryOperator, 4> OperatorNames{{{QueryOperator::Equal, "="},
                                                             {QueryOperator::NotEqual, "!="},
                                                             {QueryOperator::Less, "<"},
                                                             {QueryOperator::Greater, ">"}}};

enum class TokenKind { Word, Quoted, Symbol, Unterminated, End };

struct Token
{
    TokenKind kind = TokenKind::End;
    std::string text;
    std::size_t column = 1;
};

bool isWordLetter(char letter)
{
    return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '_' || letter == '-'
           || letter == '.' || letter == ':';
}

Token quotedToken(const std::string &text, std::size_t start)
{
    const std::size_t end = text.find('"', start + 1);
    if (end == std::string::npos) {
        return {TokenKind::Unterminated, text.substr(start), start + 1};
    }
    return {TokenKind::Quoted, text.substr(start + 1, end - start - 1), start + 1};
}

std::vector<Token> tokenize(const std::string &text)
{
    std::vector<Token> tokens;
    std::size_t at = 0;
    while (at < text.size()) {
        if (std::isspace(static_cast<unsigned char>(text[at])) != 0) {
            ++at;
        } else if (text[at] == '"') {
            tokens.push_back(quotedToken(text, at));
            at += tokens.back().text.size() + 2;
        } else if (isWordLetter(text[at])) {
            const std::size_t start = at;
            while (at < text.size() && isWordLetter(text[at])) {
                ++at;
            }
            tokens.push_back({TokenKind::Word, text.substr(start, at - start), start + 1});
        } else {
            const std::size_t length = text.compare(at, 2, "!=") == 0 ? 2 : 1;
            tokens.push_back({TokenKind::Symbol, text.substr(at, length), at + 1});
            at += length;
        }
    }
    tokens.push_back({TokenKind::End, "", text.size() + 1});
    return tokens;
}

/// Reads the tokens one by one. Only the first error is kept; parsing continues after it, but its
/// result is not used.
struct Parser
{
    std::vector<Token> tokens;
    std::size_t next = 0;
    std::optional<QueryError> error;

    const Token &peek() const { return this->tokens[this->next]; }

    Token take()
    {
        Token token = this->peek();
        this->next += token.kind == TokenKind::End ? 0 : 1;
        return token;
    }

    bool takeIf(const std::string &word)
    {
        const bool matches = this->peek().kind != TokenKind::Quoted && this->peek().text == word;
        this->next += matches ? 1 : 0;
        return matches;
    }

    void fail(const std::string &expected)
    {
        if (!this->error) {
            this->error = QueryError{this->peek().column, expected};
        }
    }

    void expect(const std::string &word)
    {
        if (!this->takeIf(word)) {
            this->fail('"' + word + '"');
        }
    }

    std::string takeWord(const std::string &what)
    {
        if (this->peek().kind != TokenKind::Word) {
            this->fail(what);
            return {};
        }
        return this->take().text;
    }

    std::string takeValue()
    {
        if (this->peek().kind == TokenKind::Quoted) {
            return this->take().text;
        }
        return this->takeWord("a value, in double quotes if it contains spaces");
    }
};

QueryTable parseTable(Parser &parser)
{
    if (parser.takeIf("backend")) {
        parser.expect("servers");
        return QueryTable::BackendServers;
    }
    const std::optional<QueryTable> table = Common::valueOf(QueryTableNames, parser.peek().text);
    if (!table) {
        parser.fail("jobs, tasks of job ID, backend servers, gateways, shards, services, teams, "
                    "evacuations or count");
        return QueryTable::Jobs;
    }
    parser.take();
    return *table;
}

QueryCondition parseCondition(Parser &parser)
{
    QueryCondition condition;
    condition.field = parser.takeWord("a field");
    const auto comparison = Common::valueOf(OperatorNames, parser.peek().text);
    if (!comparison) {
        parser.fail("=, !=, < or >");
        return condition;
    }
    parser.take();
    condition.comparison = *comparison;
    condition.value = parser.takeValue();
    return condition;
}

std::size_t parseLimit(Parser &parser)
{
    const std::string &text = parser.peek().text;
    const bool isNumber = parser.peek().kind == TokenKind::Word && text.size() < 6
                          && std::all_of(text.begin(), text.end(), [](unsigned char letter) {
                                 return std::isdigit(letter) != 0;
                             });
    const std::size_t limit = isNumber ? std::strtoul(text.c_str(), nullptr, 10) : 0;
    if (limit == 0 || limit > MaxLimit) {
        parser.fail("a number from 1 to 10000");
    }
    parser.take();
    return limit;
}

void parseCountFields(Parser &parser, Query &query)
{
    parser.expect("by");
    do {
        query.countBy.push_back(parser.takeWord("a field"));
    } while (parser.takeIf(","));
}

void parseClauses(Parser &parser, Query &query)
{
    if (parser.takeIf("where")) {
        do {
            query.conditions.push_back(parseCondition(parser));
        } while (!parser.error && parser.takeIf("and"));
    }
    if (parser.takeIf("order")) {
        parser.expect("by");
        query.orderBy = parser.takeWord("a field");
        query.isDescending = parser.takeIf("desc");
    }
    if (parser.takeIf("limit")) {
        query.limit = parseLimit(parser);
    }
    if (parser.peek().kind != TokenKind::End) {
        parser.fail("where, order by, limit or the end");
    }
}

std::size_t columnOf(const std::vector<std::string> &columns, const std::string &name)
{
    return static_cast<std::size_t>(
            std::distance(columns.begin(), std::find(columns.begin(), columns.end(), name)));
}

/// Compares two numbers as numbers and all other values as text. Returns a negative value, 0 or a
/// positive value.
int compareValues(const std::string &left, const std::string &right)
{
    char *leftEnd = nullptr;
    char *rightEnd = nullptr;
    const double leftNumber = std::strtod(left.c_str(), &leftEnd);
    const double rightNumber = std::strtod(right.c_str(), &rightEnd);
    const bool areNumbers =
            !left.empty() && !right.empty() && *leftEnd == '\0' && *rightEnd == '\0';
    if (!areNumbers) {
        return left.compare(right);
    }
    return leftNumber < rightNumber ? -1 : static_cast<int>(leftNumber > rightNumber);
}

bool meetsCondition(const QueryCondition &condition, const std::string &value)
{
    const int order = compareValues(value, condition.value);
    switch (condition.comparison) {
    case QueryOperator::Equal:
        return order == 0;
    case QueryOperator::NotEqual:
        return order != 0;
    case QueryOperator::Less:
        return order < 0;
    case QueryOperator::Greater:
        break;
    }
    return order > 0;
}

void countRows(const Query &query, QueryRows &rows)
{
    std::map<QueryRow, std::size_t> counts;
    for (const QueryRow &row : rows.rows) {
        QueryRow key;
        for (const std::string &field : query.countBy) {
            key.push_back(row[columnOf(rows.columns, field)]);
        }
        ++counts[key];
    }
    rows.columns = query.countBy;
    rows.columns.emplace_back("count");
    rows.rows.clear();
    for (const auto &[key, count] : counts) {
        rows.rows.push_back(key);
        rows.rows.back().push_back(std::to_string(count));
    }
}

} // namespace

std::variant<Query, QueryError> parseQuery(const std::string &text)
{
    Parser parser;
    parser.tokens = tokenize(text);
    Query query;
    const bool counts = parser.takeIf("count");
    query.table = parseTable(parser);
    if (query.table == QueryTable::Tasks) {
        parser.expect("of");
        parser.expect("job");
        query.job = parser.takeValue();
    }
    if (counts) {
        parseCountFields(parser, query);
    }
    parseClauses(parser, query);
    if (parser.error) {
        return *parser.error;
    }
    return query;
}

std::string unknownField(const Query &query, const std::vector<std::string> &columns)
{
    std::vector<std::string> fields = query.countBy;
    for (const QueryCondition &condition : query.conditions) {
        fields.push_back(condition.field);
    }
    const bool ordersByCount = !query.countBy.empty() && query.orderBy == "count";
    if (!query.orderBy.empty() && !ordersByCount) {
        fields.push_back(query.orderBy);
    }
    for (const std::string &field : fields) {
        if (columnOf(columns, field) == columns.size()) {
            return field;
        }
    }
    return {};
}

void filterRows(const Query &query, QueryRows &rows)
{
    const auto isRejected = [&](const QueryRow &row) {
        return std::any_of(query.conditions.begin(), query.conditions.end(),
                           [&](const QueryCondition &condition) {
                               return !meetsCondition(condition,
                                                      row[columnOf(rows.columns, condition.field)]);
                           });
    };
    rows.rows.erase(std::remove_if(rows.rows.begin(), rows.rows.end(), isRejected),
                    rows.rows.end());
}

void shapeRows(const Query &query, QueryRows &rows)
{
    if (!query.countBy.empty()) {
        countRows(query, rows);
    }
    const std::size_t column = columnOf(rows.columns, query.orderBy);
    if (column < rows.columns.size()) {
        const auto before = [&](const QueryRow &left, const QueryRow &right) {
            const int order = compareValues(left[column], right[column]);
            return query.isDescending ? order > 0 : order < 0;
        };
        std::stable_sort(rows.rows.begin(), rows.rows.end(), before);
    }
    if (rows.rows.size() > query.limit) {
        rows.rows.resize(query.limit);
    }
}

} // namespace Dispatch
