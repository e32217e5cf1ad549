// Stand-in of the platform's object API: versioned objects, conditional updates, watches and lists.
#include "standin/standin_command.h"
#include "standin/standin_http.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <map>
#include <optional>
#include <thread>

namespace nutmegtally::standin
{

namespace
{

constexpr std::size_t maxValueBytes = 1'000'000;
constexpr auto maxWatchTime = std::chrono::minutes(5);
constexpr auto watchPollInterval = milliseconds(200); // interval at which a waiting watch notices that its client is gone

struct object {
    std::uint64_t version = 0;
    std::string value;
};

/// Versioned objects, optionally persisted in a change log, because the real platform is durable too.
class object_store
{
public:
    /// @param file Path of the change log; empty keeps the objects in memory only.
    explicit object_store(const std::string &file)
    {
        if (!file.empty()) {
            load(file);
            compactLog(file);
        }
    }

    std::optional<object> read(const std::string &name) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_objects.find(name);
        return found == m_objects.end() ? std::nullopt : std::optional(found->second);
    }

    /// Waits until the object is newer than @p version. @return The object, or nothing at @p end or when @p stop returns true.
    template<typename Stop>
    std::optional<object> watch(const std::string &name, std::uint64_t version, clock::time_point end, Stop stop) const
    {
        std::unique_lock lock(m_mutex);
        while (true) {
            const auto found = m_objects.find(name);
            if (found != m_objects.end() && found->second.version > version) {
                return found->second;
            }
            const clock::time_point now = clock::now();
            if (now >= end || stop()) {
                return std::nullopt;
            }
            m_changed.wait_until(lock, std::min(end, now + watchPollInterval));
        }
    }

    struct result {
        int status = 0;
        std::uint64_t version = 0; // current one; 0 if there is no object
    };

    /// @param expected Version that the object must have; 0 for an object that must not exist.
    result write(const std::string &name, std::uint64_t expected, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        const std::uint64_t current = currentVersion(name);
        if (current != expected) {
            return {412, current};
        }
        m_objects[name] = {++m_lastVersion, value};
        append(name, m_lastVersion, value);
        m_changed.notify_all();
        return {expected == 0 ? 201 : 200, m_lastVersion};
    }

    result remove(const std::string &name, std::uint64_t expected)
    {
        const std::lock_guard lock(m_mutex);
        const std::uint64_t current = currentVersion(name);
        if (current == 0) {
            return {404, 0};
        }
        if (current != expected) {
            return {412, current};
        }
        m_objects.erase(name);
        append(name, ++m_lastVersion, nullptr);
        m_changed.notify_all();
        return {204, 0};
    }

    nlohmann::json list(const std::string &prefix) const
    {
        const std::lock_guard lock(m_mutex);
        nlohmann::json entries = nlohmann::json::array();
        for (auto i = m_objects.lower_bound(prefix); i != m_objects.end() && i->first.starts_with(prefix); ++i) {
            entries.push_back({{"name", i->first}, {"version", i->second.version}, {"bytes", i->second.value.size()}});
        }
        return entries;
    }

private:
    std::uint64_t currentVersion(const std::string &name) const
    {
        const auto found = m_objects.find(name);
        return found == m_objects.end() ? 0 : found->second.version;
    }

    void append(const std::string &name, std::uint64_t version, const nlohmann::json &value)
    {
        if (m_log.is_open()) {
            m_log << nlohmann::json({name, version, value}).dump() << std::endl;
        }
    }

    void load(const std::string &file)
    {
        std::ifstream in(file);
        std::string line;
        while (std::getline(in, line)) {
            const nlohmann::json entry = nlohmann::json::parse(line, nullptr, false);
            if (entry.is_discarded()) {
                break; // truncated last line of a killed process; its write was not acknowledged
            }
            m_lastVersion = std::max(m_lastVersion, entry[1].get<std::uint64_t>());
            if (entry[2].is_null()) {
                m_objects.erase(entry[0].get<std::string>());
            } else {
                m_objects[entry[0].get<std::string>()] = {entry[1].get<std::uint64_t>(), entry[2].get<std::string>()};
            }
        }
    }

    void compactLog(const std::string &file)
    {
        m_log.open(file, std::ios::trunc);
        for (const auto &[name, object] : m_objects) {
            append(name, object.version, object.value);
        }
    }

    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    std::map<std::string, object> m_objects;
    std::uint64_t m_lastVersion = 0; // never decreases, so that a recreated object gets a higher version
    std::ofstream m_log;
};

/// @return Version in a quoted entity tag, or nothing if the text is not one.
std::optional<std::uint64_t> parseEntityTag(const std::string &text)
{
    if (text.size() < 3 || text.front() != '"' || text.back() != '"') {
        return std::nullopt;
    }
    const std::string digits = text.substr(1, text.size() - 2);
    if (digits.size() > 19 || digits.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return std::stoull(digits);
}

std::string entityTag(std::uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

class objects_handler : public handler
{
public:
    explicit objects_handler(const std::string &file)
        : handler({{"outage", false}, {"delay_ms", 0}, {"lose_answers", 0}, {"silent_watches", false}})
        , m_store(file)
    {
    }

    void handle(const call &call) override
    {
        if (!call.path.starts_with("/objects")) {
            call.reply(404, {{"error", "use /objects"}});
            return;
        }
        std::this_thread::sleep_for(milliseconds(static_cast<int>(m_faults.number("delay_ms"))));
        if (m_faults.isEnabled("outage")) {
            call.reply(503, {{"error", "outage"}});
            return;
        }
        const std::string name = call.path.size() > 9 ? call.path.substr(9) : std::string();
        if (name.empty()) {
            m_lists.count();
            call.reply(200, m_store.list(call.parameter("prefix")));
        } else if (call.method == "GET") {
            read(call, name);
        } else if (call.method == "PUT") {
            write(call, name);
        } else if (call.method == "DELETE") {
            remove(call, name);
        } else {
            call.reply(405, {{"error", "use GET, PUT or DELETE"}});
        }
    }

    nlohmann::json counters() const override
    {
        return {{"reads", m_reads.total()},
                {"peak_reads_per_second", m_reads.peakPerSecond()},
                {"writes", m_writes.total()},
                {"peak_writes_per_second", m_writes.peakPerSecond()},
                {"conflicts", m_conflicts.load()},
                {"watches", m_watches.total()},
                {"waiting_watches", m_waitingWatches.load()},
                {"lists", m_lists.total()},
                {"lost_answers", m_lostAnswers.load()}};
    }

private:
    void replyObject(const call &call, const object &object) const
    {
        call.response.set("ETag", entityTag(object.version));
        call.replyText(200, object.value);
    }

    void read(const call &call, const std::string &name)
    {
        const std::string watched = call.parameter("watch");
        if (!watched.empty()) {
            watch(call, name, std::stoull(watched));
            return;
        }
        m_reads.count();
        const std::optional<object> found = m_store.read(name);
        if (!found) {
            call.reply(404, {{"error", "no such object"}});
            return;
        }
        replyObject(call, *found);
    }

    void watch(const call &call, const std::string &name, std::uint64_t version)
    {
        m_watches.count();
        ++m_waitingWatches;
        const milliseconds limit(std::stoll(call.parameter("timeout_ms", "30000")));
        const clock::time_point end = clock::now() + std::min<clock::duration>(limit, maxWatchTime);
        bool isStalled = false;
        const std::optional<object> found = m_store.watch(name, version, end, [&] {
            // A stalled watch stays stalled after the fault is cleared, like a connection whose network path was cut.
            isStalled = isStalled || m_faults.isEnabled("silent_watches");
            return isStalled || call.isClientDisconnected() || m_faults.isEnabled("outage");
        });
        --m_waitingWatches;
        if (isStalled || m_faults.isEnabled("silent_watches")) {
            call.stallConnection();
        } else if (m_faults.isEnabled("outage")) {
            call.reply(503, {{"error", "outage"}});
        } else if (found) {
            replyObject(call, *found);
        } else {
            call.replyText(304, "");
        }
    }

    void write(const call &call, const std::string &name)
    {
        if (call.body.size() > maxValueBytes) {
            call.reply(413, {{"error", "the value is larger than 1 MB"}});
            return;
        }
        const bool create = call.header("If-None-Match") == "*";
        const std::optional<std::uint64_t> expected = create ? std::optional<std::uint64_t>(0) : parseEntityTag(call.header("If-Match"));
        if (!expected || (!create && *expected == 0)) {
            call.reply(428, {{"error", "send If-Match: \"VERSION\" or If-None-Match: *"}});
            return;
        }
        m_writes.count();
        finish(call, m_store.write(name, *expected, call.body));
    }

    void remove(const call &call, const std::string &name)
    {
        const std::optional<std::uint64_t> expected = parseEntityTag(call.header("If-Match"));
        if (!expected) {
            call.reply(428, {{"error", "send If-Match: \"VERSION\""}});
            return;
        }
        m_writes.count();
        finish(call, m_store.remove(name, *expected));
    }

    void finish(const call &call, const object_store::result &result)
    {
        if (result.status == 412) {
            ++m_conflicts;
        }
        // Only answers to successful writes are lost, so that the fault always hides a write that took effect.
        if (result.status < 300 && m_faults.consumeOne("lose_answers")) {
            ++m_lostAnswers;
            call.dropConnection();
            return;
        }
        if (result.version != 0) {
            call.response.set("ETag", entityTag(result.version));
        }
        call.reply(result.status, {{"version", result.version}});
    }

    object_store m_store;
    rate_counter m_reads;
    rate_counter m_writes;
    rate_counter m_watches;
    rate_counter m_lists;
    std::atomic<std::uint64_t> m_conflicts {0};
    std::atomic<std::uint64_t> m_lostAnswers {0};
    std::atomic<std::int64_t> m_waitingWatches {0};
};

} // namespace

int runObjects(std::vector<std::string> args)
{
    TCLAP::CmdLine line("Stand-in of the platform's object API", ' ', "0.1.0");
    TCLAP::ValueArg<std::uint16_t> port("", "port", "Port on 127.0.0.1; 0 lets the kernel choose", false, 0, "PORT", line);
    TCLAP::ValueArg<std::string> file("", "file", "Keep the objects in this file across restarts", false, "", "FILE", line);
    line.parse(args);
    objects_handler handler(file.getValue());
    return serve(handler, port.getValue());
}

} // namespace nutmegtally::standin
