// Implementation of serving_core; included by it.
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
    , m_sweptAt(m_observer.now())
{
    tick();
}

template<request_codec Codec>
std::shared_ptr<const client_connection::handlers> serving_core<Codec>::clientHandlers()
{
    auto handlers = std::make_shared<client_connection::handlers>();
    handlers->request = [this](const client_connection::pointer &client, http_head &&head, std::string &&body) {
        requestIn(client, std::move(head), std::move(body));
    };
    handlers->malformed = [this](const client_connection::pointer &client, const message_fault &fault) { malformed(client, fault); };
    handlers->left = [this](const client_connection::pointer &client) { clientLeft(client); };
    handlers->closed = [this](const client_connection::pointer &client) { m_clients.erase(client); };
    handlers->drained = [this](const client_connection::pointer &client) {
        const auto found = m_exchangeOf.find(client.get());
        relay *work = found == m_exchangeOf.end() ? nullptr : find(found->second);
        if (work != nullptr && work->upstream) {
            work->upstream->pause(false);
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
void serving_core<Codec>::requestIn(const client_connection::pointer &client, http_head &&head, std::string &&body)
{
    const auto decoded = m_codec.decodeRequest(head);
    if (const auto *fault = std::get_if<message_fault>(&decoded)) {
        malformed(client, *fault);
        return;
    }
    const exchange_id id = ++m_lastExchange;
    relay &work = m_relays[id];
    work.client = client;
    work.head = std::move(head);
    work.body = std::move(body);
    work.requestId = std::get<request_summary>(decoded).requestId;
    m_exchangeOf[client.get()] = id;
    post(entry_event::request_received {id, std::get<request_summary>(decoded)});
}

template<request_codec Codec>
void serving_core<Codec>::malformed(const client_connection::pointer &client, const message_fault &fault)
{
    log_line line;
    line.with("status", fault.status).with("fault", fault.text);
    carryOut(log_record {log_event::requestMalformed, line.take()});
    const own_answer answer = m_codec.encodeFault(fault);
    client->answer(answer.status, reasonOf(answer.status), answer.fields, answer.body);
}

template<request_codec Codec>
void serving_core<Codec>::clientLeft(const client_connection::pointer &client)
{
    const auto found = m_exchangeOf.find(client.get());
    if (found == m_exchangeOf.end()) {
        return;
    }
    const exchange_id id = found->second;
    m_exchangeOf.erase(found);
    post(entry_event::caller_left {id});
    if (relay *work = find(id)) {
        dropUpstream(*work);
    }
    m_relays.erase(id);
}

template<request_codec Codec>
typename serving_core<Codec>::relay *serving_core<Codec>::find(exchange_id id)
{
    const auto found = m_relays.find(id);
    return found == m_relays.end() ? nullptr : &found->second;
}

template<request_codec Codec>
void serving_core<Codec>::carryOut(const entry_effect::start_attempt &attempt)
{
    relay *work = find(attempt.exchange);
    if (work == nullptr) {
        return;
    }
    dropUpstream(*work);
    work->isStream = attempt.isStream;
    work->isResumable = attempt.isResumable;
    work->isOffered = false;
    work->answerBody.clear();
    work->events.restart();
    work->upstreamKey = attempt.instance + '@' + attempt.address;
    const std::optional<std::uint64_t> resumeAfter = attempt.isResume ? work->events.lastId() : std::nullopt;
    std::string request = m_codec.encodeAttempt(work->head, work->body.size(), attempt, resumeAfter);
    request += work->body;
    const bool isHead = work->head.method == "HEAD";

    const exchange_id id = attempt.exchange;
    upstream_connection::handlers handlers;
    handlers.head = [this, id](const http_head &head) { return answerHead(id, head); };
    handlers.body = [this, id](std::string &&piece) { answerBody(id, std::move(piece)); };
    handlers.done = [this, id](bool reusable) { answerDone(id, reusable); };
    handlers.failed = [this, id](attempt_failure failure) { attemptFailed(id, failure); };

    work->upstream = m_pool.take(work->upstreamKey, m_observer.now());
    if (work->upstream) {
        work->upstream->send(std::move(request), isHead, std::move(handlers));
        return;
    }
    const auto peer = parseEndpoint(attempt.address);
    if (!peer) {
        post(entry_event::attempt_failed {id, attempt_failure::unreachable});
        return;
    }
    ++m_connectionsOpened;
    work->upstream = std::make_shared<upstream_connection>(m_context);
    work->upstream->open(*peer, std::min(attempt.timeLeft, serving_limits::connectTimeout), std::move(request), isHead,
                         std::move(handlers));
}

template<request_codec Codec>
bool serving_core<Codec>::answerHead(exchange_id id, const http_head &head)
{
    relay *work = find(id);
    if (work == nullptr) {
        return false;
    }
    const decoded_answer answer = m_codec.decodeAnswer(head);
    // Without an id only the first answer of a connection can be trusted, and only to say that nothing ran.
    const bool isFirst = work->upstream->answers() == 0;
    const bool belongs = answer.requestId ? *answer.requestId == work->requestId : isFirst && answer.summary.notRun;
    if (!belongs) {
        log_line line;
        line.with("request", work->requestId)
            .with("upstream", work->upstreamKey)
            .with("answer_to", answer.requestId.value_or(""))
            .with("status", head.status);
        carryOut(log_record {log_event::answerForeign, line.take()});
        return false;
    }
    work->answerHead = head;
    work->answer = answer.summary;
    const bool isSuccess = head.status >= 200 && head.status < 300;
    if (work->isStream && isSuccess) {
        offer(id, *work);
    }
    return true;
}

template<request_codec Codec>
void serving_core<Codec>::offer(exchange_id id, relay &work)
{
    work.isOffered = true;
    post(entry_event::answer_received {id, work.answer});
}

template<request_codec Codec>
void serving_core<Codec>::answerBody(exchange_id id, std::string &&piece)
{
    relay *work = find(id);
    if (work == nullptr) {
        return;
    }
    if (work->isStream && work->isResumable && work->isOffered) {
        work->answerBody += work->events.take(piece);
        if (work->events.isOverlong()) {
            work->upstream->close();
            attemptFailed(id, attempt_failure::damaged);
            return;
        }
    } else {
        work->answerBody += piece;
    }
    if (!work->isOffered && work->answerBody.size() > serving_limits::wholeAnswerBytes) {
        offer(id, *work);
        work = find(id);
    }
    if (work != nullptr && work->isRelaying && work->isOffered) {
        passOn(*work);
    }
}

template<request_codec Codec>
void serving_core<Codec>::passOn(relay &work)
{
    work.client->continueAnswer(work.answerBody);
    work.answerBody.clear();
    if (work.client->waitingOutput() > serving_limits::outputBytes && work.upstream) {
        work.upstream->pause(true);
    }
}

template<request_codec Codec>
void serving_core<Codec>::carryOut(const entry_effect::relay_answer &relayed)
{
    relay *work = find(relayed.exchange);
    if (work == nullptr || work->isRelaying) {
        return; // a stream that goes on at another upstream has its head already
    }
    work->isRelaying = true;
    std::vector<header_field> fields;
    for (const header_field &field : work->answerHead.fields) {
        if (!isHopByHop(work->answerHead, field.name) && !sameName(field.name, "content-length")) {
            fields.push_back(field);
        }
    }
    // A whole answer goes out in one piece, when answerDone() has written it.
    work->isChunked = work->upstream && work->upstream->isBusy();
    if (work->isChunked) {
        work->client->beginAnswer(work->answerHead.status, work->answerHead.reason, std::move(fields));
        passOn(*work);
    } else {
        work->client->answer(work->answerHead.status, work->answerHead.reason, std::move(fields), work->answerBody);
    }
}

template<request_codec Codec>
void serving_core<Codec>::answerDone(exchange_id id, bool reusable)
{
    relay *work = find(id);
    if (work == nullptr) {
        return;
    }
    release(*work, reusable);
    if (!work->isOffered) {
        offer(id, *work);
        work = find(id);
    }
    if (work == nullptr || !work->isRelaying) {
        return; // the reducer chose another way
    }
    if (work->isChunked) {
        work->answerBody += work->events.unfinished();
        passOn(*work);
        work->client->endAnswer();
    }
    m_exchangeOf.erase(work->client.get());
    m_relays.erase(id);
    post(entry_event::answer_finished {id});
}

template<request_codec Codec>
void serving_core<Codec>::release(relay &work, bool reusable)
{
    if (reusable) {
        m_pool.give(work.upstreamKey, work.upstream, m_observer.now());
    }
    work.upstream.reset();
}

template<request_codec Codec>
void serving_core<Codec>::attemptFailed(exchange_id id, attempt_failure failure)
{
    relay *work = find(id);
    if (work == nullptr) {
        return;
    }
    work->upstream.reset();
    if (work->isRelaying && work->isOffered) {
        post(entry_event::stream_broken {id});
        return;
    }
    post(entry_event::attempt_failed {id, failure});
}

template<request_codec Codec>
void serving_core<Codec>::carryOut(const entry_effect::stop_attempt &stopped)
{
    relay *work = find(stopped.exchange);
    if (work != nullptr) {
        dropUpstream(*work);
    }
}

template<request_codec Codec>
void serving_core<Codec>::dropUpstream(relay &work)
{
    if (work.upstream) {
        work.upstream->close();
        work.upstream.reset();
    }
}

template<request_codec Codec>
void serving_core<Codec>::carryOut(const entry_effect::refuse &refused)
{
    relay *work = find(refused.exchange);
    if (work == nullptr) {
        return;
    }
    const own_answer answer = m_codec.encodeRefusal(refused, work->requestId);
    dropUpstream(*work);
    const client_connection::pointer client = work->client;
    m_exchangeOf.erase(client.get());
    m_relays.erase(refused.exchange);
    client->answer(answer.status, reasonOf(answer.status), answer.fields, answer.body);
}

template<request_codec Codec>
void serving_core<Codec>::carryOut(const entry_effect::cut_answer &answer)
{
    relay *work = find(answer.exchange);
    if (work == nullptr) {
        return;
    }
    dropUpstream(*work);
    const client_connection::pointer client = work->client;
    m_exchangeOf.erase(client.get());
    m_relays.erase(answer.exchange);
    client->abort();
}

template<request_codec Codec>
void serving_core<Codec>::carryOut(const entry_effect::list_held_parts &listed)
{
    m_observer.listHeldParts(listed);
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
void serving_core<Codec>::tick()
{
    const time_point now = m_observer.now();
    post(entry_event::tick {});
    if (now - m_sweptAt >= serving_limits::sweepInterval) {
        m_sweptAt = now;
        m_pool.checkTime(now);
        const std::vector<client_connection::pointer> clients(m_clients.begin(), m_clients.end());
        for (const client_connection::pointer &client : clients) {
            client->checkTime(now);
        }
    }
    m_tickTimer.expires_after(m_reducer.openExchanges() > 0 ? serving_limits::busyTick : serving_limits::quietTick);
    m_tickTimer.async_wait([this](const boost::system::error_code &fault) {
        if (!fault) {
            tick();
        }
    });
}

} // namespace nutmegtally
