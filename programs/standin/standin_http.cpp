#include "standin/standin_http.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace nutmegtally::standin
{

namespace
{

constexpr int maxConnections = 1200; // one thread each; 400 streams through several agents need several hundred
constexpr std::size_t maxBodyBytes = 16U << 20U;
constexpr auto maxStallTime = std::chrono::minutes(10); // for clients that never close a stalled connection
constexpr auto stallPollInterval = milliseconds(100);
constexpr auto keepAliveSeconds = 120;

Poco::Net::StreamSocket &socketOf(Poco::Net::HTTPServerRequest &request)
{
    return dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
}

void serveAdmin(handler &handler, const call &call)
{
    if (call.path == "/admin/counters") {
        nlohmann::json counters = handler.counters();
        counters["faults"] = handler.faults().all();
        call.reply(200, counters);
        return;
    }
    if (call.path != "/admin/faults" || call.method != "POST") {
        call.reply(404, {{"error", "use POST /admin/faults or GET /admin/counters"}});
        return;
    }
    const nlohmann::json changes = nlohmann::json::parse(call.body, nullptr, false);
    if (!changes.is_object()) {
        call.reply(400, {{"error", "send a JSON object of fault names and values"}});
        return;
    }
    const std::vector<std::string> unknown = handler.faults().set(changes);
    if (!unknown.empty()) {
        call.reply(400, {{"error", "unknown faults"}, {"unknown", unknown}, {"known", handler.faults().all()}});
        return;
    }
    handler.faultsChanged();
    call.reply(200, handler.faults().all());
}

class request_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit request_handler(handler &target)
        : m_handler(target)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        const Poco::URI uri(request.getURI());
        call current {request, response, request.getMethod(), uri.getPath(), uri.getQueryParameters(), {}};
        try {
            Poco::StreamCopier::copyToString(request.stream(), current.body);
            if (current.body.size() > maxBodyBytes) {
                current.reply(413, {{"error", "the body is too large"}});
            } else if (current.path.starts_with("/admin/")) {
                serveAdmin(m_handler, current);
            } else {
                m_handler.handle(current);
            }
        } catch (const Poco::Net::NetException &) {
            current.dropConnection();
        } catch (const std::exception &fault) {
            if (response.sent()) {
                current.dropConnection();
            } else {
                current.reply(500, {{"error", fault.what()}});
            }
        }
    }

private:
    handler &m_handler;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit handler_factory(handler &target)
        : m_handler(target)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest & /*request*/) override
    {
        return new request_handler(m_handler);
    }

private:
    handler &m_handler;
};

} // namespace

std::string call::parameter(std::string_view name, const std::string &fallback) const
{
    for (const auto &[key, value] : query) {
        if (key == name) {
            return value;
        }
    }
    return fallback;
}

std::string call::header(const std::string &name) const
{
    return request.get(name, "");
}

bool call::isClientDisconnected() const
{
    Poco::Net::StreamSocket &socket = socketOf(request);
    return socket.poll(Poco::Timespan(0, 0), Poco::Net::Socket::SELECT_READ) && socket.available() == 0;
}

void call::reply(int status, const nlohmann::json &json) const
{
    replyText(status, json.dump());
}

void call::replyText(int status, const std::string &text, const std::string &type) const
{
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    if (status == 304 || status == 204) {
        response.setContentLength(0);
        response.send();
        return;
    }
    response.setContentType(type);
    response.sendBuffer(text.data(), text.size());
}

void call::dropConnection() const
{
    response.setKeepAlive(false);
    try {
        socketOf(request).shutdown();
    } catch (const Poco::Exception &) {
        return; // already closed by the client
    }
}

void call::stallConnection() const
{
    const clock::time_point end = clock::now() + maxStallTime;
    while (clock::now() < end && !isClientDisconnected()) {
        std::this_thread::sleep_for(stallPollInterval);
    }
    dropConnection();
}

fault_switches::fault_switches(nlohmann::json known)
    : m_initial(std::move(known))
    , m_values(m_initial)
{
}

std::vector<std::string> fault_switches::set(const nlohmann::json &changes)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> unknown;
    for (const auto &[name, value] : changes.items()) {
        if (!m_initial.contains(name)) {
            unknown.push_back(name);
        }
    }
    if (!unknown.empty()) {
        return unknown;
    }
    for (const auto &[name, value] : changes.items()) {
        m_values[name] = value.is_null() ? m_initial[name] : value;
    }
    return unknown;
}

bool fault_switches::isEnabled(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const nlohmann::json &value = m_values.at(name);
    return value.is_boolean() ? value.get<bool>() : value.is_number() && value.get<double>() != 0;
}

double fault_switches::number(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const nlohmann::json &value = m_values.at(name);
    return value.is_number() ? value.get<double>() : 0;
}

std::vector<std::string> fault_switches::names(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const nlohmann::json &value = m_values.at(name);
    return value.is_array() ? value.get<std::vector<std::string>>() : std::vector<std::string>();
}

bool fault_switches::consumeOne(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json &value = m_values.at(name);
    if (!value.is_number() || value.get<double>() < 1) {
        return false;
    }
    value = value.get<double>() - 1;
    return true;
}

nlohmann::json fault_switches::all() const
{
    const std::lock_guard lock(m_mutex);
    return m_values;
}

handler::handler(nlohmann::json knownFaults)
    : m_faults(std::move(knownFaults))
{
}

void handler::faultsChanged() { }

void rate_counter::count()
{
    const std::lock_guard lock(m_mutex);
    const clock::time_point now = clock::now();
    if (now - m_second >= std::chrono::seconds(1)) {
        m_second = now;
        m_inSecond = 0;
    }
    ++m_total;
    ++m_inSecond;
    m_peak = std::max(m_peak, m_inSecond);
}

std::uint64_t rate_counter::total() const
{
    const std::lock_guard lock(m_mutex);
    return m_total;
}

std::uint64_t rate_counter::peakPerSecond() const
{
    const std::lock_guard lock(m_mutex);
    return m_peak;
}

int serve(handler &handler, std::uint16_t port)
{
    // Blocked before the first thread starts, so that only sigwait() below receives the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", port), maxConnections);
    Poco::ThreadPool threads(8, maxConnections);
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(maxConnections);
    params->setMaxQueued(maxConnections);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    params->setKeepAliveTimeout(Poco::Timespan(keepAliveSeconds, 0));
    Poco::Net::HTTPServer server(new handler_factory(handler), threads, socket, params);
    server.start();
    std::cout << "listening " << socket.address().port() << std::endl;

    int signal = 0;
    sigwait(&signals, &signal);
    // No graceful shutdown: handlers may hold stalled connections for minutes, and durable data is already written.
    std::_Exit(EXIT_SUCCESS);
}

} // namespace nutmegtally::standin
