// Operators of the fleet: tokens with roles, stored only as hashes in the object `access/operators`; and generation of
// keys and tokens.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegtally
{

enum class operator_role : std::uint8_t {
    read, // may read configuration, status, audit and ledger
    operate, // may also change them
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(operator_role::count)> operatorRoleNames = {"read", "operate"};

std::optional<operator_role> operatorRoleFromName(std::string_view name);

/// Random bearer key or token: 32 bytes in URL-safe base64.
std::string generateSecret();

/// Hash that account_index and operator_registry compare: BLAKE2b, 64 hexadecimal digits.
std::string hashSecret(std::string_view secret);

struct operator_entry {
    std::string tokenHash;
    operator_role role = operator_role::read;
};

inline const std::string operatorsObjectName = "access/operators";

class operator_registry
{
public:
    operator_registry() = default;

    /// @param text Value of the object, empty if it does not exist.
    /// @throws error configurationInvalid
    explicit operator_registry(const std::string &text);

    /// @return The operator's name. While no operator exists, everyone is authorized, so that the first one can be created.
    /// @throws error authenticationFailed for an unknown token, forbidden if the role is too low
    std::string authorize(std::string_view token, operator_role needed) const;

    void set(const std::string &name, operator_entry entry);

    /// @return Whether the operator existed.
    bool remove(const std::string &name);

    const std::map<std::string, operator_entry> &entries() const
    {
        return m_entries;
    }

    std::string toText() const;

private:
    std::map<std::string, operator_entry> m_entries;
};

} // namespace nutmegtally
