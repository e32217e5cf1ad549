// What an upstream gets of a request that its router gave up on while the bytes were still on the way.
#include "serving/serving_limits.h"
#include "serving/upstream_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace
{

using namespace nutmegtally;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

constexpr std::size_t smallBody = 12'000; // bytes; several times the upstream's receive buffer: the rest waits in the sender's
constexpr std::size_t largeBody = 1'500'000; // bytes; more than the sender's buffer

/// A connection whose upstream reads nothing until readAll(), as one behind a cut.
struct held_up_fixture {
    explicit held_up_fixture(std::size_t bodyBytes = smallBody)
        : request("POST /booking HTTP/1.1\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x'))
        , acceptor(context, tcp::v4())
    {
        acceptor.set_option(tcp::acceptor::receive_buffer_size(2048)); // accepted sockets inherit it
        acceptor.bind(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        acceptor.listen();
        acceptor.async_accept(upstream, [](const boost::system::error_code &) {});
        connection = std::make_shared<upstream_connection>(*routerContext);
        upstream_connection::handlers owner;
        owner.head = [](const http_head &) { return true; };
        owner.body = [](std::string &&) {};
        owner.done = [this](bool) { isDone = true; };
        owner.failed = [this](attempt_failure cause) { failure = cause; };
        connection->open(acceptor.local_endpoint(), 1s, request, false, std::move(owner));
        run(100ms);
    }

    void run(duration length)
    {
        for (const auto end = std::chrono::steady_clock::now() + length; std::chrono::steady_clock::now() < end;) {
            context.run_for(5ms);
            if (routerContext) {
                routerContext->run_for(5ms);
            }
            context.restart();
            if (routerContext) {
                routerContext->restart();
            }
        }
    }

    /// Reads until the connection ends.
    void readAll()
    {
        std::string chunk(4096, '\0');
        while (!fault) {
            const std::size_t bytes = upstream.read_some(boost::asio::buffer(chunk), fault);
            received.append(chunk.data(), bytes);
        }
    }

    /// Reads slowly, and has the delivery checked meanwhile, until all was received or the request has failed.
    void readSlowly()
    {
        upstream.non_blocking(true);
        std::string chunk(8192, '\0');
        for (const auto begin = std::chrono::steady_clock::now(); std::chrono::steady_clock::now() - begin < 20s;) {
            run(10ms);
            received.append(chunk.data(), upstream.read_some(boost::asio::buffer(chunk), fault));
            connection->checkDelivery();
            if (failure || received.size() == request.size()) {
                return;
            }
        }
    }

    std::string request;
    boost::asio::io_context context;
    std::unique_ptr<boost::asio::io_context> routerContext = std::make_unique<boost::asio::io_context>(); // that of the router's process
    tcp::acceptor acceptor;
    tcp::socket upstream {context};
    upstream_connection::pointer connection;
    std::string received;
    boost::system::error_code fault;
    bool isDone = false;
    std::optional<attempt_failure> failure;
};

struct slow_link_fixture : held_up_fixture {
    slow_link_fixture()
        : held_up_fixture(largeBody)
    {
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(upstream_connection_suite, held_up_fixture)

// Guards against a request that reaches its upstream, and runs, seconds after its router gave up on it and told the caller.
BOOST_AUTO_TEST_CASE(requestGivenUp_bytesHeldUp_areDropped)
{
    connection->close();
    run(50ms);
    readAll();
    BOOST_TEST(received.size() < request.size());
    BOOST_TEST(fault == boost::asio::error::connection_reset);
}

// Guards against the same at the end of a process that stops with open requests.
BOOST_AUTO_TEST_CASE(processEnds_bytesHeldUp_areDropped)
{
    connection.reset();
    routerContext.reset();
    run(50ms);
    readAll();
    BOOST_TEST(received.size() < request.size());
    BOOST_TEST(fault == boost::asio::error::connection_reset);
}

// Guards against a request that arrives behind a healed cut because the kernel, and not the router, had given the connection up: a
// connection that is closed already cannot be reset any more.
BOOST_AUTO_TEST_CASE(connectionSilent_bytesHeldUp_isResetBeforeTheKernelGivesItUp)
{
    const auto begin = std::chrono::steady_clock::now();
    while (!failure && std::chrono::steady_clock::now() - begin < serving_limits::tcpUserTimeout) {
        run(20ms);
        connection->checkDelivery();
    }
    BOOST_REQUIRE(failure.has_value());
    BOOST_TEST((*failure == attempt_failure::silent));
    BOOST_TEST((std::chrono::steady_clock::now() - begin > 1s)); // a lost packet alone is no reason
    readAll();
    BOOST_TEST(received.size() < request.size());
    BOOST_TEST(fault == boost::asio::error::connection_reset);
}

// Guards against a request that is given up although it is on its way over a slow link.
BOOST_FIXTURE_TEST_CASE(connectionSilent_bytesGetThrough_isNotGivenUp, slow_link_fixture)
{
    const auto begin = std::chrono::steady_clock::now();
    readSlowly();
    BOOST_TEST(!failure.has_value());
    BOOST_TEST(received.size() == request.size());
    BOOST_TEST((std::chrono::steady_clock::now() - begin > serving_limits::maxSilenceWhileSending)); // else the test shows nothing
}

// Guards against a request that is given up although it was delivered: its answer takes its time.
BOOST_AUTO_TEST_CASE(connectionSilent_requestDelivered_isNotGivenUp)
{
    readSlowly();
    for (const auto begin = std::chrono::steady_clock::now(); std::chrono::steady_clock::now() - begin < 3s;) {
        run(100ms);
        connection->checkDelivery();
    }
    BOOST_TEST(!failure.has_value());
    BOOST_TEST(received.size() == request.size());
}

// Guards against resets that an upstream would take for a fault of its callers, after answers that were complete.
BOOST_AUTO_TEST_CASE(answerComplete_connectionClosed_endsInAnOrderlyWay)
{
    std::string got(request.size(), '\0');
    std::size_t bytes = 0;
    while (bytes < got.size()) {
        run(5ms);
        upstream.non_blocking(true);
        bytes += upstream.read_some(boost::asio::buffer(got.data() + bytes, got.size() - bytes), fault);
        BOOST_REQUIRE((!fault || fault == boost::asio::error::would_block));
    }
    fault.clear();
    upstream.non_blocking(false);
    upstream.write_some(boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
    run(50ms);
    BOOST_TEST(isDone);
    connection->close();
    readAll();
    BOOST_TEST(fault == boost::asio::error::eof);
}

BOOST_AUTO_TEST_SUITE_END()
