// Short calls with whole answers: to the platform's object API and to other routers.
#pragma once

#include "serving/connection_pool.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace nutmegtally
{

struct call_request {
    std::string address; // IP number and port
    std::string method = "GET";
    std::string target;
    std::vector<header_field> fields; // besides those of host and framing
    std::string body; // JSON; sent with a type if not empty
    duration timeout = std::chrono::seconds(1); // to the answer's first byte, and from then on without any
};

struct call_result {
    int status = 0; // 0 if there was no answer
    std::string body;
    std::string failure; // why there was none
};

class http_client
{
public:
    http_client(boost::asio::io_context &context, std::function<time_point()> now);

    /// Calls @p done once, from the event loop.
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
