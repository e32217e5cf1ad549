#include "serving/call_client.h"

#include "serving/serving_limits.h"
#include "serving/socket_options.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace nutmegtally
{

namespace
{

/// A call that runs. Its handlers and its timer hold it.
struct running_call {
    explicit running_call(boost::asio::io_context &context)
        : timer(context)
    {
    }

    void finish(call_result outcome)
    {
        if (isOver) {
            return;
        }
        isOver = true;
        timer.cancel();
        done(std::move(outcome));
    }

    /// Ends the call unless bytes of the answer come within its timeout.
    void watch(const std::shared_ptr<running_call> &self)
    {
        timer.expires_after(timeout);
        timer.async_wait([self](const boost::system::error_code &fault) {
            if (!fault && !self->isOver) {
                self->connection->close();
                self->finish({0, {}, "no answer in time"});
            }
        });
    }

    boost::asio::steady_timer timer;
    duration timeout {0};
    std::optional<time_point> answeringSince; // first byte of the answer's body
    upstream_connection::pointer connection;
    call_result result;
    std::function<void(call_result)> done;
    bool isOver = false;
};

std::string textOf(const call_request &request)
{
    std::vector<header_field> fields {{"Host", request.address}};
    fields.insert(fields.end(), request.fields.begin(), request.fields.end());
    if (!request.body.empty()) {
        fields.push_back({"Content-Type", "application/json"});
        fields.push_back({"Content-Length", std::to_string(request.body.size())});
    }
    return requestText(request.method, request.target, fields) + request.body;
}

std::string_view textOf(attempt_failure failure)
{
    switch (failure) {
    case attempt_failure::unreachable:
        return "no connection";
    case attempt_failure::lost:
        return "connection lost";
    default:
        return "not an answer";
    }
}

} // namespace

call_client::call_client(boost::asio::io_context &context, std::function<time_point()> now)
    : m_context(context)
    , m_now(std::move(now))
{
}

void call_client::call(const call_request &request, std::function<void(call_result)> done)
{
    ++m_calls;
    auto running = std::make_shared<running_call>(m_context);
    running->done = std::move(done);

    const std::string address = request.address;
    upstream_connection::handlers handlers;
    handlers.head = [running](const http_head &head) {
        running->result.status = head.status;
        return true;
    };
    handlers.body = [running, now = m_now](std::string &&piece) {
        running->result.body += piece;
        running->answeringSince = running->answeringSince.value_or(now());
        if (running->result.body.size() > serving_limits::callAnswerBytes
            || now() - *running->answeringSince > serving_limits::callLength) {
            running->connection->close();
            running->finish({0, {}, "an answer without end"});
            return;
        }
        running->timeout = serving_limits::answerSilence;
        running->watch(running);
    };
    handlers.done = [running, address, pool = m_pool, now = m_now](bool reusable) {
        if (reusable) {
            pool->give(address, running->connection, now());
        }
        running->finish(std::move(running->result));
    };
    handlers.failed = [running](attempt_failure failure) { running->finish({0, {}, std::string(textOf(failure))}); };

    running->timeout = request.timeout;
    running->watch(running);

    m_pool->checkTime(m_now());
    running->connection = m_pool->take(address, m_now());
    if (running->connection) {
        running->connection->send(textOf(request), false, std::move(handlers));
        return;
    }
    running->connection = std::make_shared<upstream_connection>(m_context);
    const auto peer = parseEndpoint(address);
    if (!peer) {
        boost::asio::post(m_context, [running, address] { running->finish({0, {}, "not an address: " + address}); });
        return;
    }
    running->connection->open(*peer, std::min(request.timeout, serving_limits::callConnectTimeout), textOf(request), false,
                              std::move(handlers));
}

} // namespace nutmegtally
