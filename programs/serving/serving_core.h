// Event-driven serving core: carries bytes between callers and upstreams as the reducer decides. One loop, one thread.
// What differs between interfaces is a codec: how a request is recognised and how an answer or refusal is written.
#pragma once

#include "serving/client_connection.h"
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

/// An answer's head as a codec reads it.
struct decoded_answer {
    answer_summary summary;
    std::optional<std::string> requestId; // the request that it says it belongs to
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

/// What the core tells the process around it.
struct serving_observer {
    std::function<void(const log_record &)> log;
    std::function<void(const exchange_report &)> finished;
    std::function<void(const entry_effect::list_held_parts &)> listHeldParts;
    std::function<time_point()> now;
};

template<request_codec Codec>
class serving_core
{
public:
    serving_core(boost::asio::io_context &context, Codec codec, entry_options options, serving_observer observer);

    /// Gives an event to the reducer and carries out its effects.
    void post(const entry_core::event &event);

    /// Takes over an accepted connection of a caller.
    void accept(boost::asio::ip::tcp::socket socket);

    /// From now on each answer says that its connection closes.
    void disableKeepAlive()
    {
        m_isStopping = true;
    }

    /// Ends connections of callers as they become idle.
    /// @param all False: only those that have been idle for a while, so that no request crosses the close.
    void closeIdleCallers(duration idleFor);

    const entry_core &entryCore() const
    {
        return m_reducer;
    }

    /// Prompts to tell other routers of, since the last call.
    upstream_set::outgoing_prompts takePrompts()
    {
        return m_reducer.takePrompts();
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
    /// One request with both of its connections.
    struct exchange_state {
        client_connection::pointer client;
        http_head head;
        std::string body;
        std::string requestId;
        upstream_connection::pointer upstream; // of the running attempt
        std::string upstreamKey; // in the pool
        bool isStream = false;
        bool isResumable = false;
        http_head answerHead;
        answer_summary answer; // what answerHead says
        std::string answerBody; // not passed on yet
        bool isAnswerReported = false; // the reducer has heard of this attempt's answer
        bool isRelaying = false; // the answer has begun at the caller
        bool isChunked = false; // it goes to the caller in pieces
        event_stream eventStream; // of a stream that may go on elsewhere
    };

    std::shared_ptr<const client_connection::handlers> clientHandlers();
    void requestReceived(const client_connection::pointer &client, http_head &&head, std::string &&body);
    void malformed(const client_connection::pointer &client, const message_fault &fault);
    void clientDisconnected(const client_connection::pointer &client);

    void carryOut(const entry_effect::start_attempt &attempt);
    void carryOut(const entry_effect::stop_attempt &stopped);
    void carryOut(const entry_effect::relay_answer &relayed);
    void carryOut(const entry_effect::list_held_parts &listed);
    void carryOut(const entry_effect::refuse &refused);
    void carryOut(const entry_effect::cut_answer &answer);
    void carryOut(const exchange_report &report);
    void carryOut(const log_record &record);

    bool answerHead(exchange_id id, const http_head &head);
    void answerBody(exchange_id id, std::string &&piece);
    void answerDone(exchange_id id, bool reusable);
    void attemptFailed(exchange_id id, attempt_failure failure);
    void reportAnswer(exchange_id id, exchange_state &state);
    void forwardBody(exchange_state &state);
    void releaseUpstream(exchange_state &state, bool reusable);
    static void closeUpstream(exchange_state &state);
    exchange_state *find(exchange_id id);
    void tick();

    boost::asio::io_context &m_context;
    Codec m_codec;
    serving_observer m_observer;
    entry_core m_reducer;
    caller_limits m_defaultLimits; // until the first rules are known
    std::shared_ptr<const client_connection::handlers> m_clientHandlers;
    std::unordered_set<client_connection::pointer> m_clients;
    std::unordered_map<exchange_id, exchange_state> m_exchanges;
    std::unordered_map<client_connection *, exchange_id> m_exchangeByClient; // a caller's connection has one request at a time
    connection_pool m_pool;
    boost::asio::steady_timer m_tickTimer;
    time_point m_lastSweepAt;
    exchange_id m_lastExchange = 0;
    std::uint64_t m_connectionsOpened = 0;
    bool m_isStopping = false;
    event_queue<entry_core> m_events;
};

} // namespace nutmegtally

#include "serving/serving_core_impl.h"
