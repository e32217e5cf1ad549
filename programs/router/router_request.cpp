#include "router/router_request.h"

#include "daemon/daemon_clock.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace nutmegtally
{

namespace
{

using json = nlohmann::json;

constexpr const char *chatPath = "/v1/chat/completions";
constexpr std::string_view servicesPrefix = "/services/";
constexpr std::size_t bytesPerToken = 4; // estimate for a prompt; the engine reports the actual count
constexpr std::size_t maxLimitedHeaderBytes = 512; // for headers that callers choose freely: chat, class, routing token, content type

std::string limitedHeader(const http_exchange &exchange, const std::string &name)
{
    std::string value = exchange.header(name);
    if (value.size() > maxLimitedHeaderBytes) {
        throw error(error_code::headersTooLarge, name + " is longer than " + std::to_string(maxLimitedHeaderBytes) + " bytes");
    }
    return value;
}

/// Returns the class that the header names, or else the only class that matches.
/// @throws error unknownClass
template<typename Matches>
const class_config &findClass(const http_exchange &exchange, const fleet_config &config, Matches matches)
{
    const std::string name = limitedHeader(exchange, "X-Nutmegtally-Class");
    if (!name.empty()) {
        const class_config *found = config.findClass(class_id::fromName(name));
        if (found == nullptr) {
            throw error(error_code::unknownClass, name.substr(0, 64));
        }
        return *found;
    }
    const class_config *only = nullptr;
    for (const auto &[id, entry] : config.classes) {
        if (!matches(entry)) {
            continue;
        }
        if (only != nullptr) {
            throw error(error_code::unknownClass, "the request names none and several match");
        }
        only = &entry;
    }
    if (only == nullptr) {
        throw error(error_code::unknownClass, "the request names none and none matches");
    }
    return *only;
}

json parseChat(const std::string &body)
{
    json chat = json::parse(body, nullptr, false);
    if (chat.is_discarded()) {
        throw error(error_code::malformedRequest, "the body is not JSON");
    }
    if (!chat.is_object() || !chat.contains("model") || !chat.at("model").is_string()) {
        throw error(error_code::malformedRequest, "the body has no model");
    }
    if (!chat.contains("messages") || !chat.at("messages").is_array() || chat.at("messages").empty()) {
        throw error(error_code::malformedRequest, "the body has no messages");
    }
    if (chat.contains("stream") && !chat.at("stream").is_boolean()) {
        throw error(error_code::malformedRequest, "stream is not true or false");
    }
    return chat;
}

/// Asks the engine for its token counts, which correct the router's estimates. Inserts the member into the body's text,
/// because serializing a long body again would cost more than parsing it.
void requestUsage(const json &chat, caller_request &request)
{
    const json options = chat.value("stream_options", json());
    if (options.is_object()) {
        request.work.usage = options.value("include_usage", json()) == true;
    }
    if (chat.contains("stream_options")) {
        return;
    }
    const std::size_t brace = request.body.find('{');
    request.body.insert(brace + 1, R"("stream_options":{"include_usage":true},)");
}

std::uint32_t tokenLimit(const json &chat)
{
    for (const char *key : {"max_completion_tokens", "max_tokens"}) {
        if (chat.contains(key) && chat.at(key).is_number_unsigned()) {
            return static_cast<std::uint32_t>(std::min<std::uint64_t>(chat.at(key).get<std::uint64_t>(), 1U << 24U));
        }
    }
    return 0;
}

void readChat(const http_exchange &exchange, const request_context &context, caller_request &request)
{
    if (exchange.method() != "POST") {
        throw error(error_code::malformedRequest, "use POST");
    }
    const std::string chatName = limitedHeader(exchange, "X-Nutmegtally-Chat");
    request.body = exchange.body();
    const json chat = parseChat(request.body);
    const model_id model = model_id::fromName(chat.at("model").get<std::string>());
    if (context.config.findModel(model) == nullptr) {
        throw error(error_code::unknownModel, chat.at("model").get<std::string>().substr(0, 64));
    }
    const class_config &workClass = findClass(exchange, context.config, [&](const class_config &entry) { return entry.model == model; });
    if (workClass.model != model) {
        throw error(error_code::unknownClass, "class " + workClass.name + " is for another model or a service");
    }
    request_info &info = request.work.info;
    info.kind = work_kind::chat;
    info.model = model;
    info.workClass = class_id::fromName(workClass.name);
    info.promptTokens = static_cast<std::uint32_t>(request.body.size() / bytesPerToken);
    info.expectedTokens = tokenLimit(chat);
    info.token = limitedHeader(exchange, "X-Nutmegtally-Token");
    if (!chatName.empty()) {
        // Two accounts may use the same name for different chats.
        info.chat = chat_id::fromName(toHex(info.account.value()) + "/" + chatName);
    }
    request.className = workClass.name;
    request.work.path = chatPath;
    request.work.stream = chat.value("stream", false);
    if (request.work.stream) {
        requestUsage(chat, request);
    }
}

void readServiceCall(const http_exchange &exchange, const request_context &context, caller_request &request)
{
    const std::string rest = exchange.target().substr(servicesPrefix.size());
    const std::string serviceName = rest.substr(0, rest.find_first_of("/?"));
    const service_id service = service_id::fromName(serviceName);
    if (context.config.findService(service) == nullptr) {
        throw error(error_code::unknownService, serviceName.substr(0, 64));
    }
    const class_config &workClass
        = findClass(exchange, context.config, [&](const class_config &entry) { return entry.service == service; });
    if (workClass.service != service) {
        throw error(error_code::unknownClass, "class " + workClass.name + " is for a model or another service");
    }
    request.className = workClass.name;
    request.work.method = exchange.method();
    request.work.path = rest.substr(serviceName.size());
    if (request.work.path.empty() || request.work.path.front() != '/') {
        request.work.path.insert(0, "/");
    }
    request.work.contentType = limitedHeader(exchange, "Content-Type");
    request_info &info = request.work.info;
    info.service = service;
    info.workClass = class_id::fromName(workClass.name);
    info.kind = exchange.method() == "GET" || exchange.method() == "HEAD" ? work_kind::read : work_kind::booking;
    if (info.kind == work_kind::booking) {
        info.idempotencyKey = exchange.header("Idempotency-Key");
        if (info.idempotencyKey.empty()) {
            throw error(error_code::keyMissing);
        }
        if (!isUuidVersion7(info.idempotencyKey)) {
            throw error(error_code::keyInvalid);
        }
    }
    request.body = exchange.body();
    if (info.kind == work_kind::booking) {
        info.bodyHash = hashText(exchange.method() + "\n" + request.work.path + "\n" + request.body);
    }
}

} // namespace

caller_request readCallerRequest(const http_exchange &exchange, request_id id, const request_context &context)
{
    for (const char *name : {"X-Nutmegtally-Chat", "X-Nutmegtally-Class", "X-Nutmegtally-Token"}) {
        limitedHeader(exchange, name); // rejects a value that is too long even if the header is not used
    }
    caller_request request;
    request.id = id;
    request_info &info = request.work.info;
    info.account = context.accounts.find(exchange.header("Authorization"));
    if (exchange.path() == chatPath) {
        readChat(exchange, context, request);
    } else if (exchange.target().compare(0, servicesPrefix.size(), servicesPrefix) == 0) {
        readServiceCall(exchange, context, request);
    } else {
        throw error(error_code::malformedRequest, "the path is neither /v1/chat/completions nor /services/NAME/...");
    }
    info.deadline = steadyNow() + context.requestLimit;
    return request;
}

bool isUuidVersion7(std::string_view text)
{
    static constexpr std::size_t length = 36;
    static constexpr std::size_t versionAt = 14;
    static constexpr std::size_t variantAt = 19;
    if (text.size() != length || text[versionAt] != '7') {
        return false;
    }
    for (std::size_t i = 0; i < length; ++i) {
        const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
        if (dash ? text[i] != '-' : std::string_view("0123456789abcdefABCDEF").find(text[i]) == std::string_view::npos) {
            return false;
        }
    }
    return std::string_view("89abAB").find(text[variantAt]) != std::string_view::npos;
}

} // namespace nutmegtally
