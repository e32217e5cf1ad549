// HTTP client for short requests whose answers are buffered whole: to the platform's object API and to other routers.
#pragma once

#include "serving/connection_pool.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace nutmegtally
{

struct call_request {
    std::string address; // "IP:PORT"
    std::string method = "GET";
    std::string target;
    std::vector<header_field> fields; // in addition to Host, Content-Type and Content-Length
    std::string body; // JSON; sent with a Content-Type unless empty
    duration timeout = std::chrono::seconds(1); // to the first byte of the answer's body; then callIdleTimeout between bytes
};

struct call_result {
    int status = 0; // 0 if the call failed
    std::string body;
    std::string failure; // reason of a failed call, for logs
    http_head head {}; // of the answer
};

class http_client
{
public:
    http_client(boost::asio::io_context &context, std::function<time_point()> now);

    /// Sends a request. Calls @p done exactly once, from the event loop; failures are reported in its result.
    void call(const call_request &request, std::function<void(call_result)> done);

    std::uint64_t calls() const
    {
        return m_calls;
    }

private:
    boost::asio::io_context &m_context;
    std::function<time_point()> m_now;
    std::shared_ptr<connection_pool> m_pool = std::make_shared<connection_pool>();
    std::uint64_t m_calls = 0;
};

} // namespace nutmegtally
