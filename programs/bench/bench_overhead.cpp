// nutmegtally-bench overhead: latency that router and agent add to streamed answers, compared with direct requests to
// the engine. Expects running processes; scripts/bench_overhead starts them.
#include "bench/bench_command.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <iostream>
#include <limits>
#include <mutex>
#include <sstream>
#include <thread>

namespace nutmegtally
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr unsigned maxStreams = 1000; // one thread per stream
constexpr auto answerTimeout = std::chrono::seconds(30);
constexpr auto refusalRetryDelay = std::chrono::milliseconds(50);
constexpr unsigned minAnswersPerRound = 30; // with few streams, each sends more requests, so that percentiles are meaningful
constexpr auto memorySampleInterval = std::chrono::milliseconds(100);

struct overhead_options {
    std::string direct;
    std::string routed;
    std::string key;
    std::string workClass;
    std::string model;
    std::vector<unsigned> streams;
    unsigned answers = 0; // measured answers per stream, path and round
    unsigned rounds = 0; // direct and routed alternate, so that changes of the host's load affect both
    unsigned tokens = 0;
    unsigned promptCharacters = 0;
    double warmUpSeconds = 0;
    unsigned memoryStreams = 0;
    long routerPid = 0;
};

/// Times of the answers over one path, in milliseconds.
struct path_times {
    std::vector<double> firstToken;
    std::vector<double> betweenTokens;
    std::uint64_t answers = 0;
    std::uint64_t refusals = 0; // status 429 and 503; repeated after refusalRetryDelay
    std::uint64_t failures = 0; // broken connections and incomplete answers

    void add(const path_times &other)
    {
        firstToken.insert(firstToken.end(), other.firstToken.begin(), other.firstToken.end());
        betweenTokens.insert(betweenTokens.end(), other.betweenTokens.begin(), other.betweenTokens.end());
        answers += other.answers;
        refusals += other.refusals;
        failures += other.failures;
    }
};

double percentile(std::vector<double> &values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

nlohmann::json summary(std::vector<double> values)
{
    return {{"median", percentile(values, 0.5)}, {"p95", percentile(values, 0.95)}, {"p99", percentile(values, 0.99)}};
}

nlohmann::json difference(const nlohmann::json &routed, const nlohmann::json &direct)
{
    nlohmann::json result;
    for (const auto &[name, value] : routed.items()) {
        result[name] = value.get<double>() - direct[name].get<double>();
    }
    return result;
}

double milliseconds(clock::duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// One chat over one persistent connection.
class stream_client
{
public:
    /// @param address host:port of the engine or the router.
    stream_client(const overhead_options &options, const std::string &address, std::string chat)
        : m_options(options)
        , m_chat(std::move(chat))
        , m_session(Poco::Net::SocketAddress(address))
    {
        m_session.setKeepAlive(true);
        m_session.setTimeout(Poco::Timespan(answerTimeout.count(), 0));
    }

    /// Sends one request and adds the times of its answer.
    void runRequest(path_times &times)
    {
        try {
            const clock::time_point begin = clock::now();
            sendRequest();
            Poco::Net::HTTPResponse response;
            std::istream &in = m_session.receiveResponse(response);
            if (response.getStatus() == 429 || response.getStatus() == 503) {
                ++times.refusals;
                in.ignore(std::numeric_limits<std::streamsize>::max());
                std::this_thread::sleep_for(refusalRetryDelay);
                return;
            }
            readAnswer(in, begin, times);
        } catch (const Poco::Exception &) {
            ++times.failures;
            m_session.reset();
            std::this_thread::sleep_for(refusalRetryDelay);
        }
    }

private:
    void sendRequest()
    {
        const nlohmann::json message = {{"role", "user"}, {"content", m_chat + ' ' + std::string(m_options.promptCharacters, 'x')}};
        const std::string body = nlohmann::json({{"model", m_options.model},
                                                 {"stream", true},
                                                 {"max_tokens", m_options.tokens},
                                                 {"messages", nlohmann::json::array({message})}})
                                     .dump();
        Poco::Net::HTTPRequest request("POST", "/v1/chat/completions", "HTTP/1.1");
        request.setKeepAlive(true);
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        request.set("Authorization", "Bearer " + m_options.key);
        request.set("X-Nutmegtally-Class", m_options.workClass);
        request.set("X-Nutmegtally-Chat", m_chat);
        m_session.sendRequest(request) << body << std::flush;
    }

    void readAnswer(std::istream &in, clock::time_point begin, path_times &times) const
    {
        std::string line;
        std::vector<double> gaps;
        clock::time_point last = begin;
        double first = 0;
        unsigned tokens = 0;
        bool done = false;
        while (std::getline(in, line)) {
            if (line.starts_with("data: [DONE]")) {
                done = true;
            } else if (line.starts_with("data:") && line.find("\"content\"") != std::string::npos) {
                const clock::time_point now = clock::now();
                if (tokens++ == 0) {
                    first = milliseconds(now - begin);
                } else {
                    gaps.push_back(milliseconds(now - last));
                }
                last = now;
            }
        }
        if (!done || tokens != m_options.tokens) {
            ++times.failures;
            return;
        }
        ++times.answers;
        times.firstToken.push_back(first);
        times.betweenTokens.insert(times.betweenTokens.end(), gaps.begin(), gaps.end());
    }

    const overhead_options &m_options;
    std::string m_chat;
    Poco::Net::HTTPClientSession m_session;
};

/// @return Resident memory of a process in kB, 0 if there is no such process.
std::uint64_t residentKilobytes(long pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::stoull(line.substr(6));
        }
    }
    return 0;
}

/// Result of runLoad().
struct stream_load_result {
    path_times times;
    std::uint64_t routerKilobytes = 0; // highest sample
};

/// Runs streams in parallel. Each warms up, then sends requests until it has @p answers answers or the time limit ends.
stream_load_result runLoad(const overhead_options &options, const std::string &address, unsigned streams, unsigned answers)
{
    stream_load_result result;
    std::mutex mutex;
    std::atomic<unsigned> running {streams};
    std::vector<std::thread> threads;
    const clock::time_point begin = clock::now();
    const auto warmUp = std::chrono::duration<double>(options.warmUpSeconds);
    for (unsigned i = 0; i < streams; ++i) {
        threads.emplace_back([&, i] {
            path_times ignored;
            path_times times;
            stream_client client(options, address, "bench-" + std::to_string(i));
            // Staggered starts: synchronous streams would cause bursts that independent callers do not cause.
            std::this_thread::sleep_for(warmUp * i / (2.0 * streams));
            while (clock::now() < begin + warmUp) {
                client.runRequest(ignored);
            }
            const clock::time_point end = clock::now() + answerTimeout;
            while (times.answers < answers && clock::now() < end) {
                client.runRequest(times);
            }
            const std::lock_guard lock(mutex);
            result.times.add(times);
            --running;
        });
    }
    while (running.load() > 0) {
        result.routerKilobytes = std::max(result.routerKilobytes, residentKilobytes(options.routerPid));
        std::this_thread::sleep_for(memorySampleInterval);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return result;
}

nlohmann::json describe(const path_times &times)
{
    return {{"first_token_ms", summary(times.firstToken)},
            {"between_tokens_ms", summary(times.betweenTokens)},
            {"answers", times.answers},
            {"refusals", times.refusals},
            {"failures", times.failures}};
}

nlohmann::json measure(const overhead_options &options, unsigned streams)
{
    path_times direct;
    path_times routed;
    std::uint64_t kilobytes = 0;
    const unsigned answers = std::max(options.answers, minAnswersPerRound / streams);
    for (unsigned round = 0; round < options.rounds; ++round) {
        direct.add(runLoad(options, options.direct, streams, answers).times);
        const stream_load_result load = runLoad(options, options.routed, streams, answers);
        routed.add(load.times);
        kilobytes = std::max(kilobytes, load.routerKilobytes);
    }
    nlohmann::json row = {{"streams", streams}, {"direct", describe(direct)}, {"routed", describe(routed)}, {"router_kb", kilobytes}};
    for (const char *name : {"first_token_ms", "between_tokens_ms"}) {
        row["added"][name] = difference(row["routed"][name], row["direct"][name]);
    }
    return row;
}

std::string format(const nlohmann::json &times)
{
    std::ostringstream out;
    out.precision(2);
    out << std::fixed;
    for (const char *name : {"median", "p95", "p99"}) {
        out << ' ' << name << ' ' << times[name].get<double>();
    }
    return out.str();
}

void printRow(const nlohmann::json &row)
{
    std::cout << row["streams"] << " streams\n";
    for (const char *path : {"direct", "routed", "added"}) {
        std::cout << "  " << path << ": first token ms" << format(row[path]["first_token_ms"]) << "; between tokens ms"
                  << format(row[path]["between_tokens_ms"]);
        if (row[path].contains("answers")) {
            std::cout << "; answers " << row[path]["answers"] << ", refusals " << row[path]["refusals"] << ", failures "
                      << row[path]["failures"];
        }
        std::cout << '\n';
    }
    std::cout << "  router memory " << row["router_kb"] << " kB" << std::endl;
}

std::vector<unsigned> parseStreams(const std::string &text)
{
    std::vector<unsigned> streams;
    std::istringstream in(text);
    std::string word;
    while (std::getline(in, word, ',')) {
        streams.push_back(std::clamp<unsigned>(static_cast<unsigned>(std::stoul(word)), 1, maxStreams));
    }
    return streams;
}

int runOverhead(std::vector<std::string> args)
{
    TCLAP::CmdLine line("Time that router and agent add to streamed answers", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> direct("", "direct", "Address of the engine", true, "", "HOST:PORT", line);
    TCLAP::ValueArg<std::string> routed("", "routed", "Address of the router", true, "", "HOST:PORT", line);
    TCLAP::ValueArg<long> pid("", "router-pid", "Process id of the router, for its memory", false, 0, "PID", line);
    TCLAP::ValueArg<std::string> key("", "key", "Account key", true, "", "KEY", line);
    TCLAP::ValueArg<std::string> workClass("", "class", "Class of the requests", true, "", "NAME", line);
    TCLAP::ValueArg<std::string> model("", "model", "Model of the requests", true, "", "NAME", line);
    TCLAP::ValueArg<std::string> streams("", "streams", "Stream counts to measure", false, "1,50,200", "N,N,...", line);
    TCLAP::ValueArg<unsigned> answers("", "answers", "Measured answers per stream, path and round", false, 3, "N", line);
    TCLAP::ValueArg<unsigned> rounds("", "rounds", "Rounds of direct and routed in turn", false, 2, "N", line);
    TCLAP::ValueArg<unsigned> tokens("", "tokens", "Tokens per answer", false, 20, "N", line);
    TCLAP::ValueArg<unsigned> prompt("", "prompt-characters", "Length of the prompt", false, 2000, "N", line);
    TCLAP::ValueArg<double> warmUp("", "warm-up", "Time before each measurement", false, 2, "SECONDS", line);
    TCLAP::ValueArg<unsigned> memory("", "memory-streams", "Streams for the memory figure; 0 for none", false, 400, "N", line);
    TCLAP::ValueArg<std::string> json("", "json", "Also write the result to this file", false, "", "FILE", line);
    line.parse(args);
    const overhead_options options {direct.getValue(),    routed.getValue(), key.getValue(),
                                    workClass.getValue(), model.getValue(),  parseStreams(streams.getValue()),
                                    answers.getValue(),   rounds.getValue(), tokens.getValue(),
                                    prompt.getValue(),    warmUp.getValue(), std::min(memory.getValue(), maxStreams),
                                    pid.getValue()};
    nlohmann::json result = {{"bench", "overhead"}, {"rows", nlohmann::json::array()}};
    std::uint64_t missingAnswers = 0;
    for (const unsigned count : options.streams) {
        result["rows"].push_back(measure(options, count));
        const nlohmann::json &row = result["rows"].back();
        printRow(row);
        const std::uint64_t wanted = std::uint64_t {count} * options.answers * options.rounds;
        missingAnswers += wanted - std::min(wanted, row["routed"]["answers"].get<std::uint64_t>());
    }
    if (options.memoryStreams > 0) {
        const stream_load_result load = runLoad(options, options.routed, options.memoryStreams, options.answers);
        result["memory"] = {{"streams", options.memoryStreams}, {"router_kb", load.routerKilobytes}, {"routed", describe(load.times)}};
        std::cout << options.memoryStreams << " streams: router memory " << load.routerKilobytes << " kB, answers " << load.times.answers
                  << ", refusals " << load.times.refusals << ", failures " << load.times.failures << std::endl;
    }
    if (!json.getValue().empty()) {
        std::ofstream(json.getValue()) << result.dump(2) << '\n';
    }
    if (missingAnswers > 0) {
        std::cerr << missingAnswers << " of the requested answers did not arrive through the router\n";
        return 1;
    }
    return 0;
}

const bench_command overhead("overhead", "time and memory that router and agent add to streamed answers", runOverhead);

} // namespace

} // namespace nutmegtally
