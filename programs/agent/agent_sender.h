// Sends the records of a stream to a router over one connection. Stops reading the stream while too much output is pending.
#pragma once

#include "agent/agent_stream.h"
#include "serving/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace nutmegtally
{

/// Callbacks from a sender to the agent.
struct sender_callbacks {
    std::function<void(stream_record &)> addLoadReport; // adds load and configuration version; not called for data and keepalive records
    std::function<void()> ended; // called once: the stream was sent, or the connection was lost or replaced
};

class agent_sender : public std::enable_shared_from_this<agent_sender>
{
public:
    /// @param keepalive Time without a record after which a keepalive record is sent.
    agent_sender(boost::asio::io_context &context, http_exchange::pointer exchange, std::shared_ptr<agent_stream> stream,
                 duration keepalive, sender_callbacks callbacks);

    /// Attaches to the stream and starts the answer.
    /// @param seq First record to send.
    /// @return False if that record is not in the stream's buffer; nothing was sent then.
    bool start(std::uint64_t seq);

private:
    void sendPending();
    void send(stream_record &record);
    void startKeepaliveTimer();
    void finish();

    http_exchange::pointer m_exchange;
    std::shared_ptr<agent_stream> m_stream;
    duration m_keepaliveInterval;
    sender_callbacks m_callbacks;
    boost::asio::steady_timer m_keepaliveTimer;
    stream_checksum m_checksum;
    std::uint64_t m_generation = 0;
    bool m_isSending = false;
    bool m_isFinished = false;
};

} // namespace nutmegtally
