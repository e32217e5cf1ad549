// Error codes and the exception of the project. Every error has a remedy, and every refusal of a request tells whether
// the request was executed.
#pragma once

#include <nutmegtally/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace nutmegtally
{

/// Whether a request was executed by its upstream. `notRun` is only used if no byte of it reached the upstream.
enum class run_state : std::uint8_t {
    notRun,
    ran,
    unknown,
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(run_state::count)> runStateNames = {"not_run", "ran", "unknown"};

constexpr std::string_view name(run_state state)
{
    return runStateNames[static_cast<std::size_t>(state)];
}

/// @return The state with this name, or nothing.
std::optional<run_state> runStateFromName(std::string_view name);

enum class error_code : std::uint8_t {
    malformedRequest,
    bodyTooLarge,
    headersTooLarge,
    tooManyConnections,
    unknownAccount,
    forbidden,
    unknownClass,
    unknownModel,
    unknownService,
    keyMissing,
    keyInvalid,
    keyExpired,
    keyReused,
    keyClosed,
    keyInProgress,
    outcomeUnknown,
    notOwner,
    overloaded,
    targetUnreachable,
    accountOverShare,
    domainClosed,
    upstreamLeaving,
    upstreamCold,
    noUpstream,
    platformUnavailable,
    configurationUnknown,
    deadlineExceeded,
    streamLost,
    upstreamFailed,
    shuttingDown,
    staleFencingToken,
    settingsInvalid,
    configurationInvalid,
    configurationConflict,
    authenticationFailed,
    internal,
    count
};

/// Description of an error code for callers and operators.
struct error_info {
    error_code code;
    std::string_view name; // value of the "code" member in an error response
    int httpStatus;
    std::string_view message;
    std::string_view remedy;
};

/// Table entry of an error code.
const error_info &errorInfo(error_code code);

/// @return The code with this name, or nothing.
std::optional<error_code> errorCodeFromName(std::string_view name);

/// Exception with an error code. what() is "message (detail); remedy".
class error : public std::runtime_error
{
public:
    /// @param detail Added to the message of the code; empty for none. Must not contain secrets.
    /// @param state Whether the request was executed.
    /// @param retryAfter Time after which a retry makes sense; nothing if waiting does not help.
    explicit error(error_code code, std::string_view detail = {}, run_state state = run_state::notRun,
                   std::optional<duration> retryAfter = {});

    error_code code() const
    {
        return m_code;
    }

    run_state state() const
    {
        return m_state;
    }

    /// Time after which a retry makes sense; nothing if waiting does not help.
    std::optional<duration> retryAfter() const
    {
        return m_retryAfter;
    }

    const std::string &detail() const
    {
        return m_detail;
    }

private:
    error_code m_code;
    run_state m_state;
    std::optional<duration> m_retryAfter;
    std::string m_detail;
};

} // namespace nutmegtally
