// JSON log: every line is valid JSON, the rate is limited, and a reader that does not read never blocks the writer.
#include "entry/json_log.h"

#include <nutmegtally/log_line.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <array>
#include <string>

namespace
{

using namespace nutmegtally;
using namespace std::chrono_literals;

struct log_fixture {
    log_fixture()
    {
        BOOST_REQUIRE(::pipe(ends.data()) == 0);
        options.process = "entry-1";
        options.descriptor = ends[1];
    }

    ~log_fixture()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::string read() const
    {
        std::string text(1 << 20, '\0');
        const ssize_t bytes = ::read(ends[0], text.data(), text.size());
        text.resize(bytes > 0 ? static_cast<std::size_t>(bytes) : 0);
        return text;
    }

    std::array<int, 2> ends {};
    json_log_options options;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(json_log_suite, log_fixture)

BOOST_AUTO_TEST_CASE(write_specialCharacters_producesOneValidObject)
{
    json_log log(options);
    log_line line;
    line.with("request", "a\"b\\c\nd\x01").with("count", 3).with("flag", true).with("load", 1.25).with("wait_ms", duration(2500us));
    log.write(time_point(1s), log_event::requestRefused, line.take());
    const std::string text = read();
    BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 1);
    const nlohmann::json object = nlohmann::json::parse(text);
    BOOST_TEST(object.at("request") == "a\"b\\c\nd\x01");
    BOOST_TEST(object.at("name") == "request_refused");
    BOOST_TEST(object.at("process") == "entry-1");
    BOOST_TEST(object.at("wait_ms") == 2);
}

BOOST_AUTO_TEST_CASE(write_readerStopsReading_doesNotBlock)
{
    options.linesPerSecond = 1e6;
    json_log log(options);
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 50'000; ++i) {
        log_line line;
        line.with("request", i);
        log.write(time_point(1s), log_event::attemptStarted, line.take());
    }
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 5s));
    BOOST_TEST(log.dropped() > 40'000U);
}

BOOST_AUTO_TEST_CASE(flush_readerResumes_reportsDroppedLines)
{
    options.linesPerSecond = 1e6;
    json_log log(options);
    for (int i = 0; i < 5'000; ++i) {
        log.write(time_point(1s), log_event::attemptStarted, "");
    }
    const std::uint64_t dropped = log.dropped();
    BOOST_TEST(dropped > 0U);
    std::string text;
    for (int i = 0; i < 10; ++i) {
        text += read();
        log.flush(time_point(2s));
        if (text.find("log_lines_dropped") != std::string::npos) {
            break;
        }
    }
    BOOST_TEST(text.find("\"lines\":" + std::to_string(dropped)) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(write_rateExceeded_keepsWarnings)
{
    options.linesPerSecond = 10;
    json_log log(options);
    for (int i = 0; i < 100; ++i) {
        log.write(time_point(1s), log_event::attemptStarted, "");
    }
    BOOST_TEST(log.dropped() == 80U); // a burst of two seconds of the rate is allowed
    log.write(time_point(1s), log_event::streamBroken, "");
    BOOST_TEST(read().find("stream_broken") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(write_levelBelowThreshold_writesNothing)
{
    options.level = log_level::warning;
    json_log log(options);
    log.write(time_point(1s), log_event::attemptStarted, "");
    log.write(time_point(1s), log_event::streamBroken, "");
    const std::string text = read();
    BOOST_TEST(text.find("attempt_started") == std::string::npos);
    BOOST_TEST(text.find("stream_broken") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
