// Types shared by routing, admission and the daemons: requests, load reports and refusals.
#pragma once

#include <nutmegtally/errors.h>
#include <nutmegtally/ids.h>
#include <nutmegtally/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace nutmegtally
{

enum class work_kind : std::uint8_t {
    chat, // model engine, answered as a stream or as a whole
    read, // idempotent call of a plain service
    booking, // non-idempotent call of a plain service
    count
};

/// State of an upstream as its agent announces it.
enum class upstream_state : std::uint8_t {
    live,
    leaving, // finishes its running work and accepts no new work
    gone,
    count
};

/// An upstream as routers know it.
struct upstream_info {
    upstream_id upstream;
    std::string name;
    domain_id domain;
    region_id region;
    model_id model; // valid for an engine
    service_id service; // valid for a plain service
    std::string address; // host:port of the agent
    std::uint64_t incarnation = 0; // grows with each start of the upstream
    upstream_state state = upstream_state::live;
};

/// Load of one upstream. Its agent attaches it to every answer.
struct load_report {
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0; // requests at the upstream
    std::uint32_t queued = 0; // requests in the agent's queue
    std::uint32_t window = 0; // current concurrency limit of the upstream, in requests
    std::uint32_t pendingPrefillTokens = 0; // prompt tokens that are not prefilled yet
    double prefillTokensPerSecond = 0; // measured, 0 if not known
    duration queueDelay {0}; // expected queueing time of new work
    bool cold = false; // the window is still growing after a start or a collapse
};

/// Estimate of the mean load of the upstreams of a class's model or service.
struct mean_load_estimate {
    double load = 0; // running plus queued requests per upstream
    std::uint32_t samples = 0; // number of upstreams in the estimate; 0 for no estimate
    duration age {0}; // of the oldest sample used
};

/// A caller's request, as routing and admission need it.
struct request_info {
    work_kind kind = work_kind::chat;
    class_id workClass;
    account_id account;
    chat_id chat; // invalid for a request outside any chat
    model_id model; // valid for chats
    service_id service; // valid for reads and bookings
    std::uint32_t promptTokens = 0; // estimated
    std::uint32_t expectedTokens = 0; // to generate, 0 if not known
    std::string token; // routing token of the previous answer, empty for none
    std::string idempotencyKey; // bookings only
    std::uint64_t bodyHash = 0; // bookings only: of method, path and body
    time_point deadline; // the router makes no attempt after this time and stops waiting for an answer that has not started
};

/// Why work was rejected. No byte of it reached the upstream.
struct refusal {
    error_code code = error_code::overloaded;
    duration retryAfter {0}; // time after which a retry is useful
};

/// Identifies one attempt of a request at one upstream.
struct attempt_ref {
    request_id request;
    std::uint32_t attempt = 0; // 1 for the first

    auto operator<=>(const attempt_ref &) const = default;
};

} // namespace nutmegtally
