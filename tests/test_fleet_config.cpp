// Guards against an invalid configuration that is accepted, and against one that differs after it is written and read
// back.
#include <nutmegtally/errors.h>
#include <nutmegtally/fleet_config.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace nutmegtally;

namespace
{

struct config_fixture {
    nlohmann::json document = nlohmann::json::parse(R"({
        "version": 7,
        "models": {"brush-llm": {}},
        "services": {"booking-app": {"shards": 4}},
        "classes": {
            "quick": {"model": "brush-llm", "priority": 0, "firstTokenMs": 570, "betweenTokensMs": 31},
            "bookings": {"service": "booking-app", "answerMs": 2000}
        },
        "accounts": {"desk": {"keyHashes": ["0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"]}},
        "domains": {"kr-central-a": {"region": "kr"}, "kr-central-b": {"region": "kr", "state": "closed", "reason": "power"}}
    })");
    std::vector<config_fault> faults;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fleet_config_suite, config_fixture)

BOOST_AUTO_TEST_CASE(fleetConfig_validDocument_survivesRoundTrip)
{
    const fleet_config config = parseFleetConfig(document, faults);
    BOOST_TEST(faults.empty());
    const nlohmann::json written = toJson(config);
    BOOST_TEST((toJson(parseFleetConfig(written)) == written));
    BOOST_TEST(config.isOpen(domain_id::fromName("kr-central-a")));
    BOOST_TEST(!config.isOpen(domain_id::fromName("kr-central-b")));
}

BOOST_AUTO_TEST_CASE(fleetConfig_severalFaults_reportsAllAtOnce)
{
    document["classes"]["quick"]["priorty"] = 1;
    document["classes"]["bookings"]["service"] = "missing";
    document["domains"]["kr-central-a"]["state"] = "ajar";
    parseFleetConfig(document, faults);
    BOOST_TEST(faults.size() == 3U);
    BOOST_CHECK_THROW(parseFleetConfig(document), error);
}

BOOST_AUTO_TEST_CASE(fleetConfig_notAnObject_isFault)
{
    parseFleetConfig(nlohmann::json::array(), faults);
    BOOST_TEST(!faults.empty());
}

BOOST_AUTO_TEST_SUITE_END()
