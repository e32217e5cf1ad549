#include <nutmegtally/membership.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <tuple>
#include <utility>

namespace nutmegtally
{

namespace
{

std::uint64_t recordHash(const member_record &record)
{
    std::string text = record.name;
    for (const std::string *part :
         {&record.role, &record.domain, &record.region, &record.upstream, &record.model, &record.service, &record.address}) {
        text.append(1, '\n').append(*part);
    }
    const std::uint64_t numbers = mixHash(record.incarnation, record.changeNumber * 4 + static_cast<std::uint64_t>(record.state));
    return mixHash(hashText(text), numbers);
}

domain_id domainOf(const member_record &record)
{
    return domain_id::fromName(record.domain);
}

} // namespace

record_version versionOf(const member_record &record)
{
    return {record.vm, record.incarnation, record.changeNumber, record.state};
}

bool isNewer(const record_version &left, const record_version &right)
{
    return std::tie(left.incarnation, left.changeNumber, left.state) > std::tie(right.incarnation, right.changeNumber, right.state);
}

upstream_info toUpstream(const member_record &record)
{
    upstream_info info;
    info.upstream = upstream_id::fromName(record.upstream);
    info.name = record.upstream;
    info.domain = domainOf(record);
    info.region = region_id::fromName(record.region);
    info.model = model_id::fromName(record.model);
    info.service = service_id::fromName(record.service);
    info.address = record.address;
    info.incarnation = record.incarnation;
    info.state = record.state;
    return info;
}

membership::membership(membership_options options)
    : m_options(options)
{
}

void membership::addToDigest(const member_record &record)
{
    if (record.state != upstream_state::gone) {
        m_digests[domainOf(record)] += recordHash(record);
    }
}

merge_result membership::merge(time_point now, const member_record &record)
{
    if (!record.vm.isValid() || record.vm != vm_id::fromName(record.name)) {
        return merge_result::unchanged;
    }
    const auto found = m_members.find(record.vm);
    if (found == m_members.end()) {
        if (record.state == upstream_state::gone) {
            return merge_result::unchanged;
        }
        member_view view;
        view.record = record;
        view.domain = domainOf(record);
        view.flapPenaltyAt = now;
        m_members.emplace(record.vm, std::move(view));
        addToDigest(record);
        return merge_result::added;
    }
    member_view &view = found->second;
    if (!isNewer(versionOf(record), versionOf(view.record))) {
        return merge_result::unchanged;
    }
    if (view.record.state != upstream_state::gone) {
        m_digests[domainOf(view.record)] -= recordHash(view.record);
    }
    if (record.incarnation > view.record.incarnation) {
        addFlapPenalty(now, view);
        view.isUnreachable = false;
        view.failingSince.reset();
    }
    if (record.state == upstream_state::gone) {
        view.goneAt = now;
    }
    view.record = record;
    view.domain = domainOf(record);
    addToDigest(record);
    return merge_result::changed;
}

void membership::addFlapPenalty(time_point now, member_view &view)
{
    view.flapPenalty = flapPenalty(now, view.record.vm) + 1;
    view.flapPenaltyAt = now;
}

bool membership::recordSuccess(time_point now, vm_id vm)
{
    const auto found = m_members.find(vm);
    if (found == m_members.end()) {
        return false;
    }
    found->second.failingSince.reset();
    if (!std::exchange(found->second.isUnreachable, false)) {
        return false;
    }
    addFlapPenalty(now, found->second);
    return true;
}

bool membership::recordFailure(time_point now, vm_id vm)
{
    const auto found = m_members.find(vm);
    if (found == m_members.end() || found->second.record.state == upstream_state::gone) {
        return false;
    }
    member_view &view = found->second;
    if (!view.failingSince) {
        view.failingSince = now;
        return false;
    }
    const bool isListFresh = m_vmListAt && now - *m_vmListAt <= m_options.vmListLifetime;
    if (isListFresh && !view.isInVmList) {
        member_record record = view.record;
        record.state = upstream_state::gone;
        ++record.changeNumber;
        return merge(now, record) == merge_result::changed;
    }
    if (view.isUnreachable || now - *view.failingSince < m_options.unreachableAfter) {
        return false;
    }
    view.isUnreachable = true;
    return true;
}

std::vector<member_record> membership::applyVmList(time_point now, const std::map<vm_id, bool> &leavingByVm)
{
    m_vmListAt = now;
    std::vector<member_record> changed;
    for (auto &[vm, view] : m_members) {
        const auto listed = leavingByVm.find(vm);
        view.isInVmList = listed != leavingByVm.end();
        if (view.isInVmList && listed->second && view.record.state == upstream_state::live) {
            member_record record = view.record;
            record.state = upstream_state::leaving;
            ++record.changeNumber;
            changed.push_back(std::move(record));
        }
    }
    for (const member_record &record : changed) {
        merge(now, record);
    }
    return changed;
}

void membership::purgeGone(time_point now)
{
    std::erase_if(m_members, [&](const auto &entry) {
        const member_view &view = entry.second;
        return view.record.state == upstream_state::gone && now - view.goneAt > m_options.goneRetention;
    });
}

double membership::flapPenalty(time_point now, vm_id vm) const
{
    const member_view *view = find(vm);
    if (view == nullptr || view->flapPenalty == 0) {
        return 0;
    }
    const double halfLives = static_cast<double>((now - view->flapPenaltyAt).count()) / static_cast<double>(m_options.flapHalfLife.count());
    return view->flapPenalty * std::exp2(-halfLives);
}

bool membership::isFlapping(time_point now, vm_id vm) const
{
    return flapPenalty(now, vm) >= m_options.flapThreshold;
}

const member_view *membership::find(vm_id vm) const
{
    const auto found = m_members.find(vm);
    return found == m_members.end() ? nullptr : &found->second;
}

const std::map<vm_id, member_view> &membership::members() const
{
    return m_members;
}

std::uint64_t membership::digest() const
{
    std::uint64_t combined = 0;
    for (const auto &[domain, digest] : m_digests) {
        if (digest != 0) {
            combined += mixHash(domain.value(), digest);
        }
    }
    return combined;
}

std::vector<domain_digest> membership::domainDigests() const
{
    std::vector<domain_digest> digests;
    for (const auto &[domain, digest] : m_digests) {
        if (digest != 0) {
            digests.push_back({domain, digest});
        }
    }
    return digests;
}

std::vector<domain_id> membership::differingDomains(const std::vector<domain_digest> &others) const
{
    std::map<domain_id, std::uint64_t> left = m_digests;
    std::vector<domain_id> differing;
    for (const domain_digest &other : others) {
        const auto found = left.find(other.domain);
        if (found == left.end() || found->second != other.digest) {
            differing.push_back(other.domain);
        }
        if (found != left.end()) {
            left.erase(found);
        }
    }
    for (const auto &[domain, digest] : left) {
        if (digest != 0) {
            differing.push_back(domain);
        }
    }
    return differing;
}

std::vector<record_version> membership::recordVersions(const std::vector<domain_id> &domains) const
{
    const std::set<domain_id> domainSet(domains.begin(), domains.end());
    std::vector<record_version> result;
    for (const auto &[vm, view] : m_members) {
        if (domainSet.contains(view.domain)) {
            result.push_back(versionOf(view.record));
        }
    }
    return result;
}

std::vector<vm_id> membership::watchers(time_point now, std::size_t count) const
{
    using ranking = std::vector<std::pair<std::uint64_t, vm_id>>;
    std::map<domain_id, ranking> rankings;
    for (const auto &[vm, view] : m_members) {
        if (view.isUsable() && view.record.state == upstream_state::live && !isFlapping(now, vm)) {
            rankings[view.domain].emplace_back(mixHash(vm.value(), view.domain.value()), vm);
        }
    }
    std::vector<vm_id> result;
    for (auto &[domain, ranked] : rankings) {
        const std::size_t kept = std::min(count, ranked.size());
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end(), std::greater<>());
        for (std::size_t i = 0; i < kept; ++i) {
            result.push_back(ranked[i].second);
        }
    }
    return result;
}

std::size_t membership::countUsableInDomain(domain_id domain) const
{
    return static_cast<std::size_t>(std::count_if(
        m_members.begin(), m_members.end(), [&](const auto &entry) { return entry.second.isUsable() && entry.second.domain == domain; }));
}

} // namespace nutmegtally
