// Follows the fleet configuration with a single fleet_core. The program takes the part of the platform and of a peer: it
// posts their events in a fixed order and prints each configuration that is applied.
#include <nutmegtally/fleet_core.h>

#include <nlohmann/json.hpp>

#include <iostream>

using namespace nutmegtally;
using namespace std::chrono_literals;

namespace
{

/// @return The stored head of a configuration with one change.
std::string initialHead()
{
    config_change change;
    change.version = 1;
    change.nonce = "a1";
    change.who = "operator";
    change.why = "first configuration";
    change.patch = nlohmann::json::parse(R"({"domains": {"north-pl": {"region": "mu"}, "central-cp": {"region": "mu"}}})");
    config_head head;
    head.version = 1;
    head.changes.push_back(std::make_shared<const config_change>(change));
    return toText(head);
}

/// @return A push from a peer with a change that closes a domain.
fleet_message closurePush()
{
    config_change change;
    change.version = 2;
    change.nonce = "a2";
    change.patch = nlohmann::json::parse(R"({"domains": {"north-pl": {"state": "closed", "reason": "power"}}})");
    fleet_message message;
    message.kind = message_kind::push;
    message.sender = vm_id::fromName("vm-2");
    message.configVersion = 2;
    message.changes.push_back(std::make_shared<const config_change>(change));
    return message;
}

} // namespace

int main()
{
    fleet_options options;
    options.self.name = "vm-1";
    options.self.domain = "central-cp";
    options.self.incarnation = 1;
    fleet_core core(options);

    fleet_config_ptr config;
    std::uint64_t readOperation = 0;
    time_point now {0s};
    const auto apply = [&](const fleet_core::event &event) {
        std::vector<fleet_core::effect> effects;
        core.apply(now, event, effects);
        for (const fleet_core::effect &effect : effects) {
            if (const auto *read = std::get_if<fleet_effect::read_head>(&effect)) {
                readOperation = read->operation;
            } else if (const auto *accepted = std::get_if<fleet_effect::config_applied>(&effect)) {
                config = accepted->config;
                const bool isOpen = config->isOpen(domain_id::fromName("north-pl"));
                std::cout << "version " << config->version << ": north-pl is " << (isOpen ? "open" : "closed") << '\n';
            }
        }
    };

    apply(fleet_event::tick {}); // the first tick makes the core read the stored head
    apply(fleet_event::head_read {readOperation, object_status::ok, 10, true, initialHead()});
    now += 1s;
    apply(fleet_event::message_received {1, closurePush()});
    now += 1s;
    apply(fleet_event::message_received {2, closurePush()}); // duplicate: ignored
    return config && config->version == 2 ? 0 : 1;
}
