// HTTP client with a pool of persistent connections to one peer, timeouts and byte counts. Also compiled as C++14, see
// rpc_channel.h.
#pragma once

#include <Poco/Net/HTTPClientSession.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace nutmegtally
{

/// One request. The timeout covers connecting, sending and receiving the complete answer.
struct http_call {
    std::string method = "GET";
    std::string path = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    int timeoutMs = 1000;
    bool repeatable = true; // may be sent again if a reused connection fails
};

/// Progress of a request.
enum class http_progress : std::uint8_t {
    notSent, // no byte reached the peer
    sent, // the peer may have processed the request; the answer is missing or incomplete
    answered,
    count
};

struct http_answer {
    http_progress progress = http_progress::notSent;
    int status = 0; // 0 unless answered
    std::string etag; // without quotes
    std::string body;
    std::string fault; // reason for a missing answer
};

/// Bytes of requests and answers including HTTP headers, excluding TCP and IP overhead.
struct byte_counts {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// Thread-safe. Each concurrent call uses its own connection; idle connections are kept.
class http_pool
{
public:
    /// @param address host:port; the host is an IP address.
    /// @param maxAnswerBytes A longer answer is treated as missing.
    /// @throws std::invalid_argument if the address has no port
    explicit http_pool(const std::string &address, std::size_t maxAnswerBytes = 4000000);
    ~http_pool();
    http_pool(const http_pool &) = delete;
    http_pool &operator=(const http_pool &) = delete;

    /// Does not throw on failures of the peer or the network; see http_answer::progress and http_answer::fault.
    http_answer call(const http_call &request);

    /// Aborts running calls and refuses new ones.
    void close();

    byte_counts bytes() const;
    std::size_t idleConnections() const;

private:
    using session_ptr = std::shared_ptr<Poco::Net::HTTPClientSession>;

    session_ptr acquire(bool &isReused);
    void release(const session_ptr &session, bool isReusable);
    http_answer exchange(Poco::Net::HTTPClientSession &session, const http_call &request, bool &isReusable);

    std::string m_host;
    std::uint16_t m_port = 0;
    std::size_t m_maxAnswerBytes;
    std::atomic<std::uint64_t> m_sent {0};
    std::atomic<std::uint64_t> m_received {0};
    mutable std::mutex m_mutex;
    bool m_closed = false;
    std::vector<session_ptr> m_idle;
    std::vector<session_ptr> m_busy;
};

} // namespace nutmegtally
