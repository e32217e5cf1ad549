// Server of the object API on a memory_store, for daemons that run in the test's process. A watch is answered at once.
#pragma once

#include "daemon/daemon_fleet_simulation.h"
#include "tests/scripted_http.h"

#include <mutex>
#include <string>

namespace nutmegtally::test
{

struct scripted_objects {
    void answer(scripted_exchange &exchange)
    {
        const std::string name = exchange.path().substr(std::string("/objects/").size());
        const std::string body = exchange.readBody();
        const std::lock_guard lock(mutex);
        if (exchange.method() == "PUT") {
            const std::string match = exchange.header("If-Match"); // a quoted version
            const object_reply reply = store.write(name, body, match.empty() ? 0 : std::stoull(match.substr(1)));
            exchange.setHeader("ETag", "\"" + std::to_string(reply.version) + "\"");
            exchange.reply(reply.status == object_status::ok ? 200 : 412, "application/json", "");
            return;
        }
        const object_reply reply = store.read(name);
        exchange.setHeader("ETag", "\"" + std::to_string(reply.version) + "\"");
        exchange.reply(reply.version == 0 ? 404 : 200, "application/json", reply.value);
    }

    std::mutex mutex;
    memory_store store; // guarded by mutex
    scripted_server server {[this](scripted_exchange &exchange) { answer(exchange); }};
};

} // namespace nutmegtally::test
