// Configuration of the fleet: request classes with latency targets, client accounts, models, services and failure
// domains. Operators change it through the platform's object API. Every process holds an immutable copy of the newest
// version that it has received; it never returns to an older version.
#pragma once

#include <nutmegtally/ids.h>
#include <nutmegtally/time.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtally
{

/// Latency targets of a class, each as a 95th percentile. An unset member has no target.
struct class_target {
    std::optional<duration> firstToken; // from the request to the first token
    std::optional<duration> betweenTokens; // between consecutive tokens
    std::optional<duration> answer; // from the request to the end of the response
};

struct class_config {
    std::string name;
    unsigned priority = 1; // 0 is the highest
    model_id model; // exactly one of model and service is set
    service_id service;
    class_target target;
    double loadBound = 1.25; // maximum load of an upstream as a multiple of the mean load
};

struct account_config {
    std::string name;
    std::vector<std::string> keyHashes; // hexadecimal hash of each valid bearer key; two while the key is rotated
    double share = 1.0; // weight in fair queueing
};

struct model_config {
    std::string name;
    std::uint32_t maxContextTokens = 131072;
    bool checksFencing = false; // the engines themselves refuse an order with an outdated fencing token
};

struct service_config {
    std::string name;
    bool checksKeys = false; // the service itself executes an idempotency key at most once
    bool checksFencing = false; // the service refuses a call with an outdated fencing token
    unsigned shards = 4; // ledger shards; fixed for the life of the service
    duration horizon = std::chrono::hours(1); // retention of the outcomes of idempotency keys
};

enum class domain_state : std::uint8_t {
    open,
    closed,
    count
};

struct domain_config {
    std::string name;
    std::string region;
    domain_state state = domain_state::open;
    std::string reason;
};

/// A validation error in a configuration or a settings file.
struct config_fault {
    std::string path; // JSON pointer to the value
    std::string message;
    std::string remedy;

    bool operator==(const config_fault &) const = default;
};

struct fleet_config {
    std::uint64_t version = 0; // 0 before the first accepted configuration
    std::map<class_id, class_config> classes;
    std::map<account_id, account_config> accounts;
    std::map<model_id, model_config> models;
    std::map<service_id, service_config> services;
    std::map<domain_id, domain_config> domains;

    /// @return The class, or null if it is not configured. The functions below do the same for their kind.
    const class_config *findClass(class_id id) const;
    const account_config *findAccount(account_id id) const;
    const service_config *findService(service_id id) const;
    const model_config *findModel(model_id id) const;
    const domain_config *findDomain(domain_id id) const;

    /// A domain that is not configured counts as open, so that a new domain can serve before its entry is added.
    bool isOpen(domain_id id) const;
};

using fleet_config_ptr = std::shared_ptr<const fleet_config>;

/// Parses and validates a configuration.
/// @param json Object with version, classes, accounts, models, services and domains.
/// @param faults Every validation error is appended. The result is only valid if there is none.
fleet_config parseFleetConfig(const nlohmann::json &json, std::vector<config_fault> &faults);

/// Parses and validates a configuration.
/// @throws error configurationInvalid with every validation error in its detail.
fleet_config parseFleetConfig(const nlohmann::json &json);

nlohmann::json toJson(const fleet_config &config);

/// Formats the errors, one line each: path, message, remedy.
std::string describe(const std::vector<config_fault> &faults);

} // namespace nutmegtally
