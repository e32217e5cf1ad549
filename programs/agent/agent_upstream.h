// Calls of the agent to its upstream: chats, which resume after a lost connection or a timeout, reads of plain services,
// bookings, cancellation and load reports. Used in the event loop only.
#pragma once

#include "agent/agent_stream.h"
#include "serving/connection_pool.h"
#include "serving/http_client.h"

#include <nutmegtally/time.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace nutmegtally
{

struct upstream_options {
    std::string address; // host:port
    duration connectTimeout = std::chrono::seconds(1);
    duration firstTokenTimeout = std::chrono::seconds(30); // from the request to the first token
    duration interTokenTimeout = std::chrono::seconds(2); // without a token, after which the answer is resumed over a new connection
    unsigned maxResumes = 3; // consecutive resumes without a new token
    std::size_t maxLineBytes = std::size_t {1024} * 1024;
};

struct upstream_result {
    bool ok = false;
    std::uint32_t generatedTokens = 0;
};

/// Answer of a plain service to a booking.
struct service_answer {
    run_state state = run_state::unknown; // the members below are valid only if ran
    int status = 0;
    std::string contentType;
    std::string body;
};

/// Load as reported by the engine or service.
struct upstream_load {
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;
};

class upstream_caller
{
public:
    using stream_ptr = std::shared_ptr<agent_stream>;

    upstream_caller(boost::asio::io_context &context, upstream_options options);

    /// Runs the work and appends the answer to @p stream until it ends.
    /// @param token Called for each token of a streamed chat.
    /// @param done Called once, at the end.
    void run(const stream_ptr &stream, unsigned priority, std::function<void(bool isFirst)> token,
             std::function<void(upstream_result)> done);

    /// Sends a booking once. Always opens a new connection: if the upstream closed a reused one, it would be unknown whether
    /// the booking ran.
    /// @param key Value of the Idempotency-Key header.
    /// @param done Called once.
    void sendBooking(const stream_ptr &stream, const std::string &key, std::uint64_t fencingToken, duration limit,
                     std::function<void(service_answer)> done);

    /// Cancels a request at the engine. A failure is only logged, because closing the connection also cancels the request.
    void cancel(request_id request);

    /// @param done Called with nullopt if the upstream does not report its load.
    void readLoad(std::function<void(std::optional<upstream_load>)> done);

private:
    class streamed_chat_run;
    class unstreamed_run;
    class booking_run;

    /// State shared by all calls.
    struct shared_state {
        shared_state(boost::asio::io_context &loop, upstream_options limits)
            : context(loop)
            , options(std::move(limits))
        {
        }

        boost::asio::io_context &context;
        upstream_options options;
        connection_pool pool;
    };

    std::shared_ptr<shared_state> m_shared;
    http_client m_client;
};

} // namespace nutmegtally
