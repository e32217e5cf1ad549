// In-process fleet for the daemon tests: a scripted engine, an agent and a router on ephemeral ports.
#pragma once

#include "agent/agent_daemon.h"
#include "daemon/daemon_log.h"
#include "router/router_daemon.h"
#include "tests/scripted_http.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace nutmegtally::test
{

inline const std::string innerKey = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

// SHA-256 of "example-desk-key".
inline const std::string accountKeyHash = "13b165606603a8f9f4ed48dcc8afed9081b5ac79bd822704fa5a3219f076cd20";

/// One-shot flag that threads can wait for. The wait times out after 60 s so that a failing test does not hang.
class latch_flag
{
public:
    void set()
    {
        const std::lock_guard lock(m_mutex);
        m_set = true;
        m_changed.notify_all();
    }

    bool wait()
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, std::chrono::seconds(60), [this] { return m_set; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_set = false;
};

inline fleet_config_ptr testConfig()
{
    return std::make_shared<const fleet_config>(parseFleetConfig(nlohmann::json {
        {"version", 1},
        {"models", {{"brush-llm", nlohmann::json::object()}}},
        {"services", {{"booking-app", nlohmann::json::object()}}},
        {"classes",
         {{"quick", {{"model", "brush-llm"}, {"firstTokenMs", 60000}}}, {"bookings", {{"service", "booking-app"}, {"answerMs", 60000}}}}},
        {"accounts", {{"desk", {{"keyHashes", {accountKeyHash}}}}}},
        {"domains", {{"kr-a", {{"region", "kr"}}}}}}));
}

/// One chunk of a streamed chat.
inline std::string chunk(const std::string &text)
{
    const nlohmann::json choice = {{"index", 0}, {"delta", {{"content", text}}}, {"finish_reason", nullptr}};
    return "data: " + nlohmann::json {{"id", "a"}, {"model", "brush-llm"}, {"choices", {choice}}}.dump() + "\n\n";
}

inline const std::string streamEnd = "data: [DONE]\n\n";

/// An answer as a caller sees it.
struct answer {
    int status = 0;
    std::string body;
    std::string token;

    nlohmann::json fault() const
    {
        const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
        return json.is_object() ? json.value("error", nlohmann::json::object()) : nlohmann::json::object();
    }

    /// Text of all chunks of a streamed chat.
    std::string text() const
    {
        std::string all;
        for (std::size_t at = body.find("data: {"); at != std::string::npos; at = body.find("data: {", at + 1)) {
            const nlohmann::json json = nlohmann::json::parse(body.substr(at + 6, body.find('\n', at) - at - 6));
            if (json.contains("choices")) {
                all += json["choices"][0]["delta"].value("content", "");
            }
        }
        return all;
    }
};

/// Connection of a caller.
class caller
{
public:
    explicit caller(const std::string &address)
        : m_session(Poco::Net::SocketAddress(address))
    {
        m_session.setTimeout(Poco::Timespan(60, 0));
        m_request.setVersion(Poco::Net::HTTPRequest::HTTP_1_1);
        m_request.set("Authorization", "Bearer example-desk-key");
        m_session.setKeepAlive(true);
    }

    void setHeader(const std::string &name, const std::string &value)
    {
        m_request.set(name, value);
    }

    /// Sends a request and reads the head of its answer.
    void start(const std::string &method, const std::string &path, const std::string &body)
    {
        m_request.setMethod(method);
        m_request.setURI(path);
        m_request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        std::ostream &out = m_session.sendRequest(m_request);
        out.write(body.data(), static_cast<std::streamsize>(body.size()));
        out.flush();
        m_in = &m_session.receiveResponse(m_response);
    }

    void startChat(bool stream = true)
    {
        const nlohmann::json message = {{"role", "user"}, {"content", "hello"}};
        start("POST", "/v1/chat/completions", nlohmann::json {{"model", "brush-llm"}, {"stream", stream}, {"messages", {message}}}.dump());
    }

    std::string readPart()
    {
        return readAvailable(*m_in, 65536);
    }

    answer finish()
    {
        answer result {m_response.getStatus(), {}, m_response.get("X-Nutmegtally-Token", "")};
        for (std::string part = readPart(); !part.empty(); part = readPart()) {
            result.body += part;
        }
        return result;
    }

    answer call(const std::string &method, const std::string &path, const std::string &body = {})
    {
        start(method, path, body);
        return finish();
    }

    answer chat(bool stream = true)
    {
        startChat(stream);
        return finish();
    }

    void disconnect()
    {
        m_session.reset();
    }

private:
    Poco::Net::HTTPClientSession m_session;
    Poco::Net::HTTPRequest m_request;
    Poco::Net::HTTPResponse m_response;
    std::istream *m_in = nullptr;
};

/// Handles load reports and cancellations as every engine does, and passes other requests to @p chat.
inline scripted_handler engine(
    scripted_handler chat, std::function<void()> cancelled = [] {})
{
    return [chat = std::move(chat), cancelled = std::move(cancelled)](scripted_exchange &exchange) {
        if (exchange.path() == "/load") {
            exchange.reply(200, "application/json", R"({"incarnation":1,"running":0})");
        } else if (exchange.method() == "DELETE") {
            cancelled();
            exchange.reply(204, "", "");
        } else {
            exchange.readBody();
            chat(exchange);
        }
    };
}

inline upstream_info testUpstream(const std::string &name, const std::string &address, bool isService = false)
{
    upstream_info info;
    info.name = name;
    info.upstream = upstream_id::fromName(name);
    info.domain = domain_id::fromName("kr-a");
    info.region = region_id::fromName("kr");
    if (isService) {
        info.service = service_id::fromName("booking-app");
    } else {
        info.model = model_id::fromName("brush-llm");
    }
    info.address = address;
    return info;
}

struct daemon_fixture {
    daemon_fixture()
    {
        setLogLevel("off");
        agentSettings.innerKeys = {innerKey};
        agentSettings.self = testUpstream("e1", "");
        agentSettings.admission.domain = agentSettings.self.domain;
        agentSettings.admission.initialWindow = 64;
        agentSettings.admission.loadFloor = 64;
        agentSettings.keepaliveInterval = std::chrono::milliseconds(50);
        routerSettings.innerKeys = {innerKey};
        routerSettings.routing.region = region_id::fromName("kr");
    }

    /// Starts an agent for the upstream at address @p upstream, and a router.
    void startFleet(const std::string &upstream)
    {
        agentSettings.upstream.address = upstream;
        agent = std::make_unique<agent_daemon>(agentSettings,
                                               std::make_unique<static_fleet_source>(testConfig(), std::vector<upstream_info> {}));
        startRouter({testUpstream("e1", agent->address()), testUpstream("s1", agent->address(), true)});
    }

    void startRouter(std::vector<upstream_info> upstreams)
    {
        router = std::make_unique<router_daemon>(routerSettings, std::make_unique<static_fleet_source>(testConfig(), std::move(upstreams)));
    }

    caller connect() const
    {
        return caller(router->address());
    }

    agent_settings agentSettings;
    router_settings routerSettings;
    std::unique_ptr<agent_daemon> agent;
    std::unique_ptr<router_daemon> router; // declared after the agent so that it is destroyed first
};

} // namespace nutmegtally::test
