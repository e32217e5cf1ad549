// Stand-in of a service: GET and HEAD are idempotent, every other request is executed each time it arrives.
#include "standin/standin_command.h"
#include "standin/standin_http.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <map>
#include <thread>

namespace nutmegtally::standin
{

namespace
{

struct service_options {
    double callMs = 5;
    bool checksKeys = false;
    std::string file; // log of executions, so that counts survive a kill
};

class service_handler : public handler
{
public:
    explicit service_handler(service_options options)
        : handler({{"delay_ms", 0}, {"lose_answers", 0}, {"outage", false}})
        , m_options(std::move(options))
    {
        if (!m_options.file.empty()) {
            load();
            m_log.open(m_options.file, std::ios::app);
        }
    }

    void handle(const call &call) override
    {
        if (m_faults.isEnabled("outage")) {
            call.reply(503, {{"error", "outage"}});
            return;
        }
        if (call.path == "/load" && call.method == "GET") {
            call.reply(200, {{"incarnation", m_incarnation}, {"running", m_running.load()}, {"waiting", 0}});
            return;
        }
        ++m_running;
        if (call.method == "GET" || call.method == "HEAD") {
            read(call);
        } else {
            run(call);
        }
        --m_running;
    }

    nlohmann::json counters() const override
    {
        const std::lock_guard lock(m_mutex);
        std::uint64_t total = 0;
        std::uint64_t maxPerKey = 0;
        for (const auto &[key, count] : m_executions) {
            total += count;
            maxPerKey = std::max(maxPerKey, count);
        }
        return {{"executions", m_executions},
                {"calls", total},
                {"most_per_key", maxPerKey},
                {"reads", m_reads.load()},
                {"lost_answers", m_lostAnswers.load()},
                {"incarnation", m_incarnation}};
    }

private:
    void sleepForCall() const
    {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(m_options.callMs + m_faults.number("delay_ms")));
    }

    void read(const call &call)
    {
        sleepForCall();
        call.reply(200, {{"path", call.path}, {"reads", ++m_reads}});
    }

    void run(const call &call)
    {
        const std::string key = call.header("Idempotency-Key");
        std::uint64_t execution = 0;
        std::string answer;
        {
            const std::lock_guard lock(m_mutex);
            const auto stored = m_answers.find(key);
            if (m_options.checksKeys && stored != m_answers.end()) {
                answer = stored->second;
            } else {
                execution = ++m_executions[key];
                if (m_log.is_open()) {
                    m_log << key << std::endl;
                }
                answer
                    = nlohmann::json({{"booked", key}, {"execution", execution}, {"path", call.path}, {"bytes", call.body.size()}}).dump();
                m_answers[key] = answer;
            }
        }
        sleepForCall();
        if (m_faults.consumeOne("lose_answers")) {
            ++m_lostAnswers;
            call.dropConnection();
            return;
        }
        call.replyText(200, answer);
    }

    void load()
    {
        std::ifstream in(m_options.file);
        std::string key;
        while (std::getline(in, key)) {
            ++m_executions[key];
            m_answers[key] = nlohmann::json({{"booked", key}}).dump();
        }
    }

    service_options m_options;
    std::int64_t m_incarnation = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_executions; // by idempotency key; the empty key stands for calls without one
    std::map<std::string, std::string> m_answers;
    std::ofstream m_log;
    std::atomic<std::uint64_t> m_reads {0};
    std::atomic<std::uint64_t> m_lostAnswers {0};
    std::atomic<std::int64_t> m_running {0};
};

} // namespace

int runService(std::vector<std::string> args)
{
    TCLAP::CmdLine line("Stand-in of a plain service", ' ', "0.1.0");
    TCLAP::ValueArg<std::uint16_t> port("", "port", "Port on 127.0.0.1; 0 lets the kernel choose", false, 0, "PORT", line);
    TCLAP::ValueArg<double> callMs("", "call-ms", "Time of one call", false, 5, "MS", line);
    TCLAP::SwitchArg checksKeys("", "checks-keys", "Run each idempotency key at most once", line);
    TCLAP::ValueArg<std::string> file("", "file", "Keep the execution counts in this file across restarts", false, "", "FILE", line);
    line.parse(args);
    service_handler handler({callMs.getValue(), checksKeys.getValue(), file.getValue()});
    return serve(handler, port.getValue());
}

} // namespace nutmegtally::standin
