// Member definitions of the serving_core template; included by serving_core.h.
#pragma once

#include "serving/serving_core.h"

namespace nutmegtally
{

template<request_codec Codec>
serving_core<Codec>::serving_core(boost::asio::io_context &context, Codec codec, entry_options options, serving_observer observer)
    : m_context(context)
    , m_codec(std::move(codec))
    , m_observer(std::move(observer))
    , m_reducer(std::move(options))
    , m_clientHandlers(clientHandlers())
    , m_tickTimer(context)
    , m_lastSweepAt(m_observer.now())
{
    tick();
}

template<request_codec Codec>
std::shared_ptr<const client_connection::handlers> serving_core<Codec>::clientHandlers()
{
    auto handlers = std::make_shared<client_connection::handlers>();
    handlers->request = [this](const client_connection::pointer &client, http_head &&head, std::string &&body) {
        requestReceived(client, std::move(head), std::move(body));
    };
    handlers->malformed = [this](const client_connection::pointer &client, const message_fault &fault) { malformed(client, fault); };
    handlers->disconnected = [this](const client_connection::pointer &client) { clientDisconnected(client); };
    handlers->closed = [this](const client_connection::pointer &client) { m_clients.erase(client); };
    handlers->drained = [this](const client_connection::pointer &client) {
        const auto found = m_exchangeByClient.find(client.get());
        exchange_state *state = found == m_exchangeByClient.end() ? nullptr : find(found->second);
        if (state != nullptr && state->attempt && state->attempt->connection) {
            state->attempt->connection->setReadingPaused(false);
        }
    };
    handlers->isStopping = [this] { return m_isStopping; };
    handlers->limits = [this]() -> const caller_limits & { return m_reducer.rules() ? m_reducer.rules()->limits : m_defaultLimits; };
    handlers->now = m_observer.now;
    return handlers;
}

template<request_codec Codec>
void serving_core<Codec>::post(const entry_core::event &event)
{
    m_events.post(m_reducer, event, m_observer.now, [this](const auto &effect) { carryOut(effect); });
}

template<request_codec Codec>
void serving_core<Codec>::accept(boost::asio::ip::tcp::socket socket)
{
    auto client = std::make_shared<client_connection>(std::move(socket), m_clientHandlers);
    m_clients.insert(client);
    client->start();
}

template<request_codec Codec>
void serving_core<Codec>::closeIdleCallers(duration idleFor)
{
    const time_point now = m_observer.now();
    const std::vector<client_connection::pointer> clients(m_clients.begin(), m_clients.end());
    for (const client_connection::pointer &client : clients) {
        if (!client->isIdle() || now - client->idleSince() >= idleFor) {
            client->closeWhenIdle();
        }
    }
}

template<request_codec Codec>
void serving_core<Codec>::requestReceived(const client_connection::pointer &client, http_head &&head, std::string &&body)
{
    const auto decoded = m_codec.decodeRequest(head);
    if (const auto *fault = std::get_if<message_fault>(&decoded)) {
        malformed(client, *fault);
        return;
    }
    const exchange_id id = ++m_lastExchange;
    exchange_state &state = m_exchanges[id];
    state.client = client;
    state.head = std::move(head);
    state.body = std::move(body);
    state.requestId = std::get<request_summary>(decoded).requestId;
    m_exchangeByClient[client.get()] = id;
    post(entry_event::request_received {id, std::get<request_summary>(decoded)});
}

template<request_codec Codec>
void serving_core<Codec>::malformed(const client_connection::pointer &client, const message_fault &fault)
{
    log_line line;
    line.with("status", fault.status).with("fault", fault.text);
    carryOut(log_record {log_event::requestMalformed, line.take()});
    const local_answer answer = m_codec.encodeFault(fault);
    client->answer(answer.status, reasonPhrase(answer.status), answer.fields, answer.body);
}

template<request_codec Codec>
void serving_core<Codec>::clientDisconnected(const client_connection::pointer &client)
{
    const auto found = m_exchangeByClient.find(client.get());
    if (found == m_exchangeByClient.end()) {
        return;
    }
    const exchange_id id = found->second;
    m_exchangeByClient.erase(found);
    post(entry_event::caller_left {id});
    if (exchange_state *state = find(id)) {
        endAttempt(*state);
    }
    m_exchanges.erase(id);
}

template<request_codec Codec>
typename serving_core<Codec>::exchange_state *serving_core<Codec>::find(exchange_id id)
{
    const auto found = m_exchanges.find(id);
    return found == m_exchanges.end() ? nullptr : &found->second;
}

template<request_codec Codec>
typename serving_core<Codec>::exchange_state *serving_core<Codec>::find(attempt_ref ref)
{
    exchange_state *state = find(ref.exchange);
    return state != nullptr && state->attempt && state->attempt->number == ref.attempt ? state : nullptr;
}

template<request_codec Codec>
void serving_core<Codec>::carryOut(const entry_effect::start_attempt &attempt)
{
    exchange_state *state = find(attempt.exchange);
    if (state == nullptr) {
        return;
    }
    endAttempt(*state);
    const attempt_ref ref {attempt.exchange, ++m_lastAttempt};
    attempt_state &running = state->attempt.emplace();
    running.number = ref.attempt;
    running.connectionKey = attempt.instance + '@' + attempt.address;
    running.isStream = attempt.isStream;
    running.isResumable = attempt.isResumable;
    running.isResume = attempt.isResume;
    state->eventStream.startAttempt();
    const std::optional<std::uint64_t> resumeAfter = attempt.isResume ? state->eventStream.lastEventId() : std::nullopt;
    std::string request = m_codec.encodeAttempt(state->head, state->body.size(), attempt, resumeAfter);
    request += state->body;
    const bool isHeadRequest = state->head.method == "HEAD";

    upstream_connection::handlers handlers;
    handlers.head = [this, ref](const http_head &head) { return answerHead(ref, head); };
    handlers.body = [this, ref](std::string &&piece) { answerBody(ref, std::move(piece)); };
    handlers.done = [this, ref](bool reusable) { answerDone(ref, reusable); };
    handlers.failed = [this, ref](attempt_failure failure) { attemptFailed(ref, failure); };

    running.connection = m_pool.acquire(running.connectionKey, m_observer.now());
    if (running.connection) {
        running.connection->send(std::move(request), isHeadRequest, std::move(handlers));
        return;
    }
    const auto peer = parseEndpoint(attempt.address);
    if (!peer) {
        endAttempt(*state);
        post(entry_event::attempt_failed {attempt.exchange, attempt_failure::unreachable});
        return;
    }
    ++m_connectionsOpened;
    running.connection = std::make_shared<upstream_connection>(m_context);
    running.connection->open(*peer, std::min(attempt.timeLeft, serving_limits::connectTimeout), std::move(request), isHeadRequest,
                             std::move(handlers));
}

template<request_codec Codec>
bool serving_core<Codec>::answerHead(attempt_ref ref, const http_head &head)
{
    exchange_state *state = find(ref);
    if (state == nullptr) {
        return false;
    }
    attempt_state &attempt = *state->attempt;
    const decoded_answer answer = m_codec.decodeAnswer(head);
    // An answer without a request id may belong to an earlier request, unless it is the first on its connection. Even then it is
    // accepted only if it states that the request did not run.
    const bool isFirstAnswer = attempt.connection->answerCount() == 0;
    const bool matchesRequest = answer.requestId ? *answer.requestId == state->requestId : isFirstAnswer && answer.summary.notRun;
    if (!matchesRequest) {
        log_line line;
        line.with("request", state->requestId)
            .with("upstream", attempt.connectionKey)
            .with("answer_to", answer.requestId.value_or(""))
            .with("status", head.status);
        carryOut(log_record {log_event::answerForeign, line.take()});
        return false;
    }
    attempt.answerHead = head;
    attempt.answer = answer.summary;
    const bool isSuccess = head.status >= 200 && head.status < 300;
    attempt.carriesEvents = isSuccess && isEventStream(head, attempt.isStream);
    if (attempt.isResume && isSuccess && !attempt.carriesEvents) {
        rejectAnswer(ref, attempt_failure::damaged); // its body cannot continue the stream
        return false;
    }
    if (attempt.isStream && isSuccess) {
        reportAnswer(ref);
    }
    return true;
}

template<request_codec Codec>
bool serving_core<Codec>::isEventStream(const http_head &head, bool isStreamExpected)
{
    constexpr std::string_view mediaType = "text/event-stream";
    const std::string *type = head.find("content-type");
    return type == nullptr ? isStreamExpected : equalsIgnoreCase(std::string_view(*type).substr(0, mediaType.size()), mediaType);
}

template<request_codec Codec>
typename serving_core<Codec>::exchange_state *serving_core<Codec>::reportAnswer(attempt_ref ref)
{
    exchange_state *state = find(ref);
    state->attempt->isAnswerReported = true;
    post(entry_event::answer_received {ref.exchange, state->attempt->answer});
    state = find(ref);
    if (state != nullptr && !state->attempt->isRelayed) {
        endAttempt(*state);
        return nullptr;
    }
    return state;
}

template<request_codec Codec>
void serving_core<Codec>::answerBody(attempt_ref ref, std::string &&piece)
{
    exchange_state *state = find(ref);
    if (state == nullptr) {
        return;
    }
    attempt_state &attempt = *state->attempt;
    if (attempt.carriesEvents && attempt.isStream && attempt.isResumable) {
        attempt.answerBody += state->eventStream.feed(piece);
        if (state->eventStream.isEventTooLong()) {
            rejectAnswer(ref, attempt_failure::damaged);
            return;
        }
    } else {
        if (attempt.carriesEvents) {
            state->eventStream.observe(piece);
        }
        attempt.answerBody += piece;
    }
    if (!attempt.isAnswerReported && attempt.answerBody.size() > serving_limits::maxBufferedAnswerBytes) {
        state = reportAnswer(ref);
    }
    if (state != nullptr && state->attempt->isRelayed) {
        forwardBody(*state);
        reportProgress(ref, *state);
    }
}

template<request_codec Codec>
void serving_core<Codec>::reportProgress(attempt_ref ref, exchange_state &state)
{
    if (!state.attempt->isProgressReported && state.eventStream.events() >= serving_limits::eventsPastStart) {
        state.attempt->isProgressReported = true;
        post(entry_event::answer_progressed {ref.exchange});
    }
}

template<request_codec Codec>
void serving_core<Codec>::forwardBody(exchange_state &state)
{
    attempt_state &attempt = *state.attempt;
    state.client->continueAnswer(attempt.answerBody);
    attempt.answerBody.clear();
    if (state.client->pendingOutputBytes() > serving_limits::outputHighWatermarkBytes && attempt.connection) {
        attempt.connection->setReadingPaused(true);
    }
}

template<request_codec Codec>
void serving_core<Codec>::carryOut(const entry_effect::relay_answer &relayed)
{
    exchange_state *state = find(relayed.exchange);
    if (state == nullptr || !state->attempt) {
        return;
    }
    attempt_state &attempt = *state->attempt;
    attempt.isRelayed = true;
    if (state->isAnswerBegun) {
        return; // a resumed stream continues the answer of its first upstream
    }
    std::vector<header_field> fields;
    for (const header_field &field : attempt.answerHead.fields) {
        if (!isHopByHop(attempt.answerHead, field.name) && !equalsIgnoreCase(field.name, "content-length")) {
            fields.push_back(field);
        }
    }
    // A complete answer is sent with a Content-Length, one whose upstream is still sending with chunked transfer coding.
    state->isAnswerBegun = attempt.connection && attempt.connection->isBusy();
    if (state->isAnswerBegun) {
        state->client->beginAnswer(attempt.answerHead.status, attempt.answerHead.reason, std::move(fields));
        forwardBody(*state);
    } else {
        state->client->answer(attempt.answerHead.status, attempt.answerHead.reason, std::move(fields), attempt.answerBody);
    }
}

template<request_codec Codec>
void serving_core<Codec>::answerDone(attempt_ref ref, bool reusable)
{
    exchange_state *state = find(ref);
    if (state == nullptr) {
        return;
    }
    const answer_end end = endOf(*state);
    if (state->attempt->carriesEvents && !state->eventStream.isWhole(end.framing)) {
        rejectAnswer(ref, attempt_failure::lost);
        return;
    }
    if (reusable) {
        m_pool.release(state->attempt->connectionKey, state->attempt->connection, m_observer.now());
    }
    state->attempt->connection.reset();
    if (!state->attempt->isAnswerReported) {
        state = reportAnswer(ref);
    }
    if (state == nullptr) {
        return;
    }
    if (state->isAnswerBegun) {
        forwardBody(*state);
        state->client->endAnswer();
    }
    m_exchangeByClient.erase(state->client.get());
    m_exchanges.erase(ref.exchange);
    post(entry_event::answer_finished {ref.exchange, end});
}

template<request_codec Codec>
answer_end serving_core<Codec>::endOf(const exchange_state &state)
{
    return {state.attempt->connection->framing(), state.eventStream.unfinishedBytes()};
}

template<request_codec Codec>
void serving_core<Codec>::rejectAnswer(attempt_ref ref, attempt_failure failure)
{
    find(ref)->attempt->connection->close();
    attemptFailed(ref, failure);
}

template<request_codec Codec>
void serving_core<Codec>::attemptFailed(attempt_ref ref, attempt_failure failure)
{
    exchange_state *state = find(ref);
    if (state == nullptr) {
        return;
    }
    const answer_end end = endOf(*state);
    const bool wasRelayed = state->attempt->isRelayed;
    state->attempt.reset();
    if (wasRelayed) {
        post(entry_event::stream_broken {ref.exchange, failure, end});
        return;
    }
    post(entry_event::attempt_failed {ref.exchange, failure});
}

template<request_codec Codec>
void serving_core<Codec>::carryOut(const entry_effect::stop_attempt &stopped)
{
    exchange_state *state = find(stopped.exchange);
    if (state != nullptr) {
        endAttempt(*state);
    }
}

template<request_codec Codec>
void serving_core<Codec>::endAttempt(exchange_state &state)
{
    if (state.attempt && state.attempt->connection) {
        state.attempt->connection->close();
    }
    state.attempt.reset();
}

template<request_codec Codec>
void serving_core<Codec>::carryOut(const entry_effect::refuse &refused)
{
    exchange_state *state = find(refused.exchange);
    if (state == nullptr) {
        return;
    }
    const local_answer answer = m_codec.encodeRefusal(refused, state->requestId);
    endAttempt(*state);
    const client_connection::pointer client = state->client;
    m_exchangeByClient.erase(client.get());
    m_exchanges.erase(refused.exchange);
    client->answer(answer.status, reasonPhrase(answer.status), answer.fields, answer.body);
}

template<request_codec Codec>
void serving_core<Codec>::carryOut(const entry_effect::cut_answer &answer)
{
    exchange_state *state = find(answer.exchange);
    if (state == nullptr) {
        return;
    }
    endAttempt(*state);
    const client_connection::pointer client = state->client;
    m_exchangeByClient.erase(client.get());
    m_exchanges.erase(answer.exchange);
    client->abort();
}

template<request_codec Codec>
void serving_core<Codec>::carryOut(const entry_effect::list_held_parts &listed)
{
    m_observer.listHeldParts(listed);
}

template<request_codec Codec>
void serving_core<Codec>::carryOut(const entry_effect::check_upstream &check)
{
    const auto peer = parseEndpoint(check.address);
    if (!peer) {
        post(entry_event::upstream_checked {check.upstream, false});
        return;
    }
    checkConnection(m_context, *peer, serving_limits::connectTimeout, [this, upstream = check.upstream](bool isRefused) {
        post(entry_event::upstream_checked {upstream, isRefused});
    });
}

template<request_codec Codec>
void serving_core<Codec>::carryOut(const entry_effect::send_permit_message &sent)
{
    m_observer.sendPermitMessage(sent);
}

template<request_codec Codec>
void serving_core<Codec>::carryOut(const entry_effect::write_rollout_status &write)
{
    m_observer.writeRolloutStatus(write);
}

template<request_codec Codec>
void serving_core<Codec>::carryOut(const exchange_report &report)
{
    m_observer.finished(report);
}

template<request_codec Codec>
void serving_core<Codec>::carryOut(const log_record &record)
{
    m_observer.log(record);
}

template<request_codec Codec>
void serving_core<Codec>::checkDeliveries()
{
    std::vector<upstream_connection::pointer> connections; // a failure changes the exchanges
    for (const auto &[number, state] : m_exchanges) {
        if (state.attempt && state.attempt->connection) {
            connections.push_back(state.attempt->connection);
        }
    }
    for (const upstream_connection::pointer &connection : connections) {
        connection->checkDelivery();
    }
}

template<request_codec Codec>
void serving_core<Codec>::tick()
{
    const time_point now = m_observer.now();
    post(entry_event::tick {});
    if (now - m_lastSweepAt >= serving_limits::sweepInterval) {
        m_lastSweepAt = now;
        m_pool.closeExpired(now);
        const std::vector<client_connection::pointer> clients(m_clients.begin(), m_clients.end());
        for (const client_connection::pointer &client : clients) {
            client->checkTimeouts(now);
        }
        checkDeliveries();
    }
    m_tickTimer.expires_after(m_reducer.openExchanges() > 0 ? serving_limits::busyTickInterval : serving_limits::idleTickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code &fault) {
        if (!fault) {
            tick();
        }
    });
}

} // namespace nutmegtally
