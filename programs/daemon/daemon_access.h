// Access: bearer keys of client accounts, and the authentication of messages between the project's processes.
#pragma once

#include <nutmegtally/fleet_config.h>
#include <nutmegtally/time.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace nutmegtally
{

/// Random 64 bits, never 0.
std::uint64_t randomId();

/// Finds accounts by bearer key. Immutable; rebuilt with each configuration.
class account_index
{
public:
    explicit account_index(const fleet_config &config);

    /// @param authorization Value of the Authorization header.
    /// @throws error unknownAccount
    account_id find(const std::string &authorization) const;

private:
    std::unordered_map<std::string, account_id> m_accounts; // by hexadecimal key hash
};

/// Signs and checks inner messages with a MAC over method, path, fields, body, time and nonce. Two keys are valid
/// during a rotation; the first one signs.
class message_authenticator
{
public:
    /// @param keys 64 hexadecimal digits each. @throws error settingsInvalid
    explicit message_authenticator(const std::vector<std::string> &keys);

    /// Adds "time", "nonce" and "tag" to @p fields.
    void sign(std::string_view method, std::string_view path, nlohmann::json &fields, std::string_view body) const;

    /// Checks and removes what sign() added.
    /// @throws error authenticationFailed if the tag is wrong, the time is outside the window or the message was seen before.
    void verify(std::string_view method, std::string_view path, nlohmann::json &fields, std::string_view body);

private:
    using mac_key = std::vector<unsigned char>;

    void rejectReplay(const std::string &nonce, std::int64_t now);

    std::vector<mac_key> m_keys;
    std::mutex m_mutex;
    std::unordered_set<std::string> m_seenNonces; // nonces within the window
    std::deque<std::pair<std::int64_t, std::string>> m_noncesByTime; // of the same, oldest first
};

} // namespace nutmegtally
