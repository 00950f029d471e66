#include <cstdio>
#include <functional>
#include <map>
#include <string>

#include "Cases.h"

int main(int argc, char **argv)
{
    const std::map<std::string, std::function<int()>> cases{
            {"gateway-and-agent-killed", Cases::gatewayAndAgentKilled},
            {"other-kind-before-ping", Cases::otherKindBeforePing},
    };
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::fprintf(stderr, "usage: review-cases CASE RECORD\n");
        return 2;
    }
    Lab::record().open(argv[2]);
    const int result = found->second();
    Lab::record().line("exit " + std::to_string(result));
    return result;
}
