// Table of error codes: name, HTTP status, message and remedy.
#include <nutmegtally/errors.h>

#include <algorithm>

namespace nutmegtally
{

namespace
{

using enum error_code;

constexpr std::array<error_info, static_cast<std::size_t>(error_code::count)> errorTable = {{
    {malformedRequest, "malformed_request", 400, "the request is malformed", "correct the request as the detail says"},
    {bodyTooLarge, "body_too_large", 413, "the request body is too large", "send a shorter body"},
    {headersTooLarge, "headers_too_large", 431, "the request headers are too large", "send fewer or shorter headers"},
    {tooManyConnections, "too_many_connections", 503, "the router serves too many connections", "retry after the stated time"},
    {unknownAccount, "unknown_account", 401, "the bearer key belongs to no client account", "send a valid key in the Authorization header"},
    {forbidden, "forbidden", 403, "the token's role does not allow this", "use a token with the role that the detail names"},
    {unknownClass, "unknown_class", 400, "the class does not exist", "send one of the configured classes in X-Nutmegtally-Class"},
    {unknownModel, "unknown_model", 404, "the model does not exist", "send one of the configured models"},
    {unknownService, "unknown_service", 404, "the service does not exist", "use the path of a configured service"},
    {keyMissing, "key_missing", 400, "a non-idempotent request needs an Idempotency-Key header",
     "send a UUID version 7 as Idempotency-Key"},
    {keyInvalid, "key_invalid", 400, "the Idempotency-Key is not a UUID version 7", "send a UUID version 7 as Idempotency-Key"},
    {keyExpired, "key_expired", 409, "the Idempotency-Key is older than the ledger's horizon, so an earlier attempt may have run",
     "read the service's state before you send a new key"},
    {keyReused, "key_reused", 409, "the Idempotency-Key was used with another request", "use a new key for a new request"},
    {keyClosed, "key_closed", 409, "operators found that the request with this Idempotency-Key did not run, and closed the key",
     "use a new key"},
    {keyInProgress, "key_in_progress", 409, "a request with this Idempotency-Key is in progress",
     "repeat the same key after the stated time"},
    {outcomeUnknown, "outcome_unknown", 502, "the request may have run; it will not be run again",
     "ask the operators to settle the key, or read the service's state"},
    {notOwner, "not_owner", 421, "another agent owns the ledger shard", "send the request to the named owner"},
    {overloaded, "overloaded", 429, "the load bound is reached", "retry after the stated time"},
    {targetUnreachable, "target_unreachable", 429, "the request cannot meet its class's target any more", "retry after the stated time"},
    {accountOverShare, "account_over_share", 429, "the client account uses more than its share while others wait",
     "retry after the stated time"},
    {domainClosed, "domain_closed", 503, "the failure domain is closed", "retry at another upstream"},
    {upstreamLeaving, "upstream_leaving", 503, "the upstream is leaving", "retry at another upstream"},
    {upstreamCold, "upstream_cold", 503, "the upstream is in cold start and its window is full", "retry at another upstream"},
    {noUpstream, "no_upstream", 503, "no upstream can take the request", "retry after the stated time"},
    {platformUnavailable, "platform_unavailable", 503, "the platform's object API is not available", "retry after the stated time"},
    {configurationUnknown, "configuration_unknown", 503, "the process has no configuration yet", "retry after the stated time"},
    {deadlineExceeded, "deadline_exceeded", 504, "the deadline passed", "retry with a longer deadline or at a quieter time"},
    {streamLost, "stream_lost", 502, "the answer broke off and could not be resumed", "send the chat turn again"},
    {upstreamFailed, "upstream_failed", 502, "the upstream failed", "retry if the request is idempotent"},
    {shuttingDown, "shutting_down", 503, "the process is shutting down", "retry; another entry VM answers"},
    {staleFencingToken, "stale_fencing_number", 409, "the order's fencing number is older than one already seen",
     "acquire the lease again"},
    {settingsInvalid, "settings_invalid", 500, "the settings are not valid", "correct every listed fault"},
    {configurationInvalid, "configuration_invalid", 422, "the configuration is not valid", "correct every listed fault"},
    {configurationConflict, "configuration_conflict", 409, "the configuration was changed by someone else",
     "look at the listed changes and apply yours again"},
    {authenticationFailed, "authentication_failed", 401, "the message could not be authenticated",
     "check keys and clocks of both processes"},
    {internal, "internal", 500, "internal fault", "report it with the log lines of this request"},
}};

constexpr bool isTableInOrder()
{
    for (std::size_t i = 0; i < errorTable.size(); ++i) {
        if (errorTable[i].code != static_cast<error_code>(i)) {
            return false;
        }
    }
    return true;
}

static_assert(isTableInOrder(), "errorTable must list every error_code in order");

std::string describe(error_code code, std::string_view detail)
{
    const error_info &info = errorInfo(code);
    std::string text(info.message);
    if (!detail.empty()) {
        text.append(" (").append(detail).append(")");
    }
    return text.append("; ").append(info.remedy);
}

} // namespace

std::optional<run_state> runStateFromName(std::string_view name)
{
    const auto found = std::find(runStateNames.begin(), runStateNames.end(), name);
    if (found == runStateNames.end()) {
        return {};
    }
    return static_cast<run_state>(found - runStateNames.begin());
}

const error_info &errorInfo(error_code code)
{
    return errorTable[static_cast<std::size_t>(code)];
}

std::optional<error_code> errorCodeFromName(std::string_view name)
{
    const auto found = std::find_if(errorTable.begin(), errorTable.end(), [&](const error_info &info) { return info.name == name; });
    if (found == errorTable.end()) {
        return {};
    }
    return found->code;
}

error::error(error_code code, std::string_view detail, run_state state, std::optional<duration> retryAfter)
    : std::runtime_error(describe(code, detail))
    , m_code(code)
    , m_state(state)
    , m_retryAfter(retryAfter)
    , m_detail(detail)
{
}

} // namespace nutmegtally
