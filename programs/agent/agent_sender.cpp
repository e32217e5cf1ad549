#include "agent/agent_sender.h"

#include "daemon/daemon_clock.h"
#include "serving/serving_limits.h"

namespace nutmegtally
{

agent_sender::agent_sender(boost::asio::io_context &context, http_exchange::pointer exchange, std::shared_ptr<agent_stream> stream,
                           duration keepalive, sender_callbacks callbacks)
    : m_exchange(std::move(exchange))
    , m_stream(std::move(stream))
    , m_keepaliveInterval(keepalive)
    , m_callbacks(std::move(callbacks))
    , m_keepaliveTimer(context)
{
}

bool agent_sender::start(std::uint64_t seq)
{
    // The stream keeps only a weak reference; the connection's callbacks keep the sender alive until finish().
    const std::weak_ptr<agent_sender> weak = weak_from_this();
    m_generation = m_stream->attach(seq, [weak] {
        if (const auto self = weak.lock()) {
            self->sendPending();
        }
    });
    if (m_generation == 0) {
        return false;
    }
    const auto self = shared_from_this();
    m_exchange->setCallbacks([self] { self->finish(); }, [self] { self->sendPending(); });
    m_exchange->startStream(200, "application/x-ndjson");
    sendPending();
    return true;
}

void agent_sender::sendPending()
{
    if (m_isSending || m_isFinished) {
        return; // a call that is already in the loop below sends the new records
    }
    m_isSending = true;
    while (!m_isFinished && m_exchange->pendingOutputBytes() < serving_limits::outputHighWatermarkBytes) {
        stream_record record;
        const agent_stream::next_result kind = m_stream->next(m_generation, record);
        if (kind == agent_stream::next_result::replaced) {
            m_exchange->abort();
            finish();
            break;
        }
        if (kind == agent_stream::next_result::idle) {
            break;
        }
        send(record);
        if (record.kind == record_kind::end || record.kind == record_kind::refused) {
            m_exchange->endStream();
            finish();
        }
    }
    m_isSending = false;
    if (!m_isFinished) {
        startKeepaliveTimer();
    }
}

void agent_sender::send(stream_record &record)
{
    record.request = m_stream->header().attempt.request;
    if (record.kind == record_kind::data) {
        m_checksum.add(record.data);
    }
    if (record.kind == record_kind::end) {
        record.bytes = m_checksum.bytes();
        record.checksum = m_checksum.value();
    }
    if (record.kind != record_kind::data && record.kind != record_kind::keepalive) {
        m_callbacks.addLoadReport(record);
    }
    m_exchange->write(encodeRecord(record) + "\n");
}

void agent_sender::startKeepaliveTimer()
{
    m_keepaliveTimer.expires_after(m_keepaliveInterval);
    m_keepaliveTimer.async_wait([self = shared_from_this()](const boost::system::error_code &stopped) {
        if (stopped || self->m_isFinished) {
            return;
        }
        if (self->m_exchange->pendingOutputBytes() == 0) {
            stream_record record;
            record.kind = record_kind::keepalive;
            self->send(record);
        }
        self->startKeepaliveTimer();
    });
}

void agent_sender::finish()
{
    if (m_isFinished) {
        return;
    }
    m_isFinished = true;
    m_keepaliveTimer.cancel();
    m_stream->detach(m_generation, steadyNow());
    m_exchange->setCallbacks(nullptr, nullptr);
    m_callbacks.ended();
}

} // namespace nutmegtally
