#include "serving/http_client.h"

#include "serving/serving_limits.h"
#include "serving/socket_options.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace nutmegtally
{

namespace
{

/// A call in progress. It is kept alive by the connection's handlers and its own timer.
struct pending_call {
    explicit pending_call(boost::asio::io_context &context)
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

    /// Fails the call unless part of the answer's body arrives within the timeout.
    void startTimeout(const std::shared_ptr<pending_call> &self)
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
    std::optional<time_point> bodyStartedAt; // arrival of the first byte of the answer's body
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
    return formatRequestHead(request.method, request.target, fields) + request.body;
}

std::string_view textOf(attempt_failure failure)
{
    switch (failure) {
    case attempt_failure::unreachable:
        return "no connection";
    case attempt_failure::lost:
    case attempt_failure::silent:
        return "connection lost";
    default:
        return "not an answer";
    }
}

} // namespace

http_client::http_client(boost::asio::io_context &context, std::function<time_point()> now)
    : m_context(context)
    , m_now(std::move(now))
{
}

void http_client::call(const call_request &request, std::function<void(call_result)> done)
{
    ++m_calls;
    auto pending = std::make_shared<pending_call>(m_context);
    pending->done = std::move(done);

    const std::string address = request.address;
    upstream_connection::handlers handlers;
    handlers.head = [pending](const http_head &head) {
        pending->result.status = head.status;
        pending->result.head = head;
        return true;
    };
    handlers.body = [pending, now = m_now](std::string &&piece) {
        pending->result.body += piece;
        pending->bodyStartedAt = pending->bodyStartedAt.value_or(now());
        if (pending->result.body.size() > serving_limits::maxCallAnswerBytes
            || now() - *pending->bodyStartedAt > serving_limits::maxCallDuration) {
            pending->connection->close();
            pending->finish({0, {}, "answer exceeds the size or time limit"});
            return;
        }
        pending->timeout = serving_limits::callIdleTimeout;
        pending->startTimeout(pending);
    };
    handlers.done = [pending, address, pool = m_pool, now = m_now](bool reusable) {
        if (reusable) {
            pool->release(address, pending->connection, now());
        }
        pending->finish(std::move(pending->result));
    };
    handlers.failed = [pending](attempt_failure failure) { pending->finish({0, {}, std::string(textOf(failure))}); };

    pending->timeout = request.timeout;
    pending->startTimeout(pending);

    m_pool->closeExpired(m_now());
    pending->connection = m_pool->acquire(address, m_now());
    if (pending->connection) {
        pending->connection->send(textOf(request), false, std::move(handlers));
        return;
    }
    pending->connection = std::make_shared<upstream_connection>(m_context);
    const auto peer = parseEndpoint(address);
    if (!peer) {
        boost::asio::post(m_context, [pending, address] { pending->finish({0, {}, "invalid address: " + address}); });
        return;
    }
    pending->connection->open(*peer, std::min(request.timeout, serving_limits::callConnectTimeout), textOf(request), false,
                              std::move(handlers));
}

} // namespace nutmegtally
