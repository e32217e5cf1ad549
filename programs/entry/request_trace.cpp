#include "entry/request_trace.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <set>

namespace nutmegtally
{

namespace
{

using nlohmann::json;

constexpr std::int64_t contextMarginMs = 2000; // state changes up to this long before the request's first line are included

const std::set<std::string> finalEvents = {"request_refused", "request_answered", "answer_cut", "caller_gone"};
const std::set<std::string> contextEvents = {
    "configuration_applied", "domains_closed",     "upstream_leaving", "upstream_unlisted",
    "platform_unreachable",  "platform_reachable", "news_taken",       "clock_gap",
    "daemon_started",        "daemon_stopping",    "routers_changed",
};

std::optional<trace_line> parseLine(const std::string &text, json &object)
{
    object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return std::nullopt;
    }
    trace_line line;
    line.process = object.value("process", "");
    line.uptimeMs = object.value("up_ms", std::int64_t {0});
    line.timeMs = object.value("time_ms", std::int64_t {0});
    line.name = object.value("name", "");
    json details = object;
    for (const char *common : {"process", "up_ms", "time_ms", "name", "event", "level"}) {
        details.erase(common);
    }
    line.details = details.dump(-1, ' ', false, json::error_handler_t::replace);
    return line;
}

std::string causeOf(const std::string &name, const json &details)
{
    if (name == "request_answered") {
        return "answered";
    }
    if (name == "caller_gone") {
        return "the caller left";
    }
    return (name == "answer_cut" ? "cut: " : "refused: ") + details.value("reason", "");
}

} // namespace

void request_trace::read(std::istream &log)
{
    std::string text;
    json object;
    while (std::getline(log, text)) {
        const bool isCandidate = text.find(m_request) != std::string::npos || text.find("\"request\"") == std::string::npos;
        const std::optional<trace_line> line = isCandidate ? parseLine(text, object) : std::nullopt;
        if (!line) {
            continue;
        }
        if (object.value("request", "") == m_request) {
            m_requestLines.push_back(*line);
        } else if (contextEvents.contains(line->name)) {
            m_contextLines.push_back(*line);
        }
    }
}

std::vector<trace_line> request_trace::lines() const
{
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> spans; // first and last uptime of the request in each process
    for (const trace_line &line : m_requestLines) {
        const auto [span, isNew] = spans.try_emplace(line.process, line.uptimeMs, line.uptimeMs);
        span->second.first = std::min(span->second.first, line.uptimeMs);
        span->second.second = std::max(span->second.second, line.uptimeMs);
    }
    std::vector<trace_line> all = m_requestLines;
    for (const trace_line &line : m_contextLines) {
        const auto span = spans.find(line.process);
        if (span != spans.end() && line.uptimeMs >= span->second.first - contextMarginMs && line.uptimeMs <= span->second.second) {
            all.push_back(line);
        }
    }
    std::stable_sort(all.begin(), all.end(), [](const trace_line &a, const trace_line &b) {
        return a.process != b.process ? a.process < b.process : a.uptimeMs < b.uptimeMs;
    });
    return all;
}

std::string request_trace::cause() const
{
    std::string cause;
    std::string attempt; // last event of an attempt
    for (const trace_line &line : lines()) {
        const json details = json::parse(line.details, nullptr, false);
        if (line.name == "attempt_started") {
            attempt = "it was sent to " + details.value("upstream", "an unknown upstream");
        } else if (line.name == "attempt_failed" || line.name == "attempt_refused" || line.name == "attempt_overdue"
                   || line.name == "stream_broken") {
            attempt = line.name + " at " + details.value("upstream", "an unknown upstream");
            attempt += details.contains("failure") ? " (" + details.value("failure", "") + ")" : "";
        }
        if (finalEvents.contains(line.name) && details.value("request", "") == m_request) {
            cause = causeOf(line.name, details);
            cause += details.contains("placement") && details.value("placement", "") != "chosen"
                         ? ", placement " + details.value("placement", "")
                         : "";
            cause += attempt.empty() ? "" : ", after " + attempt;
        }
    }
    return cause;
}

outcome_summary summarizeOutcomes(std::istream &log, std::int64_t fromMs, std::int64_t toMs)
{
    outcome_summary summary;
    std::string text;
    json object;
    while (std::getline(log, text)) {
        const std::optional<trace_line> line = parseLine(text, object);
        if (!line) {
            ++summary.unreadable;
            continue;
        }
        const bool isInRange = (fromMs == 0 || line->timeMs >= fromMs) && (toMs == 0 || line->timeMs <= toMs);
        if (isInRange && finalEvents.contains(line->name)) {
            ++summary.requests;
            ++summary.causes[causeOf(line->name, object)];
        }
    }
    return summary;
}

} // namespace nutmegtally
