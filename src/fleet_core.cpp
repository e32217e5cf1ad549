#include "limits.h"

#include <nutmegtally/errors.h>
#include <nutmegtally/fleet_core.h>

#include <algorithm>
#include <utility>

namespace nutmegtally
{

namespace
{

/// One of this many digest rounds contacts an unreachable member, so that the end of a network partition is detected
/// even if no call from the other side comes first.
constexpr unsigned unreachableRoundInterval = 4;

bool requestsFullState(const fleet_message &request)
{
    return request.kind == message_kind::digest && request.membershipDigest == 0;
}

std::string logField(const char *key, std::uint64_t value)
{
    return std::string(key) + "=" + std::to_string(value);
}

} // namespace

fleet_core::fleet_core(fleet_options options)
    : m_options(std::move(options))
    , m_self(m_options.self)
    , m_random(m_options.seed)
    , m_members(m_options.members)
{
    m_self.vm = vm_id::fromName(m_self.name);
    m_confirmationTimeout
        = m_options.confirmationTimeout
          + duration(static_cast<duration::rep>(m_random.below(static_cast<std::uint64_t>(m_options.confirmationTimeout.count() / 3))));
}

void fleet_core::apply(time_point now, const event &input, std::vector<effect> &effects)
{
    start(now, effects);
    std::visit([&](const auto &concrete) { on(now, concrete, effects); }, input);
}

void fleet_core::start(time_point now, effects_type &effects)
{
    if (std::exchange(m_isStarted, true)) {
        return;
    }
    m_members.merge(now, m_self);
    m_confirmedAt = now;
    const auto jitterRange = static_cast<std::uint64_t>(m_options.digestInterval.count());
    m_nextDigest = now + duration(static_cast<duration::rep>(m_random.below(jitterRange / 4 + 1)));
    m_nextWatch = now;
    m_nextVmListRead = now;
    m_nextUnconfirmedRead = now;
    m_nextWatcherSelection = now;
    // Every process reads the platform once at startup, watcher or not, because it has no configuration yet.
    m_headOperation = m_nextOperation++;
    effects.push_back(fleet_effect::read_head {m_headOperation});
    m_isVmListReadPending = true;
    effects.push_back(fleet_effect::read_vm_list {});
}

duration fleet_core::confirmationAge(time_point now) const
{
    return now - m_confirmedAt;
}

void fleet_core::confirm(time_point now, duration age)
{
    m_isConfirmed = true;
    m_confirmedAt = std::max(m_confirmedAt, now - age);
}

// --- Timers ---

void fleet_core::on(time_point now, const fleet_event::tick &, effects_type &effects)
{
    issuePlatformReads(now, effects);
    readUnconfirmedHead(now, effects);
    updateStaleness(now, effects);
    if (now >= m_nextDigest) {
        startDigestExchange(now, effects);
    }
}

void fleet_core::issuePlatformReads(time_point now, effects_type &effects)
{
    if (now >= m_nextWatcherSelection) {
        m_nextWatcherSelection = now + limits::watcherRankInterval;
        selectWatchers(now);
        m_members.purgeGone(now);
    }
    const bool shouldWatch = m_isWatcher || m_config.version() == 0;
    if (shouldWatch && m_headOperation == 0 && now >= m_nextWatch) {
        m_headOperation = m_nextOperation++;
        if (m_headObjectVersion == 0) {
            effects.push_back(fleet_effect::read_head {m_headOperation});
        } else {
            effects.push_back(fleet_effect::watch_head {m_headOperation, m_headObjectVersion, m_options.watchTimeout});
        }
    }
    const bool needsAddresses = m_members.members().size() < 2;
    if ((m_isWatcher || needsAddresses) && !m_isVmListReadPending && now >= m_nextVmListRead) {
        m_isVmListReadPending = true;
        effects.push_back(fleet_effect::read_vm_list {});
    }
}

void fleet_core::selectWatchers(time_point now)
{
    m_watchers = m_members.watchers(now, m_options.watchersPerDomain);
    m_isWatcher = std::find(m_watchers.begin(), m_watchers.end(), m_self.vm) != m_watchers.end();
}

void fleet_core::readUnconfirmedHead(time_point now, effects_type &effects)
{
    if (confirmationAge(now) < m_confirmationTimeout || now < m_nextUnconfirmedRead || m_headOperation != 0) {
        return;
    }
    m_nextUnconfirmedRead = now + m_options.digestInterval;
    const double members = static_cast<double>(std::max<std::size_t>(1, m_members.countUsableInDomain(domain_id::fromName(m_self.domain))));
    if (m_random.fraction() < static_cast<double>(m_options.watchersPerDomain) / members) {
        m_headOperation = m_nextOperation++;
        effects.push_back(fleet_effect::read_head {m_headOperation});
    }
}

void fleet_core::updateStaleness(time_point now, effects_type &effects)
{
    const bool isStale = confirmationAge(now) >= m_options.staleAfter;
    if (isStale == m_isStale) {
        return;
    }
    m_isStale = isStale;
    effects.push_back(fleet_effect::staleness_changed {isStale});
    if (isStale) {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(confirmationAge(now)).count();
        effects.push_back(log_record {log_event::configurationStale, logField("seconds", static_cast<std::uint64_t>(seconds))});
    }
}

// --- Platform ---

void fleet_core::on(time_point now, const fleet_event::head_read &input, effects_type &effects)
{
    if (input.operation != m_headOperation) {
        return;
    }
    m_headOperation = 0;
    const bool isReachable = input.status == object_status::ok;
    if (isReachable != m_isPlatformReachable) {
        m_isPlatformReachable = isReachable;
        effects.push_back(log_record {isReachable ? log_event::platformReachable : log_event::platformUnreachable, "object=config/head"});
    }
    if (!isReachable) {
        const auto quarter = static_cast<std::uint64_t>(m_options.platformRetryInterval.count() / 4);
        m_nextWatch = now + m_options.platformRetryInterval + duration(static_cast<duration::rep>(m_random.below(quarter + 1)));
        return;
    }
    m_nextWatch = now + (input.changed ? m_options.minWatchInterval : duration(0));
    if (!input.value.empty()) {
        applyHead(now, input.value, effects);
    } else if (input.objectVersion == 0) {
        m_nextWatch = now + m_options.platformRetryInterval; // no configuration exists yet
    }
    if (m_pendingHead.version == 0) {
        m_headObjectVersion = input.objectVersion;
        confirm(now, duration(0));
    }
}

void fleet_core::applyHead(time_point now, const std::string &value, effects_type &effects)
{
    config_head head;
    try {
        head = parseConfigHead(value);
    } catch (const error &fault) {
        effects.push_back(log_record {log_event::configurationRejected, fault.detail()});
        return;
    }
    m_pendingHead = {};
    if (head.baseVersion > m_config.version()) {
        m_headOperation = m_nextOperation++;
        m_pendingHead = std::move(head);
        effects.push_back(fleet_effect::read_base {m_headOperation, m_pendingHead.baseVersion});
        return;
    }
    const std::uint64_t oldVersion = m_config.version();
    if (m_config.apply(head.changes)) {
        m_informedPeers.clear();
    }
    publishConfig(now, oldVersion, effects);
}

void fleet_core::on(time_point now, const fleet_event::base_read &input, effects_type &effects)
{
    if (input.operation != m_headOperation) {
        return;
    }
    m_headOperation = 0;
    m_headObjectVersion = 0; // the next request reads the head instead of watching it
    const config_head head = std::exchange(m_pendingHead, {});
    if (input.status != object_status::ok || !input.exists) {
        m_nextWatch = now + (input.status == object_status::ok ? duration(0) : m_options.platformRetryInterval);
        return;
    }
    config_snapshot snapshot;
    snapshot.version = input.version;
    snapshot.document = nlohmann::json::parse(input.value, nullptr, false);
    if (!snapshot.document.is_object()) {
        effects.push_back(log_record {log_event::configurationRejected, logField("base", input.version)});
        m_nextWatch = now + m_options.platformRetryInterval;
        return;
    }
    const std::uint64_t oldVersion = m_config.version();
    m_config.apply(snapshot);
    m_config.apply(head.changes);
    m_informedPeers.clear();
    confirm(now, duration(0));
    publishConfig(now, oldVersion, effects);
}

void fleet_core::on(time_point now, const fleet_event::vm_list_read &input, effects_type &effects)
{
    m_isVmListReadPending = false;
    m_nextVmListRead = now + (input.available ? m_options.vmListInterval : m_options.platformRetryInterval);
    if (!input.available) {
        return;
    }
    if (input.changed) {
        m_listedAddresses.clear();
        m_listedLeaving.clear();
        for (const fleet_event::listed_vm &vm : input.vms) {
            const vm_id id = vm_id::fromName(vm.name);
            m_listedLeaving[id] = vm.leaving;
            m_listedAddresses[id] = vm.address;
        }
    }
    // An unchanged list is applied as well, because members may have joined since it was read.
    std::vector<vm_id> changed;
    for (const member_record &record : m_members.applyVmList(now, m_listedLeaving)) {
        changed.push_back(record.vm);
        if (record.vm == m_self.vm) {
            mergeSelf(now, record, effects);
        } else {
            reportMember(now, record.vm, merge_result::changed, effects);
        }
    }
    pushRecords(now, changed, effects);
}

// --- Configuration ---

void fleet_core::publishConfig(time_point now, std::uint64_t oldVersion, effects_type &effects)
{
    if (m_config.version() == oldVersion) {
        return;
    }
    std::vector<config_fault> faults;
    fleet_config_ptr config = buildConfig(*m_config.snapshot(), faults);
    if (faults.empty()) {
        effects.push_back(fleet_effect::config_applied {std::move(config)});
        effects.push_back(log_record {log_event::configurationApplied, logField("version", m_config.version())});
    } else {
        // The last valid configuration stays in force. The version still advances, so that a later valid change can be
        // applied.
        effects.push_back(log_record {log_event::configurationRejected, logField("version", m_config.version()) + " " + describe(faults)});
    }
    if (oldVersion != 0) {
        startConfigPush(now, effects);
    }
}

/// With peer lists, pushes are sent one after another, so that each can skip the informed peers named in earlier
/// answers.
void fleet_core::startConfigPush(time_point now, effects_type &effects)
{
    if (m_options.mode != dissemination_mode::pushPullLists) {
        pushConfig(now, m_options.fanout, 0, effects);
        return;
    }
    pushConfig(now, 1, static_cast<unsigned>(m_options.fanout) - 1, effects);
}

void fleet_core::appendInformedPeers(fleet_message &message)
{
    if (m_options.mode != dissemination_mode::pushPullLists) {
        return;
    }
    // Sends a random contiguous part of the list, so that peers learn different entries from several messages.
    const std::size_t count = std::min(limits::maxHolders, m_informedPeers.size());
    const std::size_t first = m_random.below(m_informedPeers.size());
    for (std::size_t i = 0; i < count; ++i) {
        message.informedPeers.push_back(m_informedPeers[(first + i) % m_informedPeers.size()]);
    }
}

void fleet_core::mergeConfig(time_point now, const fleet_message &message, effects_type &effects)
{
    const std::uint64_t oldVersion = m_config.version();
    if (message.snapshot) {
        m_config.apply(*message.snapshot);
    }
    m_config.apply(message.changes);
    if (m_config.version() > oldVersion) {
        m_informedPeers.clear();
    }
    if (message.configVersion == m_config.version()) {
        // The peer's confirmation applies to its own version, so it counts only if the versions are equal.
        confirm(now, message.confirmationAge);
        addInformedPeer(message.configVersion, message.sender);
        for (const vm_id vm : message.informedPeers) {
            addInformedPeer(message.configVersion, vm);
        }
    }
    publishConfig(now, oldVersion, effects);
}

void fleet_core::addInformedPeer(std::uint64_t version, vm_id vm)
{
    if (m_options.mode != dissemination_mode::pushPullLists || version < m_config.version()) {
        return;
    }
    const auto position = std::lower_bound(m_informedPeers.begin(), m_informedPeers.end(), vm);
    if (position == m_informedPeers.end() || *position != vm) {
        m_informedPeers.insert(position, vm);
    }
}

void fleet_core::pushConfig(time_point now, std::size_t count, unsigned pushesLeft, effects_type &effects)
{
    std::vector<vm_id> excluded = m_informedPeers;
    if (m_options.mode == dissemination_mode::pushPullLists) {
        // Watchers learn of a change from the platform; a watcher that misses it gets it by digest exchange.
        excluded.insert(excluded.end(), m_watchers.begin(), m_watchers.end());
        std::sort(excluded.begin(), excluded.end());
    }
    const std::vector<vm_id> peers = choosePeers(m_members, m_self, count, excluded, m_random);
    for (const vm_id peer : peers) {
        addInformedPeer(m_config.version(), peer);
    }
    for (const vm_id peer : peers) {
        fleet_message message = makeMessage(now, message_kind::push);
        appendMissingConfig(m_config.version() - 1, message);
        appendInformedPeers(message);
        ++m_pushes;
        callVm(now, peer, std::move(message), {peer, message_kind::push, m_config.version(), limits::pushRetries, pushesLeft}, effects);
    }
}

void fleet_core::appendMissingConfig(std::uint64_t since, fleet_message &message) const
{
    auto changes = m_config.changesSince(since);
    if (changes) {
        message.changes = std::move(*changes);
    } else {
        message.snapshot = m_config.snapshot();
    }
}

// --- Members ---

void fleet_core::markRecentlyChanged(time_point now, vm_id vm)
{
    std::erase_if(m_recentlyChanged,
                  [&](const auto &entry) { return entry.second == vm || now - entry.first > limits::recentRecordLifetime; });
    m_recentlyChanged.emplace_back(now, vm);
}

std::vector<vm_id> fleet_core::recentlyChangedVms(time_point now) const
{
    std::vector<vm_id> vms;
    for (auto it = m_recentlyChanged.rbegin(); it != m_recentlyChanged.rend() && vms.size() < limits::maxRecentRecords; ++it) {
        if (now - it->first <= limits::recentRecordLifetime) {
            vms.push_back(it->second);
        }
    }
    return vms;
}

void fleet_core::mergeMembers(time_point now, const std::vector<member_record> &records, effects_type &effects)
{
    std::vector<vm_id> pushed;
    for (const member_record &record : records) {
        if (record.vm == m_self.vm) {
            mergeSelf(now, record, effects);
            continue;
        }
        const member_view *known = m_members.find(record.vm);
        const bool hasStateChanged = known != nullptr && record.state != known->record.state;
        const merge_result result = m_members.merge(now, record);
        if (result == merge_result::unchanged) {
            continue;
        }
        markRecentlyChanged(now, record.vm);
        reportMember(now, record.vm, result, effects);
        if (hasStateChanged && !m_members.isFlapping(now, record.vm)) {
            pushed.push_back(record.vm);
        }
    }
    pushRecords(now, pushed, effects);
}

/// Handles a newer record of this process from a peer or the VM list: adopts the state leaving and refutes any other
/// record.
void fleet_core::mergeSelf(time_point now, const member_record &record, effects_type &effects)
{
    if (!isNewer(versionOf(record), versionOf(m_self))) {
        return;
    }
    if (record.state == upstream_state::leaving && m_self.state == upstream_state::live && record.incarnation == m_self.incarnation) {
        m_self.state = upstream_state::leaving;
        m_self.changeNumber = record.changeNumber;
        effects.push_back(fleet_effect::self_leaving {});
    } else {
        // The record is from before a restart, or it says gone. This process runs, so it refutes the record with a
        // higher incarnation.
        m_self.incarnation = record.incarnation + 1;
        m_self.changeNumber = 0;
    }
    announceSelf(now, effects);
}

void fleet_core::announceSelf(time_point now, effects_type &effects)
{
    m_members.merge(now, m_self);
    markRecentlyChanged(now, m_self.vm);
    pushRecords(now, {m_self.vm}, effects);
}

void fleet_core::reportMember(time_point now, vm_id vm, merge_result result, effects_type &effects)
{
    const member_view *view = m_members.find(vm);
    if (view == nullptr || vm == m_self.vm) {
        return;
    }
    member_record record = view->record;
    if (view->isUnreachable) {
        record.state = upstream_state::gone;
    }
    const std::string vmField = "vm=" + record.name;
    if (record.state == upstream_state::gone) {
        effects.push_back(log_record {log_event::memberGone, vmField});
    } else if (record.state == upstream_state::leaving) {
        effects.push_back(log_record {log_event::memberLeaving, vmField});
    } else if (result == merge_result::added) {
        effects.push_back(log_record {log_event::memberJoined, vmField});
    } else if (m_members.isFlapping(now, vm)) {
        effects.push_back(log_record {log_event::memberFlapping, vmField});
    }
    effects.push_back(fleet_effect::member_changed {std::move(record)});
}

void fleet_core::recordPeerSuccess(time_point now, vm_id vm, effects_type &effects)
{
    if (m_members.recordSuccess(now, vm)) {
        reportMember(now, vm, merge_result::changed, effects);
    }
}

void fleet_core::recordPeerFailure(time_point now, vm_id vm, effects_type &effects)
{
    if (m_members.recordFailure(now, vm)) {
        markRecentlyChanged(now, vm);
        reportMember(now, vm, merge_result::changed, effects);
    }
}

void fleet_core::pushRecords(time_point now, const std::vector<vm_id> &vms, effects_type &effects)
{
    if (vms.empty()) {
        return;
    }
    for (const vm_id peer : choosePeers(m_members, m_self, m_options.fanout, {}, m_random)) {
        fleet_message message = makeMessage(now, message_kind::push);
        for (const vm_id vm : vms) {
            message.members.push_back(m_members.find(vm)->record);
        }
        callVm(now, peer, std::move(message), {peer, message_kind::push, 0, 1, 0}, effects);
    }
}

void fleet_core::on(time_point now, const fleet_event::contact_observed &input, effects_type &effects)
{
    if (input.succeeded) {
        recordPeerSuccess(now, input.vm, effects);
    } else {
        recordPeerFailure(now, input.vm, effects);
    }
}

void fleet_core::on(time_point, const fleet_event::load_estimates_changed &input, effects_type &)
{
    m_loadEstimates = input.estimates;
}

void fleet_core::on(time_point now, const fleet_event::config_version_observed &input, effects_type &)
{
    // The newer version is spreading, so a random peer probably has it. The delay bounds the exchanges if many
    // requests show the version at once.
    if (input.version > m_config.version()) {
        m_nextDigest = std::min(m_nextDigest, now + limits::digestRetryDelay);
    }
}

void fleet_core::on(time_point now, const fleet_event::leave_requested &, effects_type &effects)
{
    if (m_self.state != upstream_state::live) {
        return;
    }
    m_self.state = upstream_state::leaving;
    ++m_self.changeNumber;
    announceSelf(now, effects);
}

// --- Exchanges ---

fleet_message fleet_core::makeMessage(time_point now, message_kind kind) const
{
    fleet_message message;
    message.kind = kind;
    message.sender = m_self.vm;
    message.configVersion = m_config.version();
    message.confirmationAge = m_isConfirmed ? confirmationAge(now) : m_options.staleAfter;
    message.membershipDigest = m_members.members().size() < 2 ? 0 : m_members.digest();
    return message;
}

vm_id fleet_core::chooseDigestPeer()
{
    std::vector<vm_id> usable;
    std::vector<vm_id> suspected;
    std::vector<vm_id> unreachable;
    for (const auto &[vm, view] : m_members.members()) {
        if (vm == m_self.vm || view.record.state == upstream_state::gone) {
            continue;
        }
        if (view.isUnreachable) {
            unreachable.push_back(vm);
        } else {
            (view.failingSince ? suspected : usable).push_back(vm);
        }
    }
    ++m_digestRounds;
    const auto pick = [&](const std::vector<vm_id> &from) { return from[m_random.below(from.size())]; };
    if (!unreachable.empty() && (usable.empty() || m_digestRounds % unreachableRoundInterval == 0)) {
        return pick(unreachable);
    }
    // Every other round contacts a member whose last call failed, so that the suspicion is confirmed or cleared soon.
    if (!suspected.empty() && (usable.empty() || m_digestRounds % 2 == 1)) {
        return pick(suspected);
    }
    return usable.empty() ? vm_id() : pick(usable);
}

std::string fleet_core::chooseBootstrapAddress()
{
    std::vector<std::string> addresses = m_options.seedAddresses;
    for (const auto &[vm, address] : m_listedAddresses) {
        addresses.push_back(address);
    }
    std::erase(addresses, m_self.address);
    std::erase(addresses, std::string());
    return addresses.empty() ? std::string() : addresses[m_random.below(addresses.size())];
}

/// Processes that start at the same time may form groups that know no member of another group. Every other round calls
/// a listed VM without a record, which merges the groups. The other rounds go to known members, because the list also
/// contains dead VMs.
std::string fleet_core::chooseUnknownAddress()
{
    if (++m_unknownAddressRounds % 2 != 0) {
        return {};
    }
    std::vector<std::string> addresses;
    for (const auto &[vm, address] : m_listedAddresses) {
        if (m_members.find(vm) == nullptr && address != m_self.address && !address.empty()) {
            addresses.push_back(address);
        }
    }
    return addresses.empty() ? std::string() : addresses[m_random.below(addresses.size())];
}

void fleet_core::startDigestExchange(time_point now, effects_type &effects)
{
    // A process without configuration or peers starts exchanges more often, because it cannot serve requests until it
    // has them.
    const bool isBootstrapping = m_config.version() == 0 || m_members.members().size() < 2;
    m_nextDigest = now + (isBootstrapping ? m_options.digestInterval / 4 : m_options.digestInterval);
    if (m_options.mode == dissemination_mode::push && !isBootstrapping) {
        return;
    }
    if (std::exchange(m_isDigestPending, true)) {
        return;
    }
    fleet_message message = makeMessage(now, message_kind::digest);
    message.estimates = m_loadEstimates;
    const std::string unknownAddress = chooseUnknownAddress();
    const vm_id peer = unknownAddress.empty() ? chooseDigestPeer() : vm_id();
    if (peer.isValid()) {
        callVm(now, peer, std::move(message), {peer, message_kind::digest, 0, 0, 0}, effects);
        return;
    }
    std::string address = unknownAddress.empty() ? chooseBootstrapAddress() : unknownAddress;
    if (address.empty()) {
        m_isDigestPending = false;
        return;
    }
    message.members.push_back(m_self);
    const std::uint64_t operation = m_nextOperation++;
    m_calls[operation] = {vm_id(), message_kind::digest, 0, 0, 0};
    effects.push_back(fleet_effect::call_peer {operation, vm_id(), std::move(address), std::move(message)});
}

void fleet_core::callVm(time_point, vm_id vm, fleet_message message, pending_call call, effects_type &effects)
{
    const std::uint64_t operation = m_nextOperation++;
    m_calls[operation] = call;
    effects.push_back(fleet_effect::call_peer {operation, vm, m_members.find(vm)->record.address, std::move(message)});
}

void fleet_core::appendMissingMembers(const fleet_message &request, fleet_message &message) const
{
    std::map<vm_id, record_version> peerVersions;
    for (const record_version &recordVersion : request.recordVersions) {
        peerVersions.emplace(recordVersion.vm, recordVersion);
    }
    const std::vector<domain_id> differing = m_members.differingDomains(request.domains);
    for (const record_version &recordVersion : m_members.recordVersions(differing)) {
        const auto found = peerVersions.find(recordVersion.vm);
        const bool isMissing = found == peerVersions.end() && recordVersion.state != upstream_state::gone;
        if (isMissing || (found != peerVersions.end() && isNewer(recordVersion, found->second))) {
            message.members.push_back(m_members.find(recordVersion.vm)->record);
        }
    }
    for (const auto &[vm, recordVersion] : peerVersions) {
        const member_view *ownEntry = m_members.find(vm);
        const bool isNewerAtPeer
            = ownEntry == nullptr ? recordVersion.state != upstream_state::gone : isNewer(recordVersion, versionOf(ownEntry->record));
        if (isNewerAtPeer) {
            message.requestedVms.push_back(vm);
        }
    }
}

/// An answer contains what the caller lacks. A membership exchange goes through these steps until the digests match:
/// combined digests, recently changed records, digests of each domain, then record versions and records of the domains
/// that differ.
fleet_message fleet_core::makeAnswer(time_point now, const fleet_message &request)
{
    fleet_message answer = makeMessage(now, request.kind);
    const bool answersConfig = request.kind != message_kind::push || !request.changes.empty();
    if (answersConfig && request.configVersion < m_config.version()) {
        appendMissingConfig(request.configVersion, answer);
    }
    if (request.kind != message_kind::digest || request.membershipDigest == m_members.digest()) {
        return answer;
    }
    if (requestsFullState(request)) {
        for (const auto &[vm, view] : m_members.members()) {
            if (view.record.state != upstream_state::gone) {
                answer.members.push_back(view.record);
            }
        }
    } else if (!request.domains.empty()) {
        appendMissingMembers(request, answer);
    } else if (request.members.empty()) {
        appendRecords(recentlyChangedVms(now), answer);
    } else {
        answer.domains = m_members.domainDigests();
    }
    return answer;
}

void fleet_core::on(time_point now, const fleet_event::message_received &input, effects_type &effects)
{
    const fleet_message &request = input.message;
    recordPeerSuccess(now, request.sender, effects);
    const bool isPushOfConfig = request.kind == message_kind::push && !request.changes.empty();
    if (isPushOfConfig && request.configVersion <= m_config.version()) {
        ++m_duplicates;
    }
    const std::uint64_t oldVersion = m_config.version();
    mergeMembers(now, request.members, effects);
    mergeConfig(now, request, effects);
    if (!request.estimates.empty()) {
        effects.push_back(fleet_effect::load_estimates_received {request.estimates});
    }
    fleet_message answer = makeAnswer(now, request);
    if (isPushOfConfig) {
        answer.isDuplicate = m_config.version() == oldVersion;
        appendInformedPeers(answer);
    }
    effects.push_back(fleet_effect::answer_peer {input.operation, std::move(answer)});
}

void fleet_core::on(time_point now, const fleet_event::call_answered &input, effects_type &effects)
{
    const auto found = m_calls.find(input.operation);
    if (found == m_calls.end()) {
        return;
    }
    const pending_call call = found->second;
    m_calls.erase(found);
    const fleet_message &answer = input.answer;
    recordPeerSuccess(now, answer.sender, effects);
    mergeMembers(now, answer.members, effects);
    mergeConfig(now, answer, effects);
    if (call.kind == message_kind::digest) {
        m_isDigestPending = false;
    }
    const vm_id peer = answer.sender;
    if (m_members.find(peer) == nullptr || m_options.mode == dissemination_mode::push) {
        return;
    }
    if (call.pushedVersion == m_config.version() && call.pushesLeft > 0) {
        // A duplicate uses up two pushes, so that pushing stops sooner the more processes have the change.
        const unsigned spentPushes = answer.isDuplicate ? 2 : 1;
        if (call.pushesLeft >= spentPushes) {
            pushConfig(now, 1, call.pushesLeft - spentPushes, effects);
        }
    }
    // The peer is behind, so it is sent the changes that it lacks.
    if (answer.configVersion < m_config.version() && !(call.kind == message_kind::push && call.pushedVersion == 0)) {
        fleet_message message = makeMessage(now, message_kind::push);
        appendMissingConfig(answer.configVersion, message);
        callVm(now, peer, std::move(message), {peer, message_kind::push, 0, 0, 0}, effects);
    }
    if (call.kind == message_kind::digest) {
        continueExchange(now, call, answer, effects);
    }
}

/// Starts the next step of a membership exchange after an answer, see makeAnswer().
void fleet_core::continueExchange(time_point now, const pending_call &call, const fleet_message &answer, effects_type &effects)
{
    const vm_id peer = answer.sender;
    if (!answer.requestedVms.empty()) {
        fleet_message next = makeMessage(now, message_kind::push);
        appendRecords(answer.requestedVms, next);
        callVm(now, peer, std::move(next), {peer, message_kind::push, 0, 0, 0}, effects);
        return;
    }
    const bool viewsAgree = answer.membershipDigest == m_members.digest() || answer.membershipDigest == 0;
    const bool isLastStep = answer.domains.empty() && call.retriesOrStep != 0;
    if (viewsAgree || isLastStep) {
        return; // an exchange ends after its last step even if the views still differ
    }
    fleet_message next = makeMessage(now, message_kind::digest);
    unsigned step = 1;
    if (!answer.domains.empty()) {
        next.domains = m_members.domainDigests();
        next.recordVersions = m_members.recordVersions(m_members.differingDomains(answer.domains));
        step = 2;
    } else {
        appendRecords(recentlyChangedVms(now), next);
        if (next.members.empty()) {
            next.members.push_back(m_self);
        }
    }
    m_isDigestPending = true;
    // For a digest call, retriesOrStep holds the step of the exchange.
    callVm(now, peer, std::move(next), {peer, message_kind::digest, 0, step, 0}, effects);
}

void fleet_core::appendRecords(const std::vector<vm_id> &vms, fleet_message &message) const
{
    for (const vm_id vm : vms) {
        if (const member_view *view = m_members.find(vm)) {
            message.members.push_back(view->record);
        }
    }
}

void fleet_core::on(time_point now, const fleet_event::call_failed &input, effects_type &effects)
{
    const auto found = m_calls.find(input.operation);
    if (found == m_calls.end()) {
        return;
    }
    const pending_call call = found->second;
    m_calls.erase(found);
    if (call.kind == message_kind::digest) {
        m_isDigestPending = false;
        m_nextDigest = std::min(m_nextDigest, now + limits::digestRetryDelay); // another peer, so that a lost message costs no round
    }
    if (call.peer.isValid()) {
        recordPeerFailure(now, call.peer, effects);
    }
    // A failed push is retried at another peer, so that message loss does not reduce the fan-out.
    if (call.kind == message_kind::push && call.pushedVersion == m_config.version() && call.retriesOrStep > 0) {
        pushConfig(now, 1, call.pushesLeft, effects);
    }
}

fleet_status fleet_core::status(time_point now) const
{
    fleet_status status;
    status.configVersion = m_config.version();
    status.isReady = m_config.version() != 0;
    status.isStale = m_isStale;
    status.isWatcher = m_isWatcher;
    status.confirmationAge = m_isStarted ? confirmationAge(now) : duration(0);
    status.members = m_members.members().size();
    status.membershipDigest = m_members.digest();
    status.duplicates = m_duplicates;
    status.pushes = m_pushes;
    return status;
}

} // namespace nutmegtally
