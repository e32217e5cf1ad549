// Stand-in of the platform's list of live and leaving VMs, in which changes appear after a delay.
#include "standin/standin_command.h"
#include "standin/standin_http.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <deque>
#include <fstream>

namespace nutmegtally::standin
{

namespace
{

/// The list from a point in time on. GET /vms returns the newest snapshot that is older than the lag.
struct list_snapshot {
    clock::time_point since;
    nlohmann::json vms; // JSON object: VM name to entry
};

class vms_handler : public handler
{
public:
    explicit vms_handler(double lagMs)
        : handler({{"lag_ms", lagMs}, {"missing", nlohmann::json::array()}, {"outage", false}})
    {
        m_snapshots.push_back({clock::now(), nlohmann::json::object()});
    }

    /// Adds or replaces an entry that is visible immediately.
    void addInitialEntry(const nlohmann::json &entry)
    {
        m_snapshots.back().vms[entry.at("name").get<std::string>()] = entry;
    }

    void handle(const call &call) override
    {
        if (m_faults.isEnabled("outage")) {
            call.reply(503, {{"error", "outage"}});
            return;
        }
        if (call.path == "/vms" && call.method == "GET") {
            list(call);
        } else if (call.path.starts_with("/vms/") && call.method == "PUT") {
            change(call, nlohmann::json::parse(call.body));
        } else if (call.path.starts_with("/vms/") && call.method == "DELETE") {
            change(call, nullptr);
        } else {
            call.reply(404, {{"error", "use GET /vms, PUT /vms/NAME or DELETE /vms/NAME"}});
        }
    }

    nlohmann::json counters() const override
    {
        const std::lock_guard lock(m_mutex);
        return {{"reads", m_reads.total()}, {"vms", m_snapshots.back().vms.size()}};
    }

private:
    void list(const call &call)
    {
        m_reads.count();
        const std::lock_guard lock(m_mutex);
        const auto lag = milliseconds(static_cast<int>(m_faults.number("lag_ms")));
        const clock::time_point visibleUntil = clock::now() - lag;
        while (m_snapshots.size() > 1 && m_snapshots[1].since <= visibleUntil) {
            m_snapshots.pop_front();
        }
        const std::vector<std::string> missing = m_faults.names("missing");
        nlohmann::json entries = nlohmann::json::array();
        for (const auto &[name, entry] : m_snapshots.front().vms.items()) {
            if (std::find(missing.begin(), missing.end(), name) == missing.end()) {
                entries.push_back(entry);
            }
        }
        if (entries != m_publishedEntries) {
            m_publishedEntries = entries;
            ++m_version;
        }
        const std::string tag = '"' + std::to_string(m_version) + '"';
        call.response.set("ETag", tag);
        if (call.header("If-None-Match") == tag) {
            call.replyText(304, "");
            return;
        }
        call.reply(200, {{"version", m_version}, {"vms", entries}});
    }

    void change(const call &call, const nlohmann::json &entry)
    {
        const std::lock_guard lock(m_mutex);
        const std::string name = call.path.substr(5);
        nlohmann::json vms = m_snapshots.back().vms;
        if (entry.is_null()) {
            vms.erase(name);
        } else {
            vms[name] = entry;
            vms[name]["name"] = name;
        }
        m_snapshots.push_back({clock::now(), vms});
        call.reply(200, {{"vms", vms.size()}});
    }

    mutable std::mutex m_mutex;
    std::deque<list_snapshot> m_snapshots; // never empty, oldest first
    nlohmann::json m_publishedEntries = nlohmann::json::array();
    std::uint64_t m_version = 1;
    rate_counter m_reads;
};

} // namespace

int runVms(std::vector<std::string> args)
{
    TCLAP::CmdLine line("Stand-in of the VM list; PUT and DELETE /vms/NAME change it", ' ', "0.1.0");
    TCLAP::ValueArg<std::uint16_t> port("", "port", "Port on 127.0.0.1; 0 lets the kernel choose", false, 0, "PORT", line);
    TCLAP::ValueArg<double> lag("", "lag-ms", "Delay until a change is visible", false, 0, "MS", line);
    TCLAP::ValueArg<std::string> file("", "file", "JSON array of the first entries", false, "", "FILE", line);
    line.parse(args);
    vms_handler handler(lag.getValue());
    if (!file.getValue().empty()) {
        std::ifstream in(file.getValue());
        for (const nlohmann::json &entry : nlohmann::json::parse(in)) {
            handler.addInitialEntry(entry);
        }
    }
    return serve(handler, port.getValue());
}

} // namespace nutmegtally::standin
