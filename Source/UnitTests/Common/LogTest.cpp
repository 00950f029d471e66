#include <doctest/doctest.h>
#include <iostream>
#include <sstream>
#include <string>

#include "Common/Log.h"

TEST_CASE("A long value that a caller chose fills the queue of log lines")
{
    constexpr std::size_t MaxLine = 2000;
    std::ostringstream written;
    std::streambuf *const before = std::cout.rdbuf(written.rdbuf());
    Common::startLogging("test", "info");
    Common::logEvent(Common::LogLevel::Info, "request_refused",
                     {{"path", std::string(100'000, 'p')}, {"method", "GET"}});
    Common::stopLogging();
    std::cout.rdbuf(before);
    const std::string line = written.str();
    CHECK(line.find("path=ppp") != std::string::npos);
    CHECK(line.find("p... method=GET") != std::string::npos);
    CHECK(line.size() < MaxLine);
}
