// Guards against access without a known token or with too low a role, and against tokens that are stored in clear text.
#include "daemon/daemon_access.h"
#include "daemon/daemon_operators.h"

#include <nutmegtally/errors.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace nutmegtally;

namespace
{

struct operators_fixture {
    operators_fixture()
    {
        registry.set("ana", {hashSecret(operateToken), operator_role::operate});
        registry.set("ben", {hashSecret(readToken), operator_role::read});
    }

    const std::string operateToken = generateSecret();
    const std::string readToken = generateSecret();
    operator_registry registry;
};

error_code codeOf(const operator_registry &registry, const std::string &token, operator_role needed)
{
    try {
        registry.authorize(token, needed);
    } catch (const error &fault) {
        BOOST_TEST(std::string(fault.what()).find(token) == std::string::npos);
        return fault.code();
    }
    return error_code::count;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(operators_suite, operators_fixture)

BOOST_AUTO_TEST_CASE(operators_knownToken_getsItsRole)
{
    BOOST_TEST(registry.authorize(operateToken, operator_role::operate) == "ana");
    BOOST_TEST(registry.authorize(readToken, operator_role::read) == "ben");
}

BOOST_AUTO_TEST_CASE(operators_wrongRoleOrToken_isRefused)
{
    BOOST_TEST((codeOf(registry, readToken, operator_role::operate) == error_code::forbidden));
    BOOST_TEST((codeOf(registry, generateSecret(), operator_role::read) == error_code::authenticationFailed));
}

BOOST_AUTO_TEST_CASE(operators_storedForm_holdsNoToken)
{
    const std::string text = registry.toText();
    BOOST_TEST(text.find(operateToken) == std::string::npos);
    BOOST_TEST(operator_registry(text).authorize(operateToken, operator_role::operate) == "ana");
    BOOST_CHECK_THROW(operator_registry(R"({"x":{"role":"king","tokenHash":""}})"), error);
}

BOOST_AUTO_TEST_CASE(accountIndex_unknownKey_isRefused)
{
    const std::string key = generateSecret();
    fleet_config config;
    account_config account;
    account.keyHashes = {hashSecret(key)};
    config.accounts[account_id::fromName("desk")] = account;
    const account_index index(config);
    BOOST_TEST((index.find("Bearer " + key) == account_id::fromName("desk")));
    BOOST_CHECK_THROW(index.find("Bearer " + generateSecret()), error);
    BOOST_CHECK_THROW(index.find(key), error);
}

BOOST_AUTO_TEST_SUITE_END()
