#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Http.h"

namespace Review {

/// The platform's metadata store: topics of keyed records, read by offset or by newest key.
class Store
{
public:
    Store();
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    std::uint16_t port() const;
    /// Writes the operator's configuration, op/config.
    void setConfig(const std::string &text);

private:
    struct Record
    {
        std::string key;
        std::string value;
    };

    Response answer(const Request &request);
    Response append(const Request &request);
    Response read(const Request &request);
    Response newest(const Request &request);

    std::mutex mutex;
    std::condition_variable appended;
    bool isEnding = false;
    std::map<std::string, std::vector<Record>> topics;
    std::unique_ptr<Server> server;
};

} // namespace Review
