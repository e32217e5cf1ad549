// Property tests of merging: membership views that saw the same records in any order must be equal, and a
// configuration replica must never go back to an older version nor differ from a replay of the accepted changes.
#include <nutmegtally/config_log.h>
#include <nutmegtally/membership.h>

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace nutmegtally;

namespace
{

member_record arbitraryRecord()
{
    member_record record;
    record.name = "vm-" + std::to_string(*rc::gen::inRange(0, 6));
    record.vm = vm_id::fromName(record.name);
    record.incarnation = *rc::gen::inRange<std::uint64_t>(0, 3);
    record.changeNumber = *rc::gen::inRange<std::uint64_t>(0, 3);
    record.state = static_cast<upstream_state>(*rc::gen::inRange(0, 3));
    // The domain depends on the record version only, because records with equal versions have to be equal.
    record.domain = "d" + std::to_string((record.incarnation + record.changeNumber) % 2);
    return record;
}

void checkMembershipOrder()
{
    const auto size = *rc::gen::inRange<std::size_t>(0, 40);
    std::vector<member_record> records;
    for (std::size_t i = 0; i < size; ++i) {
        records.push_back(arbitraryRecord());
    }
    // A view keeps a record of a gone member only if it knew the member before, so both views start with all VMs.
    membership left;
    membership right;
    for (int i = 0; i < 6; ++i) {
        member_record first;
        first.name = "vm-" + std::to_string(i);
        first.vm = vm_id::fromName(first.name);
        first.domain = "d0";
        left.merge(time_point(), first);
        right.merge(time_point(), first);
    }
    for (const member_record &record : records) {
        left.merge(time_point(), record);
    }
    std::vector<member_record> shuffled = records;
    for (std::size_t i = shuffled.size(); i > 1; --i) {
        std::swap(shuffled[i - 1], shuffled[*rc::gen::inRange<std::size_t>(0, i)]);
    }
    for (const member_record &record : shuffled) {
        const member_view *known = right.find(record.vm);
        const record_version before = versionOf(known->record);
        right.merge(time_point(), record);
        RC_ASSERT(!isNewer(before, versionOf(right.find(record.vm)->record)));
    }
    RC_ASSERT(left.digest() == right.digest());
    RC_ASSERT(left.differingDomains(right.domainDigests()).empty());
}

void checkConfigMerging()
{
    constexpr std::uint64_t versions = 20;
    std::vector<config_change_ptr> changes;
    std::vector<nlohmann::json> documents = {nlohmann::json::object()};
    for (std::uint64_t version = 1; version <= versions; ++version) {
        config_change change;
        change.version = version;
        const std::string key = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
        change.patch = *rc::gen::arbitrary<bool>() ? nlohmann::json({{key, {{"x", version}}}}) : nlohmann::json({{key, nullptr}});
        changes.push_back(std::make_shared<const config_change>(change));
        nlohmann::json document = documents.back();
        document.merge_patch(change.patch);
        documents.push_back(std::move(document));
    }
    config_replica replica;
    const auto steps = *rc::gen::inRange(1, 30);
    for (int i = 0; i < steps; ++i) {
        const std::uint64_t before = replica.version();
        const auto first = *rc::gen::inRange<std::uint64_t>(0, versions);
        if (*rc::gen::inRange(0, 4) == 0) {
            replica.apply(config_snapshot {first, documents[first]});
        } else {
            const auto last = *rc::gen::inRange<std::uint64_t>(first, versions + 1);
            replica.apply(std::vector<config_change_ptr>(changes.begin() + static_cast<std::ptrdiff_t>(first),
                                                         changes.begin() + static_cast<std::ptrdiff_t>(last)));
        }
        RC_ASSERT(replica.version() >= before);
        RC_ASSERT(replica.snapshot()->document == documents[replica.version()]);
        const auto missing = replica.changesSince(first);
        RC_ASSERT(!missing || missing->size() == (replica.version() > first ? replica.version() - first : 0));
    }
}

} // namespace

int main()
{
    bool isPassed = rc::check("membership views are equal in any order", checkMembershipOrder);
    isPassed = rc::check("a configuration replica follows the accepted changes", checkConfigMerging) && isPassed;
    return isPassed ? 0 : 1;
}
