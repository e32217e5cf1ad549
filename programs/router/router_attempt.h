// One attempt at an agent: sends the work, checks every record of the answer, and replaces a broken or silent
// connection at the point that was reached.
#pragma once

#include "daemon/daemon_access.h"
#include "daemon/daemon_http.h"
#include "daemon/daemon_records.h"
#include "router/router_answer.h"

#include <nutmegtally/work.h>

#include <cstdint>
#include <functional>
#include <string>

namespace nutmegtally
{

enum class attempt_outcome : std::uint8_t {
    finished, // the answer is complete and checked, and went to the caller
    refused, // no byte reached the upstream
    failed,
    callerGone,
    deadlinePassed,
    count
};

struct attempt_result {
    attempt_outcome outcome = attempt_outcome::failed;
    refusal why; // refused
    upstream_id owner; // refused with notOwner
    run_state state = run_state::unknown; // failed
    bool hasLoad = false;
    load_report load;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
};

struct attempt_options {
    duration streamSilence = std::chrono::seconds(2);
    unsigned maxResumes = 3;
};

/// What the router wants to know while an attempt runs.
struct attempt_observer {
    std::function<void(const load_report &)> started; // first record of the upstream's answer
    std::function<void(std::uint64_t version)> versionSeen; // configuration version of the agent
    std::function<void()> firstData;
    std::function<void()> silent;
    std::function<void()> resumed;
};

class attempt_runner
{
public:
    /// @param address Agent's listener.
    /// @param work Its deadline is a time of the steady clock.
    attempt_runner(session_pool &pool, const message_authenticator &authenticator, attempt_options options, std::string address,
                   work_header work, const std::string &body, const attempt_observer &observer);

    attempt_result run(caller_answer &answer);

    /// Tells the agent that the caller is gone.
    void cancel();

private:
    enum class connection_end : std::uint8_t {
        done, // m_result holds the result
        broken,
        count
    };

    connection_end runConnection(caller_answer &answer);

    /// @return The body of the record stream, or null if the agent refused with a typed error; m_result holds it then.
    std::istream *send(client_session &session);
    connection_end readRecords(std::istream &in, caller_answer &answer);

    /// Returns the connection to the pool if its answer has ended.
    void keep(std::unique_ptr<client_session> session, std::istream &in);
    bool take(const stream_record &record, caller_answer &answer);
    bool takeData(const stream_record &record, caller_answer &answer);
    bool takeEnd(const stream_record &record, caller_answer &answer);
    bool end(attempt_outcome outcome);
    duration timeLeft() const;
    std::string describe() const;

    session_pool &m_pool;
    const message_authenticator &m_authenticator;
    attempt_options m_options;
    std::string m_address;
    work_header m_work;
    const std::string &m_body;
    const attempt_observer &m_observer;
    attempt_result m_result;
    stream_checksum m_checksum; // of the current connection
    bool m_reachedAgent = false;
    bool m_sawHead = false;
    bool m_sawData = false;
    unsigned m_resumes = 0; // since the last data record
};

} // namespace nutmegtally
