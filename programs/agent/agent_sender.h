// Sends the records of a stream to a router over one connection, as fast as the router takes them.
#pragma once

#include "agent/agent_stream.h"
#include "serving/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace nutmegtally
{

/// What a sender needs of the agent.
struct sender_callbacks {
    std::function<void(stream_record &)> addLoadReport; // load and configuration version, to records that carry them
    std::function<void()> ended; // once: the stream went out, or the connection is gone or was replaced
};

class agent_sender : public std::enable_shared_from_this<agent_sender>
{
public:
    /// @param keepalive Time without a record after which one is sent that says only that the agent lives.
    agent_sender(boost::asio::io_context &context, http_exchange::pointer exchange, std::shared_ptr<agent_stream> stream,
                 duration keepalive, sender_callbacks callbacks);

    /// Attaches to the stream and starts the answer.
    /// @return False if the stream does not hold the record to resume at; nothing was sent then.
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
