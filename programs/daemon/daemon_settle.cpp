#include "daemon/daemon_settle.h"

#include <nutmegtally/errors.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace nutmegtally
{

namespace
{

using json = nlohmann::json;

booking_outcome parseOutcome(const json &source)
{
    booking_outcome outcome;
    outcome.status = source.at("status").get<int>();
    outcome.contentType = source.value("contentType", "");
    outcome.bodyHash = fromHex(source.value("bodyHash", ""));
    outcome.body = source.value("body", "");
    outcome.bodyKept = source.value("bodyKept", false);
    return outcome;
}

json outcomeToJson(const booking_outcome &outcome)
{
    return {{"status", outcome.status},
            {"contentType", outcome.contentType},
            {"bodyHash", toHex(outcome.bodyHash)},
            {"body", outcome.body},
            {"bodyKept", outcome.bodyKept}};
}

settle_audit parseAudit(const json &source)
{
    const wall_time when {std::chrono::milliseconds(source.at("when").get<std::int64_t>())};
    return {source.at("who").get<std::string>(), when, source.at("why").get<std::string>()};
}

settle_call parseCall(const json &source)
{
    const auto key = idempotency_key::fromText(source.at("key").get<std::string>());
    const auto state = runStateFromName(source.at("state").get<std::string>());
    if (!key || !state || *state == run_state::unknown) {
        throw error(error_code::malformedRequest, "ledger.settle needs a booking key and the state ran or not_run");
    }
    settle_call call;
    call.service = source.at("service").get<std::string>();
    call.request.key = *key;
    call.request.claimNonce = fromHex(source.at("claim").get<std::string>());
    call.request.state = *state;
    if (*state == run_state::ran) {
        call.request.outcome = parseOutcome(source.at("outcome"));
    }
    if (source.contains("audit")) {
        call.request.audit = parseAudit(source.at("audit"));
    }
    return call;
}

} // namespace

json toJson(const settle_call &call)
{
    json out = {{"service", call.service},
                {"key", call.request.key.toText()},
                {"claim", toHex(call.request.claimNonce)},
                {"state", name(call.request.state)}};
    if (call.request.state == run_state::ran) {
        out["outcome"] = outcomeToJson(call.request.outcome);
    }
    if (call.request.audit) {
        const settle_audit &audit = *call.request.audit;
        out["audit"] = {{"who", audit.who}, {"when", audit.when.time_since_epoch().count()}, {"why", audit.why}};
    }
    return out;
}

json toJson(const settle_answer &answer)
{
    return {{"result", settleResultNames[static_cast<std::size_t>(answer.result)]}, {"owner", answer.owner}};
}

settle_call parseSettleCall(const json &source)
{
    try {
        return parseCall(source);
    } catch (const json::exception &fault) {
        throw error(error_code::malformedRequest, fault.what());
    }
}

settle_answer parseSettleAnswer(const json &source)
{
    try {
        const auto text = source.at("result").get<std::string>();
        const auto found = std::find(settleResultNames.begin(), settleResultNames.end(), text);
        if (found == settleResultNames.end()) {
            throw error(error_code::malformedRequest, "ledger.settle: unknown result");
        }
        return {static_cast<settle_result>(found - settleResultNames.begin()), source.value("owner", "")};
    } catch (const json::exception &fault) {
        throw error(error_code::malformedRequest, fault.what());
    }
}

} // namespace nutmegtally
