#include "daemon/daemon_access.h"

#include "daemon/daemon_log.h"

#include <nutmegtally/errors.h>
#include <nutmegtally/ids.h>

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <array>
#include <chrono>

namespace nutmegtally
{

namespace
{

constexpr std::int64_t replayWindowMs = 30'000; // clock skew between processes plus transit time, in either direction
constexpr std::size_t keyHashBytes = 32;

void initializeSodium()
{
    static const int result = sodium_init();
    if (result < 0) {
        throw error(error_code::internal, "libsodium cannot be initialized");
    }
}

std::string toHexText(const unsigned char *bytes, std::size_t count)
{
    std::string text(count * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes, count);
    text.pop_back();
    return text;
}

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string computeTag(const std::vector<unsigned char> &key, std::string_view method, std::string_view path, const nlohmann::json &fields,
                       std::string_view body)
{
    crypto_auth_hmacsha512256_state state;
    crypto_auth_hmacsha512256_init(&state, key.data(), key.size());
    const auto add = [&](std::string_view part) {
        // Each part is preceded by its length, so that different messages never feed the same bytes to the MAC.
        const std::uint64_t size = part.size();
        crypto_auth_hmacsha512256_update(&state, reinterpret_cast<const unsigned char *>(&size), sizeof size);
        crypto_auth_hmacsha512256_update(&state, reinterpret_cast<const unsigned char *>(part.data()), part.size());
    };
    add(method);
    add(path);
    add(fields.dump());
    add(body);
    std::array<unsigned char, crypto_auth_hmacsha512256_BYTES> tag {};
    crypto_auth_hmacsha512256_final(&state, tag.data());
    return toHexText(tag.data(), tag.size());
}

/// Reads a member of a message that is not authenticated yet.
/// @return Empty if the member is absent or has another type than string.
std::string stringMember(const nlohmann::json &fields, const char *key)
{
    const auto found = fields.find(key);
    return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

std::uint64_t randomId()
{
    initializeSodium();
    std::uint64_t value = 0;
    while (value == 0) {
        randombytes_buf(&value, sizeof value);
    }
    return value;
}

account_index::account_index(const fleet_config &config)
{
    initializeSodium();
    for (const auto &[id, account] : config.accounts) {
        for (const std::string &hash : account.keyHashes) {
            m_accounts.emplace(hash, id);
        }
    }
}

account_id account_index::find(const std::string &authorization) const
{
    static constexpr std::string_view scheme = "Bearer ";
    if (authorization.compare(0, scheme.size(), scheme) != 0) {
        throw error(error_code::unknownAccount);
    }
    const std::string key = authorization.substr(scheme.size());
    const auto *bytes = reinterpret_cast<const unsigned char *>(key.data());
    std::array<unsigned char, keyHashBytes> hash {};
    crypto_hash_sha256(hash.data(), bytes, key.size());
    auto found = m_accounts.find(toHexText(hash.data(), hash.size()));
    if (found == m_accounts.end()) {
        crypto_generichash(hash.data(), hash.size(), bytes, key.size(), nullptr, 0);
        found = m_accounts.find(toHexText(hash.data(), hash.size()));
    }
    if (found == m_accounts.end()) {
        throw error(error_code::unknownAccount);
    }
    return found->second;
}

message_authenticator::message_authenticator(const std::vector<std::string> &keys)
{
    initializeSodium();
    for (const std::string &text : keys) {
        mac_key key(crypto_auth_hmacsha512256_KEYBYTES);
        std::size_t length = 0;
        if (sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), nullptr, &length, nullptr) != 0 || length != key.size()) {
            throw error(error_code::settingsInvalid, "an inner key is not 64 hexadecimal digits");
        }
        m_keys.push_back(std::move(key));
    }
    if (m_keys.empty()) {
        throw error(error_code::settingsInvalid, "no inner key");
    }
}

void message_authenticator::sign(std::string_view method, std::string_view path, nlohmann::json &fields, std::string_view body) const
{
    fields["time"] = wallMilliseconds();
    fields["nonce"] = toHex(randomId());
    fields["tag"] = computeTag(m_keys.front(), method, path, fields, body);
}

void message_authenticator::verify(std::string_view method, std::string_view path, nlohmann::json &fields, std::string_view body)
{
    const std::string tag = stringMember(fields, "tag");
    fields.erase("tag");
    bool valid = false;
    for (const mac_key &key : m_keys) {
        const std::string expected = computeTag(key, method, path, fields, body);
        valid = valid || (expected.size() == tag.size() && sodium_memcmp(expected.data(), tag.data(), tag.size()) == 0);
    }
    const std::int64_t now = wallMilliseconds();
    const std::int64_t sent = valid ? fields.value("time", std::int64_t {0}) : 0;
    if (!valid || sent < now - replayWindowMs || sent > now + replayWindowMs) {
        logEvent(log_event::messageForged, valid ? "reason=time" : "reason=tag");
        throw error(error_code::authenticationFailed);
    }
    rejectReplay(stringMember(fields, "nonce"), now);
    fields.erase("time");
    fields.erase("nonce");
}

void message_authenticator::rejectReplay(const std::string &nonce, std::int64_t now)
{
    const std::lock_guard lock(m_mutex);
    // A message is valid from replayWindowMs before to replayWindowMs after its time, so a nonce matters for twice the window.
    while (!m_noncesByTime.empty() && m_noncesByTime.front().first < now - 2 * replayWindowMs) {
        m_seenNonces.erase(m_noncesByTime.front().second);
        m_noncesByTime.pop_front();
    }
    if (!m_seenNonces.insert(nonce).second) {
        logEvent(log_event::messageReplayed);
        throw error(error_code::authenticationFailed, "the message was received before");
    }
    m_noncesByTime.emplace_back(now, nonce);
}

} // namespace nutmegtally
