#include <iostream>
#include <memory>

#include "Commands.h"
#include "GatewayApi.h"
#include "Output.h"

namespace Tool {

namespace {

using Json = nlohmann::json;

void printError(const std::string &text, const Json &answer)
{
    const auto column = answer.value("column", std::int64_t{0});
    std::cerr << answer.value("error", "the query could not be parsed") << '\n';
    if (column > 0) {
        std::cerr << text << '\n'
                  << std::string(static_cast<std::size_t>(column - 1), ' ') << "^\n";
    }
}

void printRows(const Json &answer)
{
    std::vector<Row> rows{answer.at("columns").get<Row>()};
    for (const Json &row : answer.at("rows")) {
        rows.push_back(row.get<Row>());
    }
    std::cout << formatTable(rows);
    for (const Json &gateway : answer.at("silent")) {
        std::cerr << "no answer in time from gateway " << plainText(gateway) << '\n';
    }
}

ExitCode query(const Context &context, const std::string &text)
{
    ApiCall call;
    call.method = "POST";
    call.path = "/v1/query";
    call.body = Json{{"text", text}};
    const ApiAnswer answer = callGateway(context, call);
    const bool isQueryAnswer =
            answer.isAnswered && answer.body.is_object() && answer.body.contains("ok");
    if (!isQueryAnswer) {
        return reportError(answer);
    }
    if (context.isJson) {
        printJson(answer.body);
    } else if (answer.body.at("ok") == true) {
        printRows(answer.body);
    } else {
        printError(text, answer.body);
    }
    return answer.body.at("ok") == true ? ExitCode::Done : ExitCode::Refused;
}

} // namespace

void addQueryCommand(CLI::App &app, Context &context)
{
    auto words = std::make_shared<std::vector<std::string>>();
    CLI::App *command = app.add_subcommand("query", "run a query in the operators' query language");
    command->add_option("text", *words, "the query; words are joined by spaces")->required();
    command->callback([&context, words] {
        context.exitCode = query(context, CLI::detail::join(*words, " "));
    });
}

} // namespace Tool
