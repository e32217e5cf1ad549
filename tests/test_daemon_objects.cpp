// Tests of the platform clients. They guard against a write with a lost answer that is reported as not written, against
// an unanswered watch that blocks its caller forever, and against an unreadable VM list that is taken for an empty one.
#include "daemon/daemon_objects.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

using namespace nutmegtally;

namespace
{

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using answer_function = std::function<void(HTTPServerRequest &, HTTPServerResponse &)>;

struct scripted_handler : Poco::Net::HTTPRequestHandler {
    explicit scripted_handler(answer_function function)
        : answer(std::move(function))
    {
    }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        answer(request, response);
    }

    answer_function answer;
};

/// Answers every request with the function that the test sets.
struct scripted_server : Poco::Net::HTTPRequestHandlerFactory {
    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        const std::lock_guard lock(mutex);
        return new scripted_handler(answer);
    }

    std::mutex mutex;
    answer_function answer;
};

struct platform_fixture {
    platform_fixture()
        : socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , factory(new scripted_server)
        , server(factory, socket, shortKeepAlive())
        , address("127.0.0.1:" + std::to_string(socket.address().port()))
    {
        server.start();
    }

    ~platform_fixture()
    {
        client.close();
        server.stopAll(true);
    }

    static Poco::Net::HTTPServerParams *shortKeepAlive()
    {
        auto *params = new Poco::Net::HTTPServerParams;
        params->setKeepAliveTimeout(Poco::Timespan(0, 200'000));
        return params;
    }

    void answerWith(answer_function function)
    {
        const std::lock_guard lock(factory->mutex);
        factory->answer = std::move(function);
    }

    void answerWith(int status, const std::string &etag, const std::string &body)
    {
        answerWith([=](HTTPServerRequest &request, HTTPServerResponse &response) {
            request.stream().ignore(std::numeric_limits<std::streamsize>::max());
            response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(status));
            response.setContentLength64(static_cast<Poco::Int64>(body.size()));
            if (!etag.empty()) {
                response.set("ETag", etag);
            }
            response.send() << body;
        });
    }

    Poco::Net::ServerSocket socket;
    Poco::SharedPtr<scripted_server> factory;
    Poco::Net::HTTPServer server;
    std::string address;
    object_client client {address, std::chrono::milliseconds(200)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(objects_suite, platform_fixture)

BOOST_AUTO_TEST_CASE(objectClient_read_returnsValueAndVersion)
{
    answerWith(200, "\"7\"", "value");
    const object_reply reply = client.read("config/head");
    BOOST_TEST((reply.status == object_status::ok));
    BOOST_TEST(reply.version == 7U);
    BOOST_TEST(reply.value == "value");
    BOOST_TEST(client.bytes().received > 5U);
    answerWith(404, "", "");
    BOOST_TEST((client.read("config/head").status == object_status::ok));
    answerWith(503, "", "");
    BOOST_TEST((client.read("config/head").status == object_status::unavailable));
}

BOOST_AUTO_TEST_CASE(objectClient_write_mapsEveryAnswer)
{
    answerWith(200, "\"8\"", "");
    BOOST_TEST(client.write("a", "v", 7).version == 8U);
    answerWith(412, "\"9\"", "");
    const object_reply conflict = client.write("a", "v", 7);
    BOOST_TEST((conflict.status == object_status::conflict));
    BOOST_TEST(conflict.version == 9U);
    answerWith(503, "", "");
    BOOST_TEST((client.write("a", "v", 7).status == object_status::unavailable));
    answerWith(500, "", "");
    BOOST_TEST((client.write("a", "v", 7).status == object_status::unknown));
    BOOST_CHECK_THROW(client.write("a", std::string(1'000'001, 'x'), 0), std::length_error);
}

BOOST_AUTO_TEST_CASE(objectClient_answerLostAfterWrite_isUnknown)
{
    answerWith([](HTTPServerRequest &request, HTTPServerResponse &) {
        request.stream().ignore(100);
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
    });
    BOOST_TEST((client.write("a", "v", 7).status == object_status::unknown));
}

BOOST_AUTO_TEST_CASE(objectClient_refusedConnection_isUnavailable)
{
    Poco::Net::ServerSocket unused(Poco::Net::SocketAddress("127.0.0.1", 0));
    const std::string unreachableAddress = "127.0.0.1:" + std::to_string(unused.address().port());
    unused.close();
    object_client other(unreachableAddress, std::chrono::milliseconds(200));
    BOOST_TEST((other.write("a", "v", 0).status == object_status::unavailable));
    BOOST_TEST((other.list("a").status == object_status::unavailable));
}

BOOST_AUTO_TEST_CASE(objectClient_silentWatch_endsAtTimeLimit)
{
    // Shared with the handler's thread, which may read it once more after this test has ended.
    const auto release = std::make_shared<std::atomic<bool>>(false);
    answerWith([release](HTTPServerRequest &, HTTPServerResponse &) {
        while (!*release) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    });
    BOOST_TEST((client.watch("a", 3, std::chrono::milliseconds(50)).status == object_status::unavailable));
    *release = true;
    answerWith(304, "", "");
    const object_reply unchanged = client.watch("a", 3, std::chrono::milliseconds(50));
    BOOST_TEST((unchanged.status == object_status::ok));
    BOOST_TEST(!unchanged.changed);
    answerWith(200, "\"4\"", "new");
    BOOST_TEST(client.watch("a", 3, std::chrono::milliseconds(50)).changed);
}

BOOST_AUTO_TEST_CASE(vmList_unreadableAnswer_isNotAnEmptyList)
{
    vm_list_client vms(address, std::chrono::milliseconds(200));
    answerWith(200, "\"2\"",
               R"({"version":2,"vms":[{"name":"e1","domain":"d","region":"r","role":"agent","address":"x","state":"leaving"}]})");
    const vm_list_reply first = vms.read();
    BOOST_TEST(first.available);
    BOOST_TEST(first.vms.size() == 1U);
    BOOST_TEST(first.vms.front().leaving);
    answerWith(304, "\"2\"", "");
    BOOST_TEST(!vms.read().changed);
    answerWith(200, "\"3\"", R"({"version":3,"vms":[{"domain":"d"}]})");
    BOOST_TEST(!vms.read().available);
}

BOOST_AUTO_TEST_SUITE_END()
