#include "rpc/rpc_http.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <istream>
#include <ostream>
#include <sstream>
#include <stdexcept>

namespace nutmegtally
{

namespace
{

// As in serving/serving_limits.h, which does not compile as C++14.
constexpr int minStatus = 100;
constexpr int maxStatus = 599;
constexpr std::size_t maxIdleConnections = 8; // more are needed only during bursts

/// Size of a message head in bytes, as Poco serializes it.
template<typename Message>
std::uint64_t headBytes(const Message &message)
{
    std::ostringstream text;
    message.write(text);
    return static_cast<std::uint64_t>(text.str().size());
}

std::string stripQuotes(const std::string &text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        return text.substr(1, text.size() - 2);
    }
    return text;
}

/// Tracks the time that remains of a call's timeout.
class call_timer
{
public:
    explicit call_timer(int timeoutMs)
        : m_end(std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs))
    {
    }

    /// @throws Poco::TimeoutException if nothing remains.
    Poco::Timespan remaining() const
    {
        const auto left = std::chrono::duration_cast<std::chrono::microseconds>(m_end - std::chrono::steady_clock::now()).count();
        if (left <= 0) {
            throw Poco::TimeoutException("no answer within the time limit");
        }
        return Poco::Timespan(left);
    }

private:
    std::chrono::steady_clock::time_point m_end;
};

void applyReceiveTimeout(Poco::Net::HTTPClientSession &session, const call_timer &timer)
{
    if (session.connected()) {
        session.socket().setReceiveTimeout(timer.remaining());
    }
}

} // namespace

http_pool::http_pool(const std::string &address, std::size_t maxAnswerBytes)
    : m_maxAnswerBytes(maxAnswerBytes)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("address '" + address + "' has no port; write host:port");
    }
    m_host = address.substr(0, colon);
    m_port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
}

http_pool::~http_pool() = default;

http_pool::session_ptr http_pool::acquire(bool &isReused)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_closed) {
        return nullptr;
    }
    isReused = !m_idle.empty();
    session_ptr session;
    if (isReused) {
        session = m_idle.back();
        m_idle.pop_back();
    } else {
        session = std::make_shared<Poco::Net::HTTPClientSession>(m_host, m_port);
        session->setKeepAlive(true);
    }
    m_busy.push_back(session);
    return session;
}

void http_pool::release(const session_ptr &session, bool isReusable)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_busy.erase(std::remove(m_busy.begin(), m_busy.end(), session), m_busy.end());
    if (isReusable && !m_closed && m_idle.size() < maxIdleConnections) {
        m_idle.push_back(session);
    }
}

http_answer http_pool::exchange(Poco::Net::HTTPClientSession &session, const http_call &request, bool &isReusable)
{
    http_answer answer;
    try {
        const call_timer timer(request.timeoutMs);
        session.setTimeout(timer.remaining(), timer.remaining(), timer.remaining());
        Poco::Net::HTTPRequest head(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto &header : request.headers) {
            head.set(header.first, header.second);
        }
        head.setKeepAlive(true);
        if (!request.body.empty() || request.method != "GET") {
            head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        }
        std::ostream &out = session.sendRequest(head);
        answer.progress = http_progress::sent;
        out.write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
        out.flush();
        m_sent += headBytes(head) + request.body.size();

        applyReceiveTimeout(session, timer);
        Poco::Net::HTTPResponse response;
        std::istream &in = session.receiveResponse(response);
        m_received += headBytes(response);
        std::array<char, 16384> buffer;
        while (in.good()) {
            applyReceiveTimeout(session, timer);
            in.read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
            answer.body.append(buffer.data(), static_cast<std::size_t>(in.gcount()));
            if (answer.body.size() > m_maxAnswerBytes) {
                throw Poco::DataException("the answer exceeds the size limit");
            }
        }
        m_received += answer.body.size();
        if (response.hasContentLength() && response.getContentLength64() != static_cast<Poco::Int64>(answer.body.size())) {
            throw Poco::DataException("the answer does not match its Content-Length");
        }
        const int status = static_cast<int>(response.getStatus());
        if (status < minStatus || status > maxStatus) {
            throw Poco::DataException("the answer has the invalid status " + std::to_string(status));
        }
        answer.etag = stripQuotes(response.get("ETag", ""));
        answer.status = status;
        answer.progress = http_progress::answered;
        isReusable = response.getKeepAlive();
    } catch (const Poco::Exception &fault) {
        answer.fault = fault.displayText();
        answer.body.clear();
    }
    return answer;
}

http_answer http_pool::call(const http_call &request)
{
    for (;;) {
        bool isReused = false;
        const session_ptr session = acquire(isReused);
        if (!session) {
            http_answer refused;
            refused.fault = "the client is closed";
            return refused;
        }
        const auto start = std::chrono::steady_clock::now();
        bool isReusable = false;
        http_answer answer = exchange(*session, request, isReusable);
        release(session, isReusable);
        // The peer may have closed an idle connection. Its next use then fails immediately, which is no sign of a faulty peer,
        // so the request is repeated.
        const bool failedBeforeTimeout = std::chrono::steady_clock::now() - start < std::chrono::milliseconds(request.timeoutMs);
        if (answer.progress == http_progress::answered || !isReused || !request.repeatable || !failedBeforeTimeout) {
            return answer;
        }
    }
}

void http_pool::close()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_closed = true;
    m_idle.clear();
    for (const session_ptr &session : m_busy) {
        try {
            session->abort();
        } catch (const Poco::Exception &) {
            // The connection is already closed, which is the purpose of the call.
            continue;
        }
    }
}

byte_counts http_pool::bytes() const
{
    byte_counts counts;
    counts.sent = m_sent;
    counts.received = m_received;
    return counts;
}

std::size_t http_pool::idleConnections() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_idle.size();
}

} // namespace nutmegtally
