#include "daemon/daemon_objects.h"

#include "../src/limits.h"

#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <stdexcept>

namespace nutmegtally
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;
constexpr int statusNotFound = 404;
constexpr int statusPreconditionFailed = 412;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

int toMilliseconds(duration value)
{
    return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

std::uint64_t toVersion(const std::string &etag)
{
    std::uint64_t version = 0;
    std::from_chars(etag.data(), etag.data() + etag.size(), version);
    return version;
}

std::string percentEncode(const std::string &text)
{
    std::string out;
    Poco::URI::encode(text, "?#&+", out);
    return out;
}

std::string objectPath(const std::string &name)
{
    return "/objects/" + percentEncode(name);
}

std::string toEtag(std::uint64_t version)
{
    return "\"" + std::to_string(version) + "\"";
}

/// A write that was sent may have taken effect, unless the API's answer says that it was rejected.
object_status writeStatus(const http_answer &answer)
{
    if (answer.progress == http_progress::notSent) {
        return object_status::unavailable;
    }
    if (answer.progress == http_progress::sent) {
        return object_status::unknown;
    }
    switch (answer.status) {
    case statusOk:
    case statusCreated:
    case statusNoContent:
        return object_status::ok;
    case statusPreconditionFailed:
        return object_status::conflict;
    case statusUnavailable:
    case statusTooManyRequests:
        return object_status::unavailable;
    default:
        return answer.status < 500 ? object_status::unavailable : object_status::unknown;
    }
}

std::string faultText(const http_answer &answer)
{
    return answer.progress == http_progress::answered ? "status " + std::to_string(answer.status) : answer.fault;
}

object_reply toObjectReply(http_answer &&answer)
{
    object_reply reply;
    if (answer.status == statusNotFound) {
        reply.status = object_status::ok;
    } else if (answer.status == statusOk && toVersion(answer.etag) != 0) {
        reply.status = object_status::ok;
        reply.version = toVersion(answer.etag);
        reply.value = std::move(answer.body);
    } else {
        reply.fault = faultText(answer);
    }
    return reply;
}

vm_entry toEntry(const nlohmann::json &json)
{
    vm_entry entry;
    entry.name = json.at("name").get<std::string>();
    entry.domain = json.value("domain", "");
    entry.region = json.value("region", "");
    entry.role = json.value("role", "");
    entry.address = json.value("address", "");
    entry.leaving = json.value("state", "live") == "leaving";
    return entry;
}

} // namespace

object_client::object_client(const std::string &address, duration timeout)
    : m_http(address, limits::maxObjectBytes * 2)
    , m_timeout(timeout)
{
}

http_call object_client::makeCall(std::string method, std::string path) const
{
    http_call call;
    call.repeatable = method == "GET";
    call.method = std::move(method);
    call.path = std::move(path);
    call.timeoutMs = toMilliseconds(m_timeout);
    return call;
}

object_reply object_client::read(const std::string &name)
{
    return toObjectReply(m_http.call(makeCall("GET", objectPath(name))));
}

object_reply object_client::write(const std::string &name, const std::string &value, std::uint64_t expectedVersion)
{
    if (value.size() > limits::maxObjectBytes) {
        throw std::length_error("object " + name + " would have " + std::to_string(value.size()) + " bytes; split it");
    }
    http_call call = makeCall("PUT", objectPath(name));
    call.headers["Content-Type"] = "application/json";
    if (expectedVersion == 0) {
        call.headers["If-None-Match"] = "*";
    } else {
        call.headers["If-Match"] = toEtag(expectedVersion);
    }
    call.body = value;
    const http_answer answer = m_http.call(call);
    object_reply reply;
    reply.status = writeStatus(answer);
    reply.version = toVersion(answer.etag);
    if (reply.status != object_status::ok) {
        reply.fault = faultText(answer);
    }
    return reply;
}

object_reply object_client::remove(const std::string &name, std::uint64_t expectedVersion)
{
    http_call call = makeCall("DELETE", objectPath(name));
    call.headers["If-Match"] = toEtag(expectedVersion);
    const http_answer answer = m_http.call(call);
    object_reply reply;
    reply.status = answer.status == statusNotFound ? object_status::ok : writeStatus(answer);
    if (reply.status != object_status::ok) {
        reply.fault = faultText(answer);
    }
    return reply;
}

object_reply object_client::watch(const std::string &name, std::uint64_t knownVersion, duration wait)
{
    const std::string query = "?watch=" + std::to_string(knownVersion) + "&timeout_ms=" + std::to_string(toMilliseconds(wait));
    http_call call = makeCall("GET", objectPath(name) + query);
    call.timeoutMs = toMilliseconds(wait + m_timeout);
    http_answer answer = m_http.call(call);
    object_reply reply;
    if (answer.status == statusNotModified) {
        reply.status = object_status::ok;
        reply.version = knownVersion;
        return reply;
    }
    reply = toObjectReply(std::move(answer));
    reply.changed = reply.status == object_status::ok && reply.version != knownVersion;
    return reply;
}

object_list object_client::list(const std::string &prefix)
{
    const http_answer answer = m_http.call(makeCall("GET", "/objects?prefix=" + percentEncode(prefix)));
    object_list result;
    const nlohmann::json json = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.status != statusOk || !json.is_array()) {
        return result;
    }
    try {
        for (const nlohmann::json &entry : json) {
            const auto bytes = entry.value("bytes", std::uint64_t(0));
            result.entries.push_back({entry.at("name").get<std::string>(), entry.at("version").get<std::uint64_t>(), bytes});
        }
        result.status = object_status::ok;
    } catch (const nlohmann::json::exception &) {
        result.entries.clear();
    }
    return result;
}

vm_list_client::vm_list_client(const std::string &address, duration timeout)
    : m_http(address)
    , m_timeout(timeout)
{
}

vm_list_reply vm_list_client::read()
{
    http_call call;
    call.path = "/vms";
    call.timeoutMs = toMilliseconds(m_timeout);
    if (!m_etag.empty()) {
        call.headers["If-None-Match"] = "\"" + m_etag + "\"";
    }
    const http_answer answer = m_http.call(call);
    vm_list_reply reply;
    if (answer.status == statusNotModified) {
        reply.available = true;
        reply.version = toVersion(m_etag);
        return reply;
    }
    const nlohmann::json json = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.status != statusOk || !json.is_object()) {
        return reply;
    }
    try {
        for (const nlohmann::json &entry : json.at("vms")) {
            reply.vms.push_back(toEntry(entry));
        }
        reply.version = json.value("version", std::uint64_t(0));
        reply.available = true;
        reply.changed = true;
        m_etag = answer.etag;
    } catch (const nlohmann::json::exception &) {
        reply.vms.clear();
    }
    return reply;
}

} // namespace nutmegtally
