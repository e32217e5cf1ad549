// Authentication: bearer keys of client accounts, and MACs on messages between the processes of the fleet.
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

/// Index of client accounts by bearer key. Immutable; each configuration gets a new index.
class account_index
{
public:
    explicit account_index(const fleet_config &config);

    /// @param authorization Value of the Authorization header, "Bearer KEY".
    /// @throws error unknownAccount if the scheme is another one or no account has the key.
    account_id find(const std::string &authorization) const;

private:
    std::unordered_map<std::string, account_id> m_accounts; // by SHA-256 or BLAKE2b of the key, in hexadecimal
};

/// Signs and verifies messages between the processes of the fleet with a MAC over method, path, fields, body, time and
/// nonce. During a key rotation two keys are valid; the first one signs. Thread-safe.
class message_authenticator
{
public:
    /// @param keys At least one, of 64 hexadecimal digits each.
    /// @throws error settingsInvalid if there is no key or one is malformed.
    explicit message_authenticator(const std::vector<std::string> &keys);

    /// Adds "time", "nonce" and "tag" to @p fields.
    void sign(std::string_view method, std::string_view path, nlohmann::json &fields, std::string_view body) const;

    /// Verifies and removes the members that sign() added.
    /// @throws error authenticationFailed if the tag is wrong, the time differs too much from the local clock or the nonce
    /// was received before (replay).
    void verify(std::string_view method, std::string_view path, nlohmann::json &fields, std::string_view body);

private:
    using mac_key = std::vector<unsigned char>;

    void rejectReplay(const std::string &nonce, std::int64_t now);

    std::vector<mac_key> m_keys;
    std::mutex m_mutex; // guards the nonces
    std::unordered_set<std::string> m_seenNonces; // nonces that a replay could still use
    std::deque<std::pair<std::int64_t, std::string>> m_noncesByTime; // the same with their arrival in ms, oldest first
};

} // namespace nutmegtally
