#include "daemon/daemon_operators.h"

#include "daemon/daemon_log.h"

#include <nutmegtally/errors.h>

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>

namespace nutmegtally
{

namespace
{

constexpr std::size_t secretBytes = 32;

void initializeSodium()
{
    static const int result = sodium_init();
    if (result < 0) {
        throw error(error_code::internal, "libsodium cannot be initialized");
    }
}

} // namespace

std::optional<operator_role> operatorRoleFromName(std::string_view name)
{
    const auto found = std::find(operatorRoleNames.begin(), operatorRoleNames.end(), name);
    if (found == operatorRoleNames.end()) {
        return {};
    }
    return static_cast<operator_role>(found - operatorRoleNames.begin());
}

std::string generateSecret()
{
    initializeSodium();
    std::array<unsigned char, secretBytes> bytes {};
    randombytes_buf(bytes.data(), bytes.size());
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING), '\0');
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    text.pop_back();
    return text;
}

std::string hashSecret(std::string_view secret)
{
    initializeSodium();
    std::array<unsigned char, crypto_generichash_BYTES> hash {};
    crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char *>(secret.data()), secret.size(), nullptr, 0);
    std::string text(hash.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), hash.data(), hash.size());
    text.pop_back();
    return text;
}

operator_registry::operator_registry(const std::string &text)
{
    if (text.empty()) {
        return;
    }
    try {
        const nlohmann::json document = nlohmann::json::parse(text);
        for (const auto &[name, entry] : document.items()) {
            const auto role = operatorRoleFromName(entry.at("role").get<std::string>());
            if (!role) {
                throw error(error_code::configurationInvalid, operatorsObjectName + ": " + name + " has no known role");
            }
            m_entries[name] = {entry.at("tokenHash").get<std::string>(), *role};
        }
    } catch (const nlohmann::json::exception &) {
        throw error(error_code::configurationInvalid, operatorsObjectName + " is malformed");
    }
}

std::string operator_registry::authorize(std::string_view token, operator_role needed) const
{
    if (m_entries.empty()) {
        return "first-operator";
    }
    const std::string hash = hashSecret(token);
    for (const auto &[name, entry] : m_entries) {
        if (entry.tokenHash.size() != hash.size() || sodium_memcmp(entry.tokenHash.data(), hash.data(), hash.size()) != 0) {
            continue;
        }
        if (entry.role < needed) {
            logEvent(log_event::accessDenied, "operator=" + name + " reason=role");
            throw error(error_code::forbidden, "role " + std::string(operatorRoleNames[static_cast<std::size_t>(needed)]));
        }
        return name;
    }
    logEvent(log_event::accessDenied, "reason=token");
    throw error(error_code::authenticationFailed, "the operator token is not known");
}

void operator_registry::set(const std::string &name, operator_entry entry)
{
    m_entries[name] = std::move(entry);
}

bool operator_registry::remove(const std::string &name)
{
    return m_entries.erase(name) != 0;
}

std::string operator_registry::toText() const
{
    nlohmann::json out = nlohmann::json::object();
    for (const auto &[name, entry] : m_entries) {
        out[name] = {{"tokenHash", entry.tokenHash}, {"role", operatorRoleNames[static_cast<std::size_t>(entry.role)]}};
    }
    return out.dump();
}

} // namespace nutmegtally
