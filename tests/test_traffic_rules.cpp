// Route matching and key lookup of traffic_rules.
#include <nutmegtally/traffic_rules.h>

#include <boost/test/unit_test.hpp>

namespace
{

using namespace nutmegtally;

struct rules_fixture {
    rules_fixture()
    {
        add("short", "a.example", "/x/");
        add("long", "a.example", "/x/y/");
        add("other", "b.example", "/x/");
        rules.accounts.push_back({"first", false, 0});
        rules.accountOfKey["key"] = 0;
        rules.index();
    }

    void add(const std::string &name, const std::string &host, const std::string &prefix)
    {
        route_rule route;
        route.name = name;
        route.host = host;
        route.pathPrefix = prefix;
        route.shares.push_back({"service", 1});
        rules.routes.push_back(route);
    }

    std::string matched(std::string_view host, std::string_view path) const
    {
        const route_rule *route = rules.match(host, path);
        return route == nullptr ? "none" : route->name;
    }

    traffic_rules rules;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(traffic_rules_match, rules_fixture)

BOOST_AUTO_TEST_CASE(match_twoPrefixes_longestWins)
{
    BOOST_TEST(matched("a.example", "/x/y/z") == "long");
    BOOST_TEST(matched("a.example", "/x/yy") == "short");
}

BOOST_AUTO_TEST_CASE(match_hostWithPortAndCase_isIgnored)
{
    BOOST_TEST(matched("A.Example:8080", "/x/1") == "short");
}

BOOST_AUTO_TEST_CASE(match_query_isNoPartOfThePath)
{
    BOOST_TEST(matched("a.example", "/x/?next=/x/y/") == "short");
    BOOST_TEST(matched("a.example", "/?p=/x/") == "none");
}

BOOST_AUTO_TEST_CASE(match_prefixWithoutItsSlash_isNoRoute)
{
    BOOST_TEST(matched("a.example", "/x") == "none");
    BOOST_TEST(matched("c.example", "/x/1") == "none");
    BOOST_TEST(matched("a.example", "") == "none");
}

BOOST_AUTO_TEST_CASE(accountFor_knownAndUnknownKey)
{
    BOOST_REQUIRE(rules.accountFor("key") != nullptr);
    BOOST_TEST(rules.accountFor("key")->name == "first");
    BOOST_TEST(rules.accountFor("KEY") == nullptr);
    BOOST_TEST(rules.accountFor("") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
