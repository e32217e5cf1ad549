// Tests of fleet_driver over real sockets. They guard against JSON-RPC calls that are accepted without a valid
// authentication tag, and against configuration changes that do not reach a process without access to the platform.
#include "daemon/daemon_fleet_driver.h"
#include "daemon/daemon_fleet_simulation.h"
#include "daemon/daemon_http.h"
#include "tests/scripted_http.h"
#include "tests/scripted_objects.h"

#include <nutmegtally/errors.h>

#include <Poco/Net/ServerSocket.h>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <mutex>

using namespace nutmegtally;
using namespace nutmegtally::test;

namespace
{

const std::string oldKey(64, 'a');
const std::string newKey(64, 'b');
const std::string unknownKey(64, 'c');

/// A process of the fleet: fleet_driver and inner listener.
struct fleet_process {
    fleet_process(const std::string &name, const std::string &objects, const std::vector<std::string> &seeds,
                  const std::vector<std::string> &keys)
        : server([this](scripted_exchange &exchange) { answer(exchange); })
    {
        fleet_driver_options options;
        options.fleet.self.name = name;
        options.fleet.self.domain = "d";
        options.fleet.self.upstream = "engine-" + name;
        options.fleet.self.address = server.address();
        options.fleet.self.incarnation = 1;
        options.fleet.seedAddresses = seeds;
        options.objectsAddress = objects;
        options.innerKeys = keys;
        driver = std::make_unique<fleet_driver>(options);
        driver->start({[this](const fleet_config_ptr &config) {
                           const std::lock_guard lock(mutex);
                           version = config->version;
                           changed.notify_all();
                       },
                       [this](const upstream_info &info) {
                           const std::lock_guard lock(mutex);
                           upstreams.push_back(info.name);
                           changed.notify_all();
                       }});
    }

    ~fleet_process()
    {
        driver->stop();
    }

    void answer(scripted_exchange &exchange)
    {
        try {
            const std::string body = exchange.readBody();
            exchange.reply(200, "application/json", driver->handleRpc(exchange.header(rpcAuthHeader), body));
        } catch (const error &fault) {
            exchange.reply(errorInfo(fault.code()).httpStatus, "application/json", errorBody(fault, ""));
        }
    }

    template<typename Predicate>
    bool waitFor(Predicate predicate)
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, std::chrono::seconds(20), predicate);
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t version = 0;
    std::vector<std::string> upstreams;
    std::unique_ptr<fleet_driver> driver;
    scripted_server server;
};

struct fleet_driver_fixture {
    change_result change(const std::string &nonce)
    {
        change_request request;
        request.nonce = nonce;
        request.patch = {{"domains", {{"d", {{"region", "r"}, {"reason", nonce}}}}}};
        const std::lock_guard lock(platform.mutex);
        return applyChange(platform.store, request);
    }

    std::string sign(const std::string &key, const std::string &body)
    {
        nlohmann::json fields = nlohmann::json::object();
        message_authenticator({key}).sign("POST", rpcPath, fields, body);
        return fields.dump();
    }

    const std::string statusCall = R"({"jsonrpc":"2.0","id":1,"method":"status.read","params":{"m":{}}})";
    const std::string unreachableAddress = "127.0.0.1:1";
    scripted_objects platform;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fleet_driver_suite, fleet_driver_fixture)

BOOST_AUTO_TEST_CASE(fleetDriver_processWithoutPlatform_followsItsPeer)
{
    change("first");
    fleet_process first("one", platform.server.address(), {}, {newKey, oldKey});
    fleet_process second("two", unreachableAddress, {first.server.address()}, {oldKey, newKey});
    BOOST_TEST(second.waitFor([&] { return second.version == 1; }));
    change("second");
    BOOST_TEST(second.waitFor([&] { return second.version == 2; }));
    BOOST_TEST(first.waitFor([&] { return !first.upstreams.empty() && first.upstreams.front() == "engine-two"; }));
    BOOST_TEST(second.driver->bytes().outgoingCalls.sent > 0U);
    BOOST_TEST(first.driver->bytes().incomingCalls.received > 0U);
}

BOOST_AUTO_TEST_CASE(handleRpc_validKeysOfARotation_areAccepted)
{
    fleet_process process("one", unreachableAddress, {}, {newKey, oldKey});
    for (const std::string &key : {newKey, oldKey}) {
        const auto answer = nlohmann::json::parse(process.driver->handleRpc(sign(key, statusCall), statusCall));
        BOOST_TEST(answer.at("result").at("isReady").get<bool>() == false);
    }
}

BOOST_AUTO_TEST_CASE(handleRpc_forgedReplayedOrUnsigned_isRefused)
{
    fleet_process process("one", unreachableAddress, {}, {newKey});
    const std::string header = sign(newKey, statusCall);
    process.driver->handleRpc(header, statusCall);
    BOOST_CHECK_THROW(process.driver->handleRpc(header, statusCall), error); // replayed
    BOOST_CHECK_THROW(process.driver->handleRpc(sign(newKey, statusCall), statusCall + " "), error); // another body
    BOOST_CHECK_THROW(process.driver->handleRpc(sign(unknownKey, statusCall), statusCall), error); // unknown key
    BOOST_CHECK_THROW(process.driver->handleRpc("", statusCall), error);
    BOOST_CHECK_THROW(process.driver->handleRpc(R"({"tag":5,"time":"x"})", statusCall), error);
}

BOOST_AUTO_TEST_CASE(rpcClient_digestExchange_staysWithinItsBudget)
{
    fleet_process process("one", unreachableAddress, {}, {newKey});
    rpc_client client(process.server.address(), [&](const std::string &body) { return sign(newKey, body); });
    fleet_message message;
    message.sender = vm_id::fromName("two");
    message.membershipDigest = 1;
    message.configVersion = 12345;
    BOOST_REQUIRE(client.call("digest.exchange", toJson(message).dump(), 1000).isAnswered);
    const byte_counts first = client.bytes();
    BOOST_REQUIRE(client.call("digest.exchange", toJson(message).dump(), 1000).isAnswered);
    const std::uint64_t sent = client.bytes().sent - first.sent;
    const std::uint64_t received = client.bytes().received - first.received;
    BOOST_TEST_MESSAGE("request " << sent << " B, answer " << received << " B");
    BOOST_TEST(sent + received <= 900U); // 1.4 KB/s for two exchanges every 1.5 s, each with 160 B of TCP/IP
}

BOOST_AUTO_TEST_CASE(rpcServer_malformedCalls_areAnsweredWithAnError)
{
    fleet_process process("one", unreachableAddress, {}, {newKey});
    for (const std::string body : {"no json", R"({"jsonrpc":"2.0","id":1,"method":"none","params":{"m":{}}})",
                                   R"({"jsonrpc":"2.0","id":1,"method":"digest.exchange","params":{"m":{}}})"}) {
        const auto answer = nlohmann::json::parse(process.driver->handleRpc(sign(newKey, body), body));
        BOOST_TEST(answer.contains("error"));
    }
}

BOOST_AUTO_TEST_CASE(rpcClient_silentPeer_failsAtTheTimeLimit)
{
    Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0)); // the backlog accepts connections; nothing answers
    rpc_client client("127.0.0.1:" + std::to_string(silent.address().port()), [](const std::string &) { return std::string(); });
    const rpc_reply reply = client.call("status.read", "{}", 100);
    BOOST_TEST(!reply.isAnswered);
    BOOST_TEST(!reply.fault.empty());
}

BOOST_AUTO_TEST_SUITE_END()
