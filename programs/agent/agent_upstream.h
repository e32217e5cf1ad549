// Calls of the agent to its upstream: chats with resume after a broken or silent connection, calls of plain services,
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
    duration interTokenTimeout = std::chrono::seconds(2); // between tokens; then the connection counts as silent
    unsigned maxResumes = 3; // without a new token in between
    std::size_t maxLineBytes = std::size_t {1024} * 1024;
};

struct upstream_result {
    bool ok = false;
    std::uint32_t generatedTokens = 0;
};

/// Answer of a plain service to a booking.
struct service_answer {
    run_state state = run_state::unknown; // ran if the members below hold the answer
    int status = 0;
    std::string contentType;
    std::string body;
};

/// An engine's or service's own figures.
struct upstream_load {
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;
};

class upstream_caller
{
public:
    using stream_ptr = std::shared_ptr<agent_stream>;

    upstream_caller(boost::asio::io_context &context, upstream_options options);

    /// Runs the work and feeds the stream until it has ended.
    /// @param token Called for each token of a streamed chat.
    /// @param done Called once.
    void run(const stream_ptr &stream, unsigned priority, std::function<void(bool isFirst)> token,
             std::function<void(upstream_result)> done);

    /// Sends a booking once, over a new connection so that a closed one cannot leave its state unknown.
    /// @param key Idempotency-Key.
    /// @param done Called once.
    void sendBooking(const stream_ptr &stream, const std::string &key, std::uint64_t fencingToken, duration limit,
                     std::function<void(service_answer)> done);

    /// Cancels a request at the engine. A failure is only logged: the closed connection tells the engine the same.
    void cancel(request_id request);

    /// @param done Gets nothing if the upstream does not answer.
    void readLoad(std::function<void(std::optional<upstream_load>)> done);

private:
    class streamed_chat_run;
    class unstreamed_run;
    class booking_run;

    /// What all calls share.
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
