// Trace of one request, and totals of request outcomes by cause, from the JSON logs of many processes. The subcommand "explain" of
// nutmegtallyctl prints them.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace nutmegtally
{

/// One log line.
struct trace_line {
    std::string process;
    std::int64_t uptimeMs = 0; // by the clock of the process, which orders its lines
    std::int64_t timeMs = 0; // wall clock, which may jump and may differ between VMs
    std::string name; // name of the log event
    std::string details; // members of the event, as a JSON object
};

/// Number of requests that ended in a time range, by cause.
struct outcome_summary {
    std::map<std::string, std::uint64_t> causes; // "answered" or outcome and reason, to the number of requests
    std::uint64_t requests = 0;
    std::uint64_t unreadable = 0; // lines that are not JSON objects
};

/// Collects the log lines of one request.
class request_trace
{
public:
    explicit request_trace(std::string request)
        : m_request(std::move(request))
    {
    }

    /// Reads a log of one or several processes. Lines that are not JSON objects are skipped.
    void read(std::istream &log);

    /// Lines of the request, with changes of the serving process's state (configuration, upstreams, domains, routers) shortly before
    /// and during the request. Grouped by process; within a process ordered by uptime.
    std::vector<trace_line> lines() const;

    /// How the request ended, in one sentence; empty if no log has its final event.
    std::string cause() const;

private:
    std::string m_request; // id of the request
    std::vector<trace_line> m_requestLines;
    std::vector<trace_line> m_contextLines; // state changes of the processes, at any time
};

/// Counts how requests ended.
/// @param fromMs, toMs Inclusive bounds on the wall clock, in milliseconds since 1970; zero for none.
outcome_summary summarizeOutcomes(std::istream &log, std::int64_t fromMs, std::int64_t toMs);

} // namespace nutmegtally
