// One attempt at an agent: sends the work, verifies every record of the answer, and resumes over a new connection at the
// next record when a connection is lost or times out.
#pragma once

#include "daemon/daemon_access.h"
#include "daemon/daemon_records.h"
#include "router/router_answer.h"
#include "serving/connection_pool.h"
#include "serving/http_client.h"
#include "serving/line_buffer.h"

#include <nutmegtally/work.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace nutmegtally
{

enum class attempt_outcome : std::uint8_t {
    finished, // the answer was complete and verified, and was sent to the caller
    refused, // no byte reached the upstream
    failed,
    deadlinePassed,
    count
};

struct attempt_result {
    attempt_outcome outcome = attempt_outcome::failed;
    refusal reason; // valid for refused
    upstream_id owner; // valid for refused with notOwner
    run_state state = run_state::unknown; // valid for failed
    bool hasLoad = false;
    load_report load;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
};

struct attempt_options {
    duration streamIdleTimeout = std::chrono::seconds(2);
    duration connectTimeout = std::chrono::seconds(1);
    unsigned maxResumes = 3;
};

/// Callbacks for the progress of an attempt.
struct attempt_observer {
    std::function<void(const load_report &)> started; // head of the upstream's answer received
    std::function<void(std::uint64_t version)> versionSeen; // the agent reported its configuration version
    std::function<void()> firstData;
    std::function<void()> idleTimedOut;
    std::function<void()> resumed;
    std::function<void(const attempt_result &)> ended; // called once, unless the attempt was cancelled
};

/// Connections and keys that all attempts share.
struct attempt_context {
    boost::asio::io_context &loop;
    connection_pool &pool;
    http_client &client;
    const message_authenticator &authenticator;
};

class attempt_runner : public std::enable_shared_from_this<attempt_runner>
{
public:
    using pointer = std::shared_ptr<attempt_runner>;

    /// @param address host:port of the agent.
    /// @param work Its deadline is a steady clock time.
    attempt_runner(const attempt_context &context, attempt_options options, std::string address, work_header work, std::string body,
                   attempt_observer observer);

    void start(const std::shared_ptr<caller_answer> &answer);

    /// Ends the attempt and cancels the work at the agent. No callback is called afterwards.
    void cancel();

    /// Resumes reading after the pending output was written to the caller.
    void resumeReading();

    /// True once the result was reported or the attempt was cancelled.
    bool isFinished() const
    {
        return m_isFinished;
    }

private:
    void connect();
    std::string requestText() const;
    upstream_connection::handlers handlers();
    void bodyReceived(std::string &&piece);
    void readRecords();
    void answerEnded(bool reusable);
    void connectionLost();

    /// Restarts the idle timeout. It expires when no complete record arrives in time.
    void restartIdleTimer();
    void timedOut();
    bool processRecord(const stream_record &record);
    bool processData(const stream_record &record);
    bool processEnd(const stream_record &record);
    bool end(attempt_outcome outcome);
    void closeConnection();
    duration timeLeft() const;
    std::string describe() const;

    attempt_context m_context;
    attempt_options m_options;
    std::string m_address;
    work_header m_work;
    std::string m_body;
    attempt_observer m_observer;
    std::shared_ptr<caller_answer> m_answer;
    upstream_connection::pointer m_connection;
    boost::asio::steady_timer m_idleTimer;
    int m_status = 0; // HTTP status on the current connection
    line_buffer m_input; // body on the current connection
    stream_checksum m_checksum; // of the data on the current connection
    attempt_result m_result;
    unsigned m_resumes = 0; // since the last data record
    bool m_mayHaveReachedAgent = false; // some bytes of the work may have been delivered
    bool m_isHeadReceived = false;
    bool m_isDataReceived = false;
    bool m_isPaused = false; // reading is paused because the caller reads slowly
    bool m_isFinished = false;
};

} // namespace nutmegtally
