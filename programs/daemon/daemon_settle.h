// JSON-RPC call ledger.settle between processes: a former owner or an operator reports the outcome of a booking to the
// owner of its shard.
#pragma once

#include <nutmegtally/ledger.h>

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <string>
#include <string_view>

namespace nutmegtally
{

inline constexpr const char *settleMethod = "ledger.settle";

inline constexpr std::array<std::string_view, static_cast<std::size_t>(settle_result::count)> settleResultNames
    = {"stored", "already_settled", "not_found", "not_owner", "unavailable"};

struct settle_call {
    std::string service;
    ledger_event::settlement_requested request; // settlementId is not sent
};

struct settle_answer {
    settle_result result = settle_result::unavailable;
    std::string owner; // the shard's owner, with notOwner
};

nlohmann::json toJson(const settle_call &call);
nlohmann::json toJson(const settle_answer &answer);

/// @throws error malformedRequest
settle_call parseSettleCall(const nlohmann::json &json);
settle_answer parseSettleAnswer(const nlohmann::json &json);

} // namespace nutmegtally
