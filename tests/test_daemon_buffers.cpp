// Guards against unbounded stream buffers, records that change in encoding, and a resume at the wrong record.
#include "agent/agent_stream.h"
#include "daemon/daemon_records.h"

#include <nutmegtally/errors.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace nutmegtally;

namespace
{

constexpr std::size_t bufferBytes = 100;

struct stream_fixture {
    stream_fixture()
    {
        stream.setReaderCallbacks([this] { ++spaceAvailableCalls; }, [this] { ++cancelCalls; });
    }

    std::uint64_t attach(std::uint64_t seq)
    {
        return stream.attach(seq, [this] { ++recordAvailableCalls; });
    }

    std::string nextText(std::uint64_t generation)
    {
        stream_record record;
        const agent_stream::next_result kind = stream.next(generation, record);
        return kind == agent_stream::next_result::record ? record.data : "none";
    }

    agent_stream stream {work_header(), "", bufferBytes};
    unsigned spaceAvailableCalls = 0;
    unsigned cancelCalls = 0;
    unsigned recordAvailableCalls = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(daemon_buffers, stream_fixture)

BOOST_AUTO_TEST_CASE(agentStream_fullBuffer_holdsBackTheReaderUntilAPieceIsSent)
{
    const std::uint64_t generation = attach(0);
    BOOST_TEST(!stream.isFull());
    stream.append({std::string(bufferBytes, 'a'), {}});
    BOOST_TEST(stream.isFull());
    BOOST_TEST(spaceAvailableCalls == 0U);
    BOOST_TEST(nextText(generation) == std::string(bufferBytes, 'a'));
    BOOST_TEST(!stream.isFull());
    BOOST_TEST(spaceAvailableCalls == 1U);
    stream.append({"b", {}});
    BOOST_TEST(nextText(generation) == "b");
    BOOST_TEST(spaceAvailableCalls == 1U);
}

BOOST_AUTO_TEST_CASE(agentStream_cancelled_tellsTheReaderOnce)
{
    stream.append({std::string(bufferBytes, 'a'), {}});
    BOOST_TEST(stream.cancel());
    BOOST_TEST(stream.isCancelled());
    BOOST_TEST(!stream.cancel());
    BOOST_TEST(cancelCalls == 1U);
}

BOOST_AUTO_TEST_CASE(agentStream_everyNewRecord_wakesTheConnection)
{
    attach(0);
    stream.setHead({});
    BOOST_TEST(recordAvailableCalls == 1U);
    stream.append({"a", {}});
    BOOST_TEST(recordAvailableCalls == 2U);
    stream.finish(0, 0);
    BOOST_TEST(recordAvailableCalls == 3U);
}

BOOST_AUTO_TEST_CASE(agentStream_resumeWithinTheBuffer_continuesAndReplacesTheOldConnection)
{
    const std::uint64_t first = attach(0);
    stream.append({"a", {}});
    stream.append({"b", {}});
    BOOST_TEST(nextText(first) == "a");
    BOOST_TEST(nextText(first) == "b");
    const unsigned before = recordAvailableCalls;
    const std::uint64_t second = attach(1);
    BOOST_TEST(recordAvailableCalls == before + 1); // the old connection is notified
    stream_record record;
    BOOST_TEST((stream.next(first, record) == agent_stream::next_result::replaced));
    BOOST_TEST(nextText(second) == "b");
    BOOST_TEST((stream.next(second, record) == agent_stream::next_result::idle));
}

BOOST_AUTO_TEST_CASE(agentStream_resumeBeforeOrAfterTheBuffer_isRefused)
{
    const std::uint64_t generation = attach(0);
    for (int i = 0; i < 5; ++i) {
        stream.append({std::string(bufferBytes / 2, 'a'), {}});
        nextText(generation);
    }
    BOOST_TEST(attach(0) == 0U);
    BOOST_TEST(attach(6) == 0U);
    BOOST_TEST(attach(5) != 0U);
}

BOOST_AUTO_TEST_CASE(agentStream_refusalAfterTheEnd_changesNothing)
{
    const std::uint64_t generation = attach(0);
    stream.finish(3, 2);
    stream.refuse(error_code::internal, run_state::unknown, duration(0));
    stream_record record;
    stream.next(generation, record);
    BOOST_TEST((record.kind == record_kind::end));
    BOOST_TEST(record.cachedTokens == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(records_everyKind_surviveEncoding)
{
    stream_record record;
    record.kind = record_kind::data;
    record.request = request_id(0xabcdefULL);
    record.seq = 5;
    for (const std::string &data : {std::string("짧은 \"text\"\n"), std::string("\x00\xff\x80", 3), std::string()}) {
        record.data = data;
        BOOST_TEST((decodeRecord(encodeRecord(record)).data == data));
    }
    record.kind = record_kind::refused;
    record.code = error_code::notOwner;
    record.state = run_state::notRun;
    record.retryAfter = std::chrono::milliseconds(70);
    record.owner = upstream_id(9);
    record.load.queued = 4;
    const stream_record copy = decodeRecord(encodeRecord(record));
    BOOST_TEST((copy.code == record.code && copy.state == record.state && copy.retryAfter == record.retryAfter));
    BOOST_TEST((copy.owner == record.owner && copy.load.queued == 4 && copy.request == record.request));
    BOOST_CHECK_THROW(decodeRecord("{\"kind\":\"data\""), error);
    BOOST_CHECK_THROW(decodeRecord("{\"kind\":\"other\"}"), error);
}

BOOST_AUTO_TEST_CASE(records_workHeader_survivesEncoding)
{
    work_header header;
    header.attempt = {request_id(3), 2};
    header.info.kind = work_kind::booking;
    header.info.service = service_id(8);
    header.info.idempotencyKey = "key";
    header.info.bodyHash = 77;
    header.info.deadline = time_point(std::chrono::milliseconds(1500));
    header.mean = {2.5, 3, std::chrono::milliseconds(4)};
    header.resume = true;
    header.resumeSeq = 12;
    BOOST_TEST((toJson(parseWorkHeader(toJson(header))) == toJson(header)));
    BOOST_CHECK_THROW(parseWorkHeader(nlohmann::json::object()), error);
}

BOOST_AUTO_TEST_CASE(records_characters_areCountedNotBytes)
{
    BOOST_TEST(countCharacters("a짧b") == 3U);
    BOOST_TEST(skipCharacters("a짧b", 2) == "b");
    BOOST_TEST(skipCharacters("ab", 5).empty());
    BOOST_TEST(!isValidUtf8("\xed\xa0\x80"));
    BOOST_TEST(!isValidUtf8("\xea\xb0"));
}
