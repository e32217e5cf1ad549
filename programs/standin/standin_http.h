// HTTP server shared by the four stand-ins: listener, JSON answers, fault injection and counters.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtally::standin
{

using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// One HTTP request to a stand-in, with its response.
struct call {
    Poco::Net::HTTPServerRequest &request;
    Poco::Net::HTTPServerResponse &response;
    std::string method;
    std::string path; // decoded, without the query
    std::vector<std::pair<std::string, std::string>> query;
    std::string body;

    /// @return Value of a query parameter, or @p fallback.
    std::string parameter(std::string_view name, const std::string &fallback = {}) const;

    /// @return Value of a header, or an empty string.
    std::string header(const std::string &name) const;

    /// @return Whether the client closed its connection.
    bool isClientDisconnected() const;

    /// Sends a complete answer.
    void reply(int status, const nlohmann::json &json) const;
    void replyText(int status, const std::string &text, const std::string &type = "application/json") const;

    /// Closes the connection without an answer or in the middle of one, like a crash before the answer is sent.
    void dropConnection() const;

    /// Keeps the connection open and sends nothing until the client closes it.
    void stallConnection() const;
};

/// Injected faults, set by POST /admin/faults: a JSON object whose members replace earlier values; null resets a value to
/// its initial one. Thread-safe.
class fault_switches
{
public:
    /// @param known Faults that this stand-in supports, with their initial values.
    explicit fault_switches(nlohmann::json known);

    /// @return Names that this stand-in does not support. If there are any, no value is changed.
    std::vector<std::string> set(const nlohmann::json &changes);

    bool isEnabled(const std::string &name) const;
    double number(const std::string &name) const;
    std::vector<std::string> names(const std::string &name) const;

    /// Decrements a counted fault. @return False if the count was already 0.
    bool consumeOne(const std::string &name);

    nlohmann::json all() const;

private:
    nlohmann::json m_initial; // never changes
    mutable std::mutex m_mutex;
    nlohmann::json m_values;
};

/// Base class of the stand-ins: handles requests, reports counters and holds the injected faults.
class handler
{
public:
    explicit handler(nlohmann::json knownFaults);
    virtual ~handler() = default;
    handler(const handler &) = delete;
    handler &operator=(const handler &) = delete;

    virtual void handle(const call &call) = 0;
    virtual nlohmann::json counters() const = 0;

    /// Called after a change of the faults, for those that have a single immediate effect.
    virtual void faultsChanged();

    fault_switches &faults()
    {
        return m_faults;
    }

protected:
    fault_switches m_faults;
};

/// Counts calls, and the most calls within one second. Thread-safe.
class rate_counter
{
public:
    void count();
    std::uint64_t total() const;
    std::uint64_t peakPerSecond() const;

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_total = 0;
    std::uint64_t m_peak = 0;
    std::uint64_t m_inSecond = 0;
    clock::time_point m_second = clock::now();
};

/// Serves until SIGTERM or SIGINT. Prints "listening PORT" when the listener is open.
/// @param port 0 lets the kernel choose.
/// @return Exit code.
int serve(handler &handler, std::uint16_t port);

} // namespace nutmegtally::standin
