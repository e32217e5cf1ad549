// Guards against an accepted change that is reported as lost, against two concurrent changes that are both accepted, and
// against audit records that are missing after a compaction.
#include "daemon/daemon_fleet_simulation.h"

#include <nutmegtally/config_log.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace nutmegtally;

namespace
{

struct log_fixture {
    change_request request(const std::string &nonce, const nlohmann::json &patch)
    {
        change_request result;
        result.nonce = nonce;
        result.who = "ana";
        result.why = "test";
        result.patch = patch;
        return result;
    }

    change_result apply(const std::string &nonce, const std::string &state = "open")
    {
        return applyChange(store, request(nonce, {{"domains", {{"d", {{"region", "r"}, {"state", state}}}}}}));
    }

    memory_store store;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(config_log_suite, log_fixture)

BOOST_AUTO_TEST_CASE(applyChange_answerLostAfterWrite_isAcceptedByReadBack)
{
    store.answersToLose = 1;
    const change_result result = apply("n1");
    BOOST_TEST((result.status == change_status::accepted));
    BOOST_TEST(readStoredConfig(store).head.changes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(applyChange_writeLost_isRepeatedOnce)
{
    store.writesToLose = 1;
    BOOST_TEST((apply("n1").status == change_status::accepted));
    BOOST_TEST(readStoredConfig(store).head.version == 1U);
}

BOOST_AUTO_TEST_CASE(applyChange_answerLostAndPlatformGone_isUnknown)
{
    store.writesToLose = 100;
    BOOST_TEST((apply("n1").status == change_status::unknown));
    store.writesToLose = 0;
    store.isDown = true;
    BOOST_TEST((apply("n2").status == change_status::unavailable));
}

BOOST_AUTO_TEST_CASE(applyChange_concurrentOperators_oneIsAcceptedAndOtherGetsConflict)
{
    apply("n1");
    store.beforeWrite = [&](const std::string &) { apply("theirs", "closed"); };
    const change_result mine = apply("mine");
    BOOST_TEST((mine.status == change_status::conflict));
    BOOST_REQUIRE_EQUAL(mine.concurrentChanges.size(), 1U);
    BOOST_TEST(mine.concurrentChanges.front()->nonce == "theirs");
    BOOST_TEST(readStoredConfig(store).head.version == 2U);
}

BOOST_AUTO_TEST_CASE(applyChange_expectedVersionOutdated_isConflict)
{
    apply("n1");
    apply("n2", "closed");
    change_request late = request("n3", {{"domains", {{"d", nullptr}}}});
    late.expectedVersion = 1;
    const change_result result = applyChange(store, late);
    BOOST_TEST((result.status == change_status::conflict));
    BOOST_TEST(result.concurrentChanges.size() == 1U);
}

BOOST_AUTO_TEST_CASE(applyChange_invalidResult_writesNothing)
{
    const change_result result = applyChange(store, request("n1", {{"classes", {{"quick", {{"model", "missing"}}}}}}));
    BOOST_TEST((result.status == change_status::invalid));
    BOOST_TEST(!result.faults.empty());
    BOOST_TEST(store.read(configHeadName).version == 0U);
}

BOOST_AUTO_TEST_CASE(applyChange_headFull_compactsAndKeepsEveryAuditRecord)
{
    for (int i = 0; i < 200; ++i) {
        BOOST_REQUIRE((apply("n" + std::to_string(i), i % 2 == 0 ? "closed" : "open").status == change_status::accepted));
    }
    const stored_config stored = readStoredConfig(store);
    BOOST_TEST(stored.head.version == 200U);
    BOOST_TEST(stored.head.baseVersion == 192U);
    BOOST_TEST(stored.snapshot.version == 200U);
    const auto audit = readAudit(store, 1, 200);
    BOOST_REQUIRE(audit);
    BOOST_REQUIRE_EQUAL(audit->size(), 200U);
    for (std::size_t i = 0; i < audit->size(); ++i) {
        BOOST_TEST((*audit)[i]->nonce == "n" + std::to_string(i));
    }
}

BOOST_AUTO_TEST_CASE(applyChange_writerStoppedDuringCompaction_nextWriterContinues)
{
    for (int i = 0; i < 64; ++i) {
        apply("n" + std::to_string(i));
    }
    const stored_config stored = readStoredConfig(store);
    for (const auto &[name, value] : detail::makeCompaction(stored.head, stored.snapshot).objects) {
        store.write(name, value, 0); // the writer stops before it writes the head
    }
    BOOST_TEST((apply("next").status == change_status::accepted));
    BOOST_TEST(readStoredConfig(store).head.baseVersion == 64U);
}

BOOST_AUTO_TEST_CASE(configHead_gapInVersions_isRejected)
{
    BOOST_CHECK_THROW(parseConfigHead(R"({"version":2,"baseVersion":0,"changes":[{"version":2,"nonce":"a","patch":{}}]})"), std::exception);
}

BOOST_AUTO_TEST_CASE(inversePatch_appliedAfterPatch_restoresDocument)
{
    const nlohmann::json before = {{"a", {{"b", 1}, {"c", 2}}}, {"d", 3}};
    const nlohmann::json patch = {{"a", {{"b", 5}, {"c", nullptr}, {"n", 1}}}, {"e", 4}};
    nlohmann::json document = before;
    document.merge_patch(patch);
    BOOST_TEST((mergePatchBetween(before, document) == patch));
    document.merge_patch(inversePatch(before, patch));
    BOOST_TEST((document == before));
}

BOOST_AUTO_TEST_SUITE_END()
