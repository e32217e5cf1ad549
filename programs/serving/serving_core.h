// Event-driven proxy core: forwards requests and answers between callers and upstreams as the reducer (entry_core) decides.
// Single-threaded, on one event loop. A codec adapts it to a protocol: it decodes requests and answers, and encodes attempts,
// refusals and errors.
#pragma once

#include "serving/client_connection.h"
#include "serving/connection_check.h"
#include "serving/connection_pool.h"
#include "serving/event_queue.h"
#include "serving/event_stream.h"
#include "serving/serving_limits.h"
#include "serving/socket_options.h"

#include <nutmegtally/entry_core.h>
#include <nutmegtally/log_line.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <concepts>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

namespace nutmegtally
{

/// Head of an upstream's answer, as decoded by a codec.
struct decoded_answer {
    answer_summary summary;
    std::optional<std::string> requestId; // id of the request that the answer states to belong to
};

template<typename C>
concept request_codec
    = requires(const C codec, const http_head &head, const std::string &id, std::size_t bytes, const entry_effect::start_attempt &attempt,
               const entry_effect::refuse &refused, const message_fault &fault, const std::optional<std::uint64_t> &lastEvent)
{
    {
        codec.decodeRequest(head)
        } -> std::same_as<std::variant<request_summary, message_fault>>;
    {
        codec.encodeAttempt(head, bytes, attempt, lastEvent)
        } -> std::same_as<std::string>;
    {
        codec.decodeAnswer(head)
        } -> std::same_as<decoded_answer>;
    {
        codec.encodeRefusal(refused, id)
        } -> std::same_as<local_answer>;
    {
        codec.encodeFault(fault)
        } -> std::same_as<local_answer>;
};

/// Callbacks to the process that contains the core.
struct serving_observer {
    std::function<void(const log_record &)> log;
    std::function<void(const exchange_report &)> finished;
    std::function<void(const entry_effect::list_held_parts &)> listHeldParts;
    std::function<time_point()> now;
    /// Sends a message about a permit to another router. Without other routers there are none.
    std::function<void(const entry_effect::send_permit_message &)> sendPermitMessage = [](const entry_effect::send_permit_message &) {};
    /// Writes the status of a rollout to the object API; the result comes back as entry_event::rollout_status_answered.
    std::function<void(const entry_effect::write_rollout_status &)> writeRolloutStatus = [](const entry_effect::write_rollout_status &) {};
};

template<request_codec Codec>
class serving_core
{
public:
    serving_core(boost::asio::io_context &context, Codec codec, entry_options options, serving_observer observer);

    /// Applies an event to the reducer and carries out its effects.
    void post(const entry_core::event &event);

    /// Serves requests on an accepted connection of a caller.
    void accept(boost::asio::ip::tcp::socket socket);

    /// From now on each answer carries "Connection: close".
    void disableKeepAlive()
    {
        m_isStopping = true;
    }

    /// Closes idle connections of callers. Connections with a request close after its answer.
    /// @param idleFor Minimum idle time. Zero closes all of them; a longer time avoids closing while the next request is on its way.
    void closeIdleCallers(duration idleFor);

    const entry_core &entryCore() const
    {
        return m_reducer;
    }

    /// Cached prompts to announce to other routers, collected since the last call.
    upstream_set::outgoing_prompts takePrompts()
    {
        return m_reducer.takePrompts();
    }

    /// As entry_core::takeEvidence().
    std::vector<part_evidence> takeEvidence()
    {
        return m_reducer.takeEvidence(m_observer.now());
    }

    /// As entry_core::takeLimits().
    std::vector<limit_statement> takeLimits()
    {
        return m_reducer.takeLimits(m_observer.now());
    }

    std::size_t callerConnections() const
    {
        return m_clients.size();
    }

    std::size_t idleUpstreamConnections() const
    {
        return m_pool.size();
    }

    std::uint64_t connectionsOpened() const
    {
        return m_connectionsOpened;
    }

private:
    /// One attempt at an upstream: all that must not outlast it. The next attempt replaces it as a whole.
    struct attempt_state {
        std::uint64_t number = 0; // as in attempt_ref
        upstream_connection::pointer connection; // null once the answer is complete
        std::string connectionKey; // in the pool
        bool isStream = false;
        bool isResumable = false;
        bool isResume = false;
        http_head answerHead;
        answer_summary answer; // decoded from answerHead
        std::string answerBody; // received but not forwarded yet
        bool carriesEvents = false; // the answer is a stream of events
        bool isAnswerReported = false; // answer_received was posted
        bool isProgressReported = false; // answer_progressed was posted
        bool isRelayed = false; // the reducer decided that the caller gets this answer
    };

    /// One request, with its connection to the caller and its running attempt.
    struct exchange_state {
        client_connection::pointer client;
        http_head head;
        std::string body;
        std::string requestId;
        std::optional<attempt_state> attempt; // nothing while the request waits
        event_stream eventStream; // of all attempts; used if the answer carries events
        bool isAnswerBegun = false; // the caller has the head of an answer with chunked transfer coding
    };

    /// Identifies an attempt in callbacks. Numbers are not reused, so that a callback of an earlier attempt finds none.
    struct attempt_ref {
        exchange_id exchange = 0;
        std::uint64_t attempt = 0;
    };

    std::shared_ptr<const client_connection::handlers> clientHandlers();
    void requestReceived(const client_connection::pointer &client, http_head &&head, std::string &&body);
    void malformed(const client_connection::pointer &client, const message_fault &fault);
    void clientDisconnected(const client_connection::pointer &client);

    void carryOut(const entry_effect::start_attempt &attempt);
    void carryOut(const entry_effect::stop_attempt &stopped);
    void carryOut(const entry_effect::relay_answer &relayed);
    void carryOut(const entry_effect::list_held_parts &listed);
    void carryOut(const entry_effect::check_upstream &check);
    void carryOut(const entry_effect::send_permit_message &sent);
    void carryOut(const entry_effect::write_rollout_status &write);
    void carryOut(const entry_effect::refuse &refused);
    void carryOut(const entry_effect::cut_answer &answer);
    void carryOut(const exchange_report &report);
    void carryOut(const log_record &record);

    bool answerHead(attempt_ref ref, const http_head &head);
    void answerBody(attempt_ref ref, std::string &&piece);
    void answerDone(attempt_ref ref, bool reusable);
    void attemptFailed(attempt_ref ref, attempt_failure failure);
    /// @param isStreamExpected Used for an answer that does not state its type.
    static bool isEventStream(const http_head &head, bool isStreamExpected);
    /// Posts answer_received. Unless the reducer decides to relay the answer, the attempt is over, and another one may be running.
    /// @return The exchange if its answer is relayed; otherwise nullptr.
    exchange_state *reportAnswer(attempt_ref ref);
    /// Posts answer_progressed once enough of the stream was received.
    void reportProgress(attempt_ref ref, exchange_state &state);
    /// Sends the buffered body to the caller, and pauses reading from the upstream if the caller is slow (backpressure).
    void forwardBody(exchange_state &state);
    /// Fails an attempt whose answer cannot be used.
    void rejectAnswer(attempt_ref ref, attempt_failure failure);
    /// Ends the running attempt, if there is one, and closes its connection.
    static void endAttempt(exchange_state &state);
    /// How the answer of the running attempt ended. Call before the connection is released.
    static answer_end endOf(const exchange_state &state);
    exchange_state *find(exchange_id id);
    /// @return The exchange whose running attempt this is; nullptr if the attempt is over.
    exchange_state *find(attempt_ref ref);
    /// Ends attempts whose requests do not reach their upstreams.
    void checkDeliveries();
    void tick();

    boost::asio::io_context &m_context;
    Codec m_codec;
    serving_observer m_observer;
    entry_core m_reducer;
    caller_limits m_defaultLimits; // in force until the first rules arrive
    std::shared_ptr<const client_connection::handlers> m_clientHandlers;
    std::unordered_set<client_connection::pointer> m_clients;
    std::unordered_map<exchange_id, exchange_state> m_exchanges;
    std::unordered_map<client_connection *, exchange_id> m_exchangeByClient; // at most one exchange for each connection
    connection_pool m_pool;
    boost::asio::steady_timer m_tickTimer;
    time_point m_lastSweepAt;
    exchange_id m_lastExchange = 0;
    std::uint64_t m_lastAttempt = 0;
    std::uint64_t m_connectionsOpened = 0;
    bool m_isStopping = false;
    event_queue<entry_core> m_events;
};

} // namespace nutmegtally

#include "serving/serving_core_impl.h"
