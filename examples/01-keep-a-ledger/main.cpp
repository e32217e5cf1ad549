// Runs a ledger_core over an in-memory object store: the core decides, and this program executes its effects. Requests
// with the same key run once, however often they arrive. Prints the stored objects at the end.
#include <nutmegtally/ledger.h>

#include <iostream>
#include <map>

using namespace nutmegtally;
using namespace std::chrono_literals;

namespace
{

/// In-memory object API with conditional updates.
class memory_object_store
{
public:
    ledger_event::object_read read(const ledger_effect::read_object &call) const
    {
        const auto found = m_objects.find(call.name);
        if (found == m_objects.end()) {
            return {call.operation, object_status::missing, {}, {}};
        }
        return {call.operation, object_status::ok, found->second.value, std::to_string(found->second.version)};
    }

    ledger_event::object_written write(const ledger_effect::write_object &call)
    {
        object &stored = m_objects[call.name];
        const std::string current = stored.version == 0 ? std::string() : std::to_string(stored.version);
        if (current != call.ifVersion) {
            return {call.operation, object_status::conflict, {}};
        }
        ++stored.version;
        stored.value = call.value;
        return {call.operation, object_status::ok, std::to_string(stored.version)};
    }

    void print() const
    {
        for (const auto &[name, stored] : m_objects) {
            std::cout << name << " version " << stored.version << ": " << stored.value << '\n';
        }
    }

private:
    struct object {
        std::uint64_t version = 0;
        std::string value;
    };

    std::map<std::string, object> m_objects;
};

/// An agent with its ledger and a fake service.
class booking_agent
{
public:
    booking_agent(memory_object_store &objects, std::uint64_t nonceSeed)
        : m_objects(objects)
        , m_core(options(nonceSeed))
    {
    }

    /// @param request Request number, printed with the reply.
    void book(std::uint64_t request, const idempotency_key &key, std::string_view body)
    {
        const time_point deadline = m_now + 2s;
        post(ledger_event::booking_requested {{request_id(request), 1}, key.toText(), hashText(body), deadline, wall()});
        for (int i = 0; i < 4; ++i) {
            m_now += 100ms;
            post(ledger_event::tick {wall()});
        }
    }

    int executions() const
    {
        return m_executions;
    }

    wall_time wall() const
    {
        return wall_time(1'780'000'000s) + std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch());
    }

private:
    static ledger_options options(std::uint64_t nonceSeed)
    {
        ledger_options options;
        options.service = "booking-app";
        options.self = "booking-1";
        options.shards = 1;
        options.nonceSeed = nonceSeed;
        return options;
    }

    void post(const ledger_core::event &event)
    {
        std::vector<ledger_core::effect> effects;
        m_core.apply(m_now, event, effects);
        for (const ledger_core::effect &effect : effects) {
            std::visit([this](const auto &one) { execute(one); }, effect);
        }
    }

    void execute(const ledger_effect::read_object &call)
    {
        post(m_objects.read(call));
    }

    void execute(const ledger_effect::write_object &call)
    {
        post(m_objects.write(call));
    }

    void execute(const ledger_effect::run_request &call)
    {
        ++m_executions;
        post(ledger_event::service_answered {call.claim, 201, "text/plain", "confirmed as number " + std::to_string(m_executions)});
    }

    void execute(const ledger_effect::reply_outcome &reply)
    {
        std::cout << "request " << reply.attempt.request.value() << ": " << reply.outcome.status << ' ' << reply.outcome.body
                  << (reply.repeated ? " (repeated)" : "") << '\n';
    }

    void execute(const ledger_effect::reply_refusal &reply)
    {
        const error_info &info = errorInfo(reply.code);
        std::cout << "request " << reply.attempt.request.value() << ": refused, " << info.message << ", " << name(reply.state) << '\n';
    }

    void execute(const log_record &record)
    {
        std::cout << logEventInfo(record.event).name << ' ' << record.text << '\n';
    }

    template<typename Other>
    void execute(const Other &)
    {
    }

    memory_object_store &m_objects;
    ledger_core m_core;
    time_point m_now;
    int m_executions = 0;
};

} // namespace

int main()
{
    memory_object_store objects;
    booking_agent agent(objects, 1);
    const idempotency_key key = idempotency_key::make(agent.wall(), 17, 42);
    agent.book(1, key, "crew for site 7");
    agent.book(2, key, "crew for site 7");
    agent.book(3, key, "crew for site 8");

    // A restarted process has only the stored objects.
    booking_agent restarted(objects, 2);
    restarted.book(4, key, "crew for site 7");
    objects.print();
    const bool ranOnce = agent.executions() == 1 && restarted.executions() == 0;
    std::cout << (ranOnce ? "the booking ran once\n" : "the booking did not run exactly once\n");
    return ranOnce ? 0 : 1;
}
