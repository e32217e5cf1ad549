// Subcommand "ledger": lists and settles bookings whose outcome is unknown.
#include "ctl/ctl_context.h"
#include "daemon/daemon_settle.h"

#include <nutmegtally/errors.h>
#include <nutmegtally/ids.h>
#include <nutmegtally/ledger_storage.h>

#include <algorithm>
#include <chrono>

namespace nutmegtally
{

namespace
{

struct shard_entry {
    std::string shard;
    std::string owner;
    ledger_entry entry;
};

/// Entries of all ledger heads of the service. Sealed segments are not read, because they hold no open entry.
std::vector<shard_entry> readEntries(ctl_context &context, const std::string &service)
{
    static constexpr std::string_view suffix = "/head";
    const std::string prefix = "ledger/" + service + "/";
    const object_list list = context.objects().list(prefix);
    if (list.status != object_status::ok) {
        throw ctl_failure(exit_code::unreachable, "the ledger cannot be listed; retry when the object API answers");
    }
    std::vector<shard_entry> result;
    for (const object_entry &object : list.entries) {
        if (!object.name.ends_with(suffix)) {
            continue;
        }
        const object_reply reply = context.objects().read(object.name);
        if (reply.status != object_status::ok) {
            throw ctl_failure(exit_code::unreachable, object.name + " cannot be read; retry when the object API answers");
        }
        const ledger_head head = decodeHead(reply.value);
        for (const ledger_entry &entry : head.entries) {
            result.push_back({object.name.substr(prefix.size(), object.name.size() - prefix.size() - suffix.size()), head.owner, entry});
        }
    }
    return result;
}

void listLedger(std::vector<std::string> arguments)
{
    ctl_context context("Lists the entries of a service's ledger heads, by default those that need settling", std::move(arguments));
    TCLAP::UnlabeledValueArg<std::string> service("service", "plain service", true, "", "name", context.commandLine());
    TCLAP::SwitchArg all("", "all", "list entries of every state", context.commandLine());
    context.parse(operator_role::read);
    ctl_table table {{"shard", "owner", "key", "state", "claim", "status", "settled_by"}, {}};
    for (const shard_entry &found : readEntries(context, service.getValue())) {
        const ledger_entry &entry = found.entry;
        if (all.getValue() || entry.state == entry_state::unknown) {
            table.rows.push_back({found.shard, found.owner, entry.key.toText(),
                                  std::string(entryStateNames[static_cast<std::size_t>(entry.state)]), toHex(entry.claimNonce),
                                  std::to_string(entry.outcome.status), entry.audit ? entry.audit->who : "-"});
        }
    }
    context.print(table);
}

shard_entry findUnknownEntry(ctl_context &context, const std::string &service, const std::string &key)
{
    for (shard_entry &found : readEntries(context, service)) {
        if (found.entry.key.toText() == key && found.entry.state == entry_state::unknown) {
            return std::move(found);
        }
    }
    throw ctl_failure(exit_code::failed, "no unknown entry has this key; see 'nutmegtallyctl ledger list'");
}

std::string ownerAddress(ctl_context &context, const std::string &owner)
{
    const auto members = context.readMembers();
    if (members) {
        const auto found
            = std::find_if(members->begin(), members->end(), [&](const member_record &record) { return record.upstream == owner; });
        if (found != members->end()) {
            return found->address;
        }
    }
    throw ctl_failure(exit_code::unreachable,
                      "the shard's owner " + owner
                          + " is not known or no process answers; retry after another process has taken over the shard");
}

/// Sends the settlement to the shard's owner. A direct write to the ledger would fence the owner, and the outcome of its
/// open bookings would become unknown.
void settleLedger(std::vector<std::string> arguments)
{
    ctl_context context("Settles a booking whose outcome is unknown", std::move(arguments));
    TCLAP::UnlabeledValueArg<std::string> service("service", "plain service", true, "", "name", context.commandLine());
    TCLAP::UnlabeledValueArg<std::string> key("key", "idempotency key", true, "", "key", context.commandLine());
    TCLAP::ValueArg<int> ran("", "ran", "it ran, with this HTTP status", false, 0, "status", context.commandLine());
    TCLAP::SwitchArg notRun("", "not-run", "it did not run; the key stays closed", context.commandLine());
    TCLAP::ValueArg<std::string> reason("", "reason", "goes into the audit record", true, "", "text", context.commandLine());
    context.parse(operator_role::operate);
    if (ran.isSet() == notRun.isSet()) {
        throw ctl_failure(exit_code::usage, "give exactly one of --ran and --not-run");
    }
    const shard_entry found = findUnknownEntry(context, service.getValue(), key.getValue());
    settle_call call;
    call.service = service.getValue();
    call.request.key = found.entry.key;
    call.request.claimNonce = found.entry.claimNonce;
    call.request.state = ran.isSet() ? run_state::ran : run_state::notRun;
    call.request.outcome.status = ran.getValue();
    call.request.outcome.bodyKept = false;
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    call.request.audit = settle_audit {context.operatorName(), now, reason.getValue()};
    if (context.isDryRun()) {
        context.print(toJson(call));
        return;
    }
    const auto answer = context.call(ownerAddress(context, found.owner), settleMethod, toJson(call));
    if (!answer) {
        throw ctl_failure(exit_code::unreachable,
                          "the owner did not answer; see 'nutmegtallyctl ledger list' before you repeat the command");
    }
    const settle_answer result = parseSettleAnswer(*answer);
    context.print(toJson(result));
    if (result.result != settle_result::stored && result.result != settle_result::alreadySettled) {
        throw ctl_failure(exit_code::failed,
                          "the settlement was not stored; repeat the command when the owner " + result.owner + " is known");
    }
}

} // namespace

const std::vector<ctl_command> &ledgerCommands()
{
    static const std::vector<ctl_command> commands = {
        {"ledger", "list", "lists bookings whose outcome is unknown", listLedger},
        {"ledger", "settle", "settles such a booking", settleLedger},
    };
    return commands;
}

} // namespace nutmegtally
