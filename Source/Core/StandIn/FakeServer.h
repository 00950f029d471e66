#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace StandIn {

/// What all stand-in servers offer. \a Service handles the requests, \a Control holds the faults
/// that can be switched on.
template <typename Service, typename Control>
class FakeServer
{
public:
    ~FakeServer();
    FakeServer(const FakeServer &) = delete;
    FakeServer &operator=(const FakeServer &) = delete;

    std::uint16_t port() const;
    std::string url() const;
    Control control() const;
    void setControl(const Control &control);
    nlohmann::json stats() const;

protected:
    explicit FakeServer(std::unique_ptr<Service> service);

    std::unique_ptr<Service> service;
};

struct FakeServerAddress
{
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    int threads = 1;
};

/// The settings that all stand-in servers have. \a Builder is the derived class.
template <typename Builder, typename Control>
class FakeServerBuilder
{
public:
    Builder &listenOn(const std::string &host, std::uint16_t port)
    {
        this->address.host = host;
        this->address.port = port;
        return static_cast<Builder &>(*this);
    }

    Builder &threads(int count)
    {
        this->address.threads = count;
        return static_cast<Builder &>(*this);
    }

    Builder &control(const Control &control)
    {
        this->initialControl = control;
        return static_cast<Builder &>(*this);
    }

protected:
    FakeServerAddress address;
    Control initialControl;
};

} // namespace StandIn
