// Subcommand "explain": prints the trace of a request from the logs of entry routers, or a summary of outcomes. It reads
// only the logs and needs neither settings nor the platform.
#include "ctl/ctl_context.h"
#include "entry/request_trace.h"

#include <fstream>
#include <iostream>

namespace nutmegtally
{

namespace
{

std::ifstream openLog(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw ctl_failure(exit_code::failed, path + ": cannot be read");
    }
    return file;
}

void printTrace(const std::string &request, const std::vector<std::string> &files, bool asJson)
{
    request_trace trace(request);
    for (const std::string &path : files) {
        std::ifstream log = openLog(path);
        trace.read(log);
    }
    const std::vector<trace_line> lines = trace.lines();
    if (lines.empty()) {
        throw ctl_failure(exit_code::failed,
                          "no log has a line about request " + request + "; name the logs of all routers, including rotated ones");
    }
    const std::string cause = trace.cause().empty() ? "no log has the request's end" : trace.cause();
    if (asJson) {
        nlohmann::json document = {{"request", request}, {"cause", cause}, {"lines", nlohmann::json::array()}};
        for (const trace_line &line : lines) {
            document["lines"].push_back({{"process", line.process},
                                         {"up_ms", line.uptimeMs},
                                         {"time_ms", line.timeMs},
                                         {"name", line.name},
                                         {"details", nlohmann::json::parse(line.details)}});
        }
        std::cout << document.dump(2) << '\n';
        return;
    }
    std::string process;
    std::int64_t first = 0;
    for (const trace_line &line : lines) {
        if (line.process != process) {
            process = line.process;
            first = line.uptimeMs;
            std::cout << process << '\n';
        }
        std::cout << "  +" << line.uptimeMs - first << " ms  " << line.name << "  " << line.details << '\n';
    }
    std::cout << "cause: " << cause << '\n';
}

void printSummary(const std::vector<std::string> &files, std::int64_t fromMs, std::int64_t toMs, bool asJson)
{
    outcome_summary sum;
    for (const std::string &path : files) {
        std::ifstream log = openLog(path);
        const outcome_summary each = summarizeOutcomes(log, fromMs, toMs);
        sum.requests += each.requests;
        sum.unreadable += each.unreadable;
        for (const auto &[cause, count] : each.causes) {
            sum.causes[cause] += count;
        }
    }
    if (asJson) {
        std::cout << nlohmann::json({{"requests", sum.requests}, {"unreadable", sum.unreadable}, {"causes", sum.causes}}).dump(2) << '\n';
        return;
    }
    for (const auto &[cause, count] : sum.causes) {
        std::cout << count << "  " << cause << '\n';
    }
    std::cout << sum.requests << "  requests, " << sum.unreadable << " lines that are not JSON\n";
}

void explain(std::vector<std::string> arguments)
{
    const std::string program = arguments.front();
    TCLAP::CmdLine line("Explains a request from the logs of entry routers, or sums up how requests ended", ' ', NUTMEGTALLY_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::int64_t> from("", "from-ms", "with --summary: earliest time of day, Unix milliseconds", false, 0, "ms", line);
    TCLAP::ValueArg<std::int64_t> to("", "to-ms", "with --summary: latest time of day, Unix milliseconds", false, 0, "ms", line);
    TCLAP::SwitchArg summary("", "summary", "sum up by cause; all arguments are logs", line);
    TCLAP::SwitchArg json("", "json", "print JSON", line);
    TCLAP::UnlabeledMultiArg<std::string> names("names", "id of the request, then logs", true, "ID FILE...", line);
    line.parse(arguments);
    std::vector<std::string> files = names.getValue();
    if (summary.getValue()) {
        printSummary(files, from.getValue(), to.getValue(), json.getValue());
        return;
    }
    if (files.size() < 2) {
        throw ctl_failure(exit_code::usage, "name the request's id and at least one log: " + program + " ID FILE...");
    }
    const std::string request = files.front();
    files.erase(files.begin());
    printTrace(request, files, json.getValue());
}

} // namespace

const std::vector<ctl_command> &explainCommands()
{
    static const std::vector<ctl_command> commands = {{"explain", "", "explains a request from the logs of entry routers", explain}};
    return commands;
}

} // namespace nutmegtally
