// Calls of the agent to its upstream: chats with resume after a broken or silent connection, calls of plain services,
// cancellation and load reports.
#pragma once

#include "agent/agent_stream.h"
#include "daemon/daemon_http.h"

#include <nutmegtally/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace nutmegtally
{

struct upstream_options {
    std::string address; // host:port
    duration connectTimeout = std::chrono::seconds(1);
    duration firstTokenTimeout = std::chrono::seconds(30); // from the request to the first token
    duration tokenSilence = std::chrono::seconds(2); // between tokens; then the connection counts as silent
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
    explicit upstream_caller(upstream_options options);

    /// Runs the work and feeds the stream until it has ended.
    /// @param firstToken Called once, when a streamed chat's first token arrives.
    upstream_result run(agent_stream &stream, unsigned priority, const std::function<void()> &firstToken);

    /// Sends a booking once, over a new connection so that a closed one cannot leave its state unknown.
    /// @param key Idempotency-Key.
    service_answer book(const agent_stream &stream, const std::string &key, std::uint64_t fencing, duration limit);

    /// Cancels a request at the engine. Failures are ignored: the closed connection tells the engine the same.
    void cancel(request_id request);

    /// @return Nothing if the upstream does not answer.
    std::optional<upstream_load> readLoad();

private:
    class chat_reader;
    enum class try_result : std::uint8_t {
        finished, // the stream has its end or its refusal
        broken, // may be resumed
        count
    };

    try_result streamOnce(chat_reader &reader, agent_stream &stream, unsigned priority);
    upstream_result runWhole(agent_stream &stream, unsigned priority);
    std::istream &send(client_session &session, const agent_stream &stream, unsigned priority, Poco::Net::HTTPResponse &response);
    void copyBody(client_session &session, std::istream &in, const Poco::Net::HTTPResponse &response, agent_stream &stream);

    upstream_options m_options;
    session_pool m_pool;
};

} // namespace nutmegtally
