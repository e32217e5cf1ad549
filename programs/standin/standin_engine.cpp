// Stand-in of a model engine: chat completions over engine_model, cancellation, resumed streams, load reports, cache
// events and orders.
#include "standin/standin_command.h"
#include "standin/standin_engine_model.h"

#include <nutmegtally/ids.h>

#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <ostream>
#include <thread>

namespace nutmegtally::standin
{

namespace
{

constexpr std::uint32_t charactersPerToken = 4; // usual estimate for prompts
constexpr std::uint32_t defaultOutputTokens = 32;
constexpr std::uint32_t maxOutputTokens = 100000;
constexpr std::size_t maxStoredOrders = 100;

constexpr std::array<std::string_view, 16> answerWords = {"pipe ", "crew ", "line ", "valve ", "weld ", "coat ", "ship ", "note ",
                                                          "plan ", "tide ", "reef ", "dock ",  "lamp ", "map ",  "rope ", "sand "};

/// A parsed chat completion request.
struct chat_request {
    std::string model;
    bool stream = false;
    bool separateUsage = false; // stream_options.include_usage
    std::uint64_t seed = 0; // hash of the messages; equal messages give equal answers, so that a resumed stream continues the text
    std::size_t resumeOffset = 0; // characters already received
    engine_request_ptr work = std::make_shared<engine_request>();
};

/// Text of one answer token.
std::string_view tokenText(std::uint64_t seed, std::uint32_t index)
{
    return answerWords[mixHash(seed, index) % answerWords.size()];
}

/// @return Characters of all message contents.
std::size_t promptLength(const nlohmann::json &messages)
{
    std::size_t length = 0;
    for (const nlohmann::json &message : messages) {
        const nlohmann::json content = message.value("content", nlohmann::json());
        length += content.is_string() ? content.get_ref<const std::string &>().size() : content.dump().size();
    }
    return length;
}

/// Chat name of a request without one: a hash of the messages up to the first user message, which all turns of a chat
/// repeat. Real engines look a prefix up by its text.
std::string chatNameFromPrefix(const nlohmann::json &messages)
{
    std::string prefix;
    for (const nlohmann::json &message : messages) {
        prefix += message.dump();
        if (message.value("role", std::string()) == "user") {
            break;
        }
    }
    return "prefix-" + toHex(hashText(prefix));
}

/// @throws nlohmann::json::exception if the body is not a chat request.
chat_request parseChat(const call &call, std::uint64_t number)
{
    const nlohmann::json body = nlohmann::json::parse(call.body);
    chat_request chat;
    chat.model = body.value("model", std::string("standin"));
    chat.stream = body.value("stream", false);
    if (body.contains("stream_options")) {
        chat.separateUsage = body["stream_options"].value("include_usage", false);
    }
    const nlohmann::json &messages = body.at("messages");
    chat.seed = hashText(messages.dump());
    engine_request &work = *chat.work;
    work.id = call.header("X-Request-Id");
    if (work.id.empty()) {
        work.id = "standin-" + std::to_string(number);
    }
    work.chat = call.header("X-Nutmegtally-Chat");
    if (work.chat.empty()) {
        work.chat = body.value("prompt_cache_key", chatNameFromPrefix(messages));
    }
    const std::string priority = call.header("X-Priority");
    work.priority = priority.empty() ? 1 : static_cast<std::uint32_t>(std::stoul(priority));
    work.promptTokens = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(promptLength(messages)) / charactersPerToken);
    const std::uint32_t wanted = body.value("max_completion_tokens", body.value("max_tokens", defaultOutputTokens));
    work.outputTokens = std::clamp<std::uint32_t>(wanted, 1, maxOutputTokens);
    const std::string offset = call.header("X-Resume-Offset");
    chat.resumeOffset = offset.empty() ? 0 : std::stoull(offset);
    return chat;
}

nlohmann::json usageOf(const engine_request &work, std::uint32_t generated)
{
    return {{"prompt_tokens", work.promptTokens},
            {"completion_tokens", generated},
            {"total_tokens", work.promptTokens + generated},
            {"prompt_tokens_details", {{"cached_tokens", work.cachedTokens}}}};
}

class engine_handler : public handler
{
public:
    explicit engine_handler(const engine_options &options)
        : handler({{"cold_start", false},
                   {"slow", 1},
                   {"silence_running", false},
                   {"silence_next", 0},
                   {"half_answers", 0},
                   {"restart", false},
                   {"outage", false}})
        , m_options(options)
        , m_model(options)
    {
    }

    void handle(const call &call) override
    {
        if (m_faults.isEnabled("outage")) {
            call.reply(503, {{"error", "outage"}});
            return;
        }
        if (call.path == "/v1/chat/completions" && call.method == "POST") {
            chat(call);
        } else if (call.path.starts_with("/v1/requests/") && call.method == "DELETE") {
            const bool known = m_model.cancel(call.path.substr(13));
            call.reply(known ? 200 : 404, {{"cancelled", known}});
        } else if (call.path == "/load" && call.method == "GET") {
            call.reply(200, m_model.load());
        } else if (call.path == "/cache_events" && call.method == "GET") {
            call.reply(200, m_model.cacheEvents(std::stoull(call.parameter("since", "0"))));
        } else if (call.path == "/orders" && call.method == "POST") {
            order(call);
        } else if (call.path.starts_with("/kv/")) {
            cache(call, call.path.substr(4));
        } else {
            call.reply(404, {{"error", "no such path"}});
        }
    }

    nlohmann::json counters() const override
    {
        nlohmann::json counters = m_model.counters();
        const std::lock_guard lock(m_orderMutex);
        counters["orders"] = m_orders;
        counters["orders_refused"] = m_ordersRefused;
        counters["fencing"] = m_fencing;
        return counters;
    }

    void faultsChanged() override
    {
        if (m_faults.isEnabled("restart")) {
            m_faults.set({{"restart", false}});
            m_model.restart();
        }
        if (m_faults.isEnabled("cold_start")) {
            m_faults.set({{"cold_start", false}});
            m_model.beginColdStart();
        }
        if (m_faults.isEnabled("silence_running")) {
            m_faults.set({{"silence_running", false}});
            m_model.stallRunning();
        }
    }

private:
    void chat(const call &call)
    {
        chat_request chat;
        try {
            chat = parseChat(call, ++m_number);
        } catch (const std::exception &fault) {
            call.reply(400, {{"error", {{"message", fault.what()}, {"type", "invalid_request_error"}}}});
            return;
        }
        const engine_request_ptr &work = chat.work;
        work->isStalled = m_faults.consumeOne("silence_next");
        const bool truncate = m_faults.consumeOne("half_answers");
        const start_result started = m_model.start(work, m_faults.number("slow"));
        if (started == start_result::refused) {
            call.reply(503, {{"error", {{"message", "the engine is warming up"}, {"type", "overloaded_error"}}}});
            return;
        }
        // Stopped while it waited: it holds no slot in the batch, so finish() must not be called.
        if (started == start_result::stopped) {
            call.dropConnection();
            return;
        }
        const std::uint32_t generated = chat.stream ? streamAnswer(call, chat, truncate) : sendCompleteAnswer(call, chat, truncate);
        m_model.finish(work, generated, generated == work->outputTokens);
        if (work->isStalled) {
            call.stallConnection();
        }
    }

    /// @return Generated tokens; fewer than wanted if the stream was cut.
    std::uint32_t streamAnswer(const call &call, const chat_request &chat, bool truncate)
    {
        const engine_request &work = *chat.work;
        call.response.setContentType("text/event-stream");
        call.response.set("Cache-Control", "no-cache");
        call.response.setChunkedTransferEncoding(true);
        std::ostream &out = call.response.send();
        std::size_t position = 0; // characters of the answer before the next token
        for (std::uint32_t i = 0; i < work.outputTokens; ++i) {
            const std::string_view text = tokenText(chat.seed, i);
            const std::size_t begin = position;
            position += text.size();
            if (position <= chat.resumeOffset) {
                continue; // the client already has this token, so it is not generated again
            }
            if (!m_model.waitForToken(chat.work, m_faults.number("slow")) || work.isStalled || (truncate && i >= work.outputTokens / 2)) {
                if (!work.isStalled) {
                    call.dropConnection();
                }
                return i;
            }
            const std::size_t skip = chat.resumeOffset > begin ? chat.resumeOffset - begin : 0;
            out << chunk(chat, {{"content", text.substr(skip)}}, nullptr, i + 1) << std::flush;
            if (!out.good()) {
                return i;
            }
        }
        out << chunk(chat, nlohmann::json::object(), "stop", work.outputTokens);
        if (chat.separateUsage) {
            const nlohmann::json usage = {{"id", work.id},
                                          {"object", "chat.completion.chunk"},
                                          {"model", chat.model},
                                          {"choices", nlohmann::json::array()},
                                          {"usage", usageOf(work, work.outputTokens)}};
            out << "data: " << usage.dump() << "\n\n";
        }
        out << "data: [DONE]\n\n" << std::flush;
        return work.outputTokens;
    }

    static std::string chunk(const chat_request &chat, nlohmann::json delta, const char *finish, std::uint32_t generated)
    {
        nlohmann::json choice = {{"index", 0}, {"delta", std::move(delta)}, {"finish_reason", nullptr}};
        nlohmann::json json = {{"id", chat.work->id}, {"object", "chat.completion.chunk"}, {"model", chat.model}};
        if (finish != nullptr) {
            choice["finish_reason"] = finish;
            json["usage"] = usageOf(*chat.work, generated);
        }
        json["choices"] = nlohmann::json::array({std::move(choice)});
        return "data: " + json.dump() + "\n\n";
    }

    std::uint32_t sendCompleteAnswer(const call &call, const chat_request &chat, bool truncate)
    {
        const engine_request &work = *chat.work;
        std::string text;
        for (std::uint32_t i = 0; i < work.outputTokens; ++i) {
            if (!m_model.waitForToken(chat.work, m_faults.number("slow")) || work.isStalled) {
                if (!work.isStalled) {
                    call.dropConnection();
                }
                return i;
            }
            text += tokenText(chat.seed, i);
        }
        const nlohmann::json message = {{"role", "assistant"}, {"content", text}};
        const nlohmann::json choice = {{"index", 0}, {"message", message}, {"finish_reason", "stop"}};
        const std::string answer = nlohmann::json({{"id", work.id},
                                                   {"object", "chat.completion"},
                                                   {"model", chat.model},
                                                   {"choices", nlohmann::json::array({choice})},
                                                   {"usage", usageOf(work, work.outputTokens)}})
                                       .dump();
        if (truncate) {
            call.response.setContentLength(static_cast<std::streamsize>(answer.size()));
            call.response.send() << answer.substr(0, answer.size() / 2) << std::flush;
            call.dropConnection();
            return work.outputTokens / 2;
        }
        call.replyText(200, answer);
        return work.outputTokens;
    }

    void order(const call &call)
    {
        const nlohmann::json order = nlohmann::json::parse(call.body, nullptr, false);
        constexpr std::array<std::string_view, 4> kinds = {"load_model", "load_adapter", "load_version", "change_role"};
        const std::string kind = order.is_object() ? order.value("kind", "") : std::string();
        if (std::find(kinds.begin(), kinds.end(), kind) == kinds.end()) {
            call.reply(400, {{"error", "unknown kind of order"}});
            return;
        }
        {
            const std::lock_guard lock(m_orderMutex);
            const std::uint64_t fencing = order.value("fencing", std::uint64_t {0});
            if (m_options.checksFencing && fencing < m_fencing) {
                ++m_ordersRefused;
                call.reply(409, {{"error", "old fencing number"}, {"fencing", m_fencing}});
                return;
            }
            m_fencing = std::max(m_fencing, fencing);
            m_orders.push_back(order);
            if (m_orders.size() > maxStoredOrders) {
                m_orders.erase(m_orders.begin());
            }
        }
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(m_options.orderMs));
        call.reply(200, {{"done", kind}});
    }

    void cache(const call &call, const std::string &chat)
    {
        if (call.method == "GET") {
            const std::uint32_t tokens = m_model.cachedTokens(chat);
            call.reply(tokens == 0 ? 404 : 200, {{"chat", chat}, {"cached_tokens", tokens}});
        } else if (call.method == "PUT") {
            const std::uint32_t tokens = nlohmann::json::parse(call.body).at("cached_tokens").get<std::uint32_t>();
            m_model.importCache(chat, tokens);
            call.reply(200, {{"chat", chat}, {"cached_tokens", tokens}});
        } else {
            call.reply(405, {{"error", "use GET or PUT"}});
        }
    }

    engine_options m_options;
    engine_model m_model;
    std::atomic<std::uint64_t> m_number {0};
    mutable std::mutex m_orderMutex;
    nlohmann::json m_orders = nlohmann::json::array();
    std::uint64_t m_ordersRefused = 0;
    std::uint64_t m_fencing = 0; // highest fencing number seen
};

} // namespace

int runEngine(std::vector<std::string> args)
{
    engine_options options;
    TCLAP::CmdLine line("Stand-in of a model engine", ' ', "0.1.0");
    TCLAP::ValueArg<std::uint16_t> port("", "port", "Port on 127.0.0.1; 0 lets the kernel choose", false, 0, "PORT", line);
    const auto number = [&line](const char *name, const char *text, double &target) {
        return std::make_unique<TCLAP::ValueArg<double>>("", name, text, false, target, "NUMBER", line);
    };
    const auto prefill = number("prefill-tokens-per-second", "Prefill rate of the whole engine", options.prefillTokensPerSecond);
    const auto tokenMs = number("token-ms", "Time between two tokens of a stream", options.tokenMs);
    const auto coldStart = number("cold-start-ms", "Length of a cold start", options.coldStartMs);
    const auto coldSlowdown = number("cold-slowdown", "Factor on all times during a cold start", options.coldSlowdown);
    const auto loadLag = number("load-lag-ms", "Age of the reported load", options.loadLagMs);
    const auto eventDelay = number("cache-event-delay-ms", "Delay of cache events", options.cacheEventDelayMs);
    const auto orderMs = number("order-ms", "Time to carry out an order", options.orderMs);
    TCLAP::ValueArg<unsigned> concurrency("", "concurrency", "Streams at once", false, options.concurrency, "N", line);
    TCLAP::ValueArg<unsigned> cold("", "cold-concurrency", "Requests that a cold engine accepts", false, options.coldConcurrency, "N",
                                   line);
    TCLAP::ValueArg<std::uint64_t> cache("", "cache-tokens", "Size of the prefix cache", false, options.cacheTokens, "N", line);
    TCLAP::ValueArg<unsigned> gap("", "cache-event-gap", "Every n-th cache event is lost", false, options.cacheEventGap, "N", line);
    TCLAP::SwitchArg fencing("", "checks-fencing", "Refuse orders with a stale fencing number", line);
    line.parse(args);
    options.prefillTokensPerSecond = prefill->getValue();
    options.tokenMs = tokenMs->getValue();
    options.coldStartMs = coldStart->getValue();
    options.coldSlowdown = coldSlowdown->getValue();
    options.loadLagMs = loadLag->getValue();
    options.cacheEventDelayMs = eventDelay->getValue();
    options.orderMs = orderMs->getValue();
    options.concurrency = concurrency.getValue();
    options.coldConcurrency = cold.getValue();
    options.cacheTokens = cache.getValue();
    options.cacheEventGap = gap.getValue();
    options.checksFencing = fencing.getValue();
    engine_handler handler(options);
    return serve(handler, port.getValue());
}

} // namespace nutmegtally::standin
