// The story of one request, and sums by cause, from the JSON log lines of many processes.
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
    std::int64_t uptimeMs = 0; // steady clock of the process; orders its lines
    std::int64_t timeMs = 0; // time of day, which may jump and differ between VMs
    std::string name; // of the event
    std::string details; // the members that belong to the event, as JSON
};

/// How requests ended in a span, by outcome and reason.
struct outcome_summary {
    std::map<std::string, std::uint64_t> causes;
    std::uint64_t requests = 0;
    std::uint64_t unreadable = 0; // lines that are not JSON objects
};

/// Collects the lines about one request.
class request_trace
{
public:
    explicit request_trace(std::string request)
        : m_request(std::move(request))
    {
    }

    /// Reads one process's log, or several in one stream. Lines that are not JSON are left out.
    void read(std::istream &log);

    /// The lines about the request and the changes of what the process believed while it was served: process by process,
    /// each in the order of its own steady clock.
    std::vector<trace_line> lines() const;

    /// What ended the request, in one sentence; empty if no log has its end.
    std::string cause() const;

private:
    std::string m_request;
    std::vector<trace_line> m_requestLines;
    std::vector<trace_line> m_contextLines; // lines that change what a process believes
};

/// Counts how requests ended.
/// @param fromMs, toMs Bounds on the time of day; zero for none.
outcome_summary summarizeOutcomes(std::istream &log, std::int64_t fromMs, std::int64_t toMs);

} // namespace nutmegtally
