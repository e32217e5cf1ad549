// Codecs of the platform's requests, answers and objects, including the header fields that must not pass the router, and codecs of
// the messages between routers.
#include "entry/gossip_codec.h"
#include "entry/message_compression.h"
#include "platform/names.h"
#include "platform/objects_codec.h"
#include "platform/request_codec.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <cmath>

namespace
{

using namespace nutmegtally;
using namespace std::chrono_literals;

struct codec_fixture {
    codec_fixture()
    {
        head.method = "POST";
        head.target = "/a/b?c=d";
        head.fields = {{"Host", "h.example"},
                       {"X-Request-Id", "id-1"},
                       {"X-Deadline-Ms", "12000"},
                       {"X-Credential", "secret"},
                       {"X-Model", "m"},
                       {"X-Token-Counts", "1460,80"},
                       {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
                       {"Content-Length", "3"}};
        attempt.instance = "i-1";
        attempt.timeLeft = 1500ms;
        attempt.account = "account";
        attempt.isStream = true;
        attempt.priority = 1;
    }

    request_summary decoded() const
    {
        return std::get<request_summary>(codec.decodeRequest(head));
    }

    bool isRejected() const
    {
        return std::holds_alternative<message_fault>(codec.decodeRequest(head));
    }

    std::string encoded(const std::optional<std::uint64_t> &lastEvent = std::nullopt) const
    {
        return codec.encodeAttempt(head, 3, attempt, lastEvent);
    }

    static bool has(const std::string &text, const std::string &part)
    {
        return text.find(part) != std::string::npos;
    }

    platform::request_codec codec;
    http_head head;
    entry_effect::start_attempt attempt;
};

const std::string configuration = R"({"version":7,"routes":[
 {"name":"r1","host":"H.example","path_prefix":"/a/","kind":"streaming","timeout_ms":12000,"latency_goal_ms":1200,"priority":1,
  "backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":600},
 {"name":"r2","host":"h.example","path_prefix":"/b/","kind":"non_idempotent","timeout_ms":1500.5,"latency_goal_ms":300,"service":"s2","max_attempts":2,"public":true}],
 "services":[{"name":"s1","health_path":"/health","max_conns":370,"cold_s":3.0,"cold_per_s":8.9,"engine":{"capacity":64,"kv_capacity_tokens":389939}},
 {"name":"s2","health_path":"/health","max_conns":110,"cold_s":0.0,"cold_per_s":0.0}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1},{"name":"t2","api_keys":["k3"]}],"unknown":{"ignored":true}})";

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_codec, codec_fixture)

BOOST_AUTO_TEST_CASE(decodeRequest_allFields_areRead)
{
    const request_summary request = decoded();
    BOOST_TEST(request.requestId == "id-1");
    BOOST_TEST(request.host == "h.example");
    BOOST_TEST((request.deadline == 12s));
    BOOST_TEST(*request.key == "secret");
    BOOST_TEST(request.promptTokens == 1460U);
    BOOST_TEST(request.outputTokens == 80U);
    BOOST_REQUIRE(request.parts.size() == 3U);
    BOOST_TEST(request.parts[1].id == 0x91bd3f06U);
    BOOST_TEST(request.parts[1].tokens == 410U);
    BOOST_TEST(affinityKeyOf(request.parts) == 0x91bd3f06U);
}

// Guards against a status of an earlier order, or one that nobody can have written, that ends the order in force.
BOOST_AUTO_TEST_CASE(decodeRollout_anyStatus_isReadIfItIsOfTheTarget)
{
    std::string reason;
    stored_object object {"desk", 9, R"({"service":"desk","target":"v2","ramp_s":12.5})"};
    object.createdAt = 7;
    const auto statusOf = [&](const std::string &status) {
        object.status = status;
        const auto order = platform::decodeRollout(object, reason);
        return order ? nameOf(order->status) : std::string_view("unreadable");
    };
    BOOST_TEST(statusOf("") == "none");
    BOOST_TEST(statusOf("null") == "none");
    BOOST_TEST(statusOf(R"({"state":"running","target":"v2"})") == "trial");
    BOOST_TEST(statusOf(R"({"state":"running","target":"v2","phase":"trial"})") == "trial");
    BOOST_TEST(statusOf(R"({"state":"running","target":"v2","phase":"shift"})") == "shift");
    BOOST_TEST(statusOf(R"({"state":"completed","target":"v2"})") == "completed");
    BOOST_TEST(statusOf(R"({"state":"rolled_back","target":"v2"})") == "rolled_back");
    BOOST_TEST(statusOf(R"({"state":"completed","target":"v1"})") == "none");
    BOOST_TEST(statusOf(R"({"state":"rolled_back"})") == "none");
    BOOST_TEST(statusOf(R"({"state":"shift","target":"v2","phase":"shift"})") == "none");
    BOOST_TEST(statusOf(R"({"state":7,"target":"v2"})") == "none");
    BOOST_TEST(statusOf("[]") == "none");
}

BOOST_AUTO_TEST_CASE(decodeRollout_orders_areReadOrNamedUnreadable)
{
    std::string reason;
    const auto decode = [&](const std::string &spec, std::uint64_t createdAt = 7) {
        stored_object object {"desk", 9, spec};
        object.createdAt = createdAt;
        reason.clear();
        return platform::decodeRollout(object, reason);
    };
    const std::string valid = R"({"service":"desk","target":"v2","ramp_s":12.5})";
    const auto order = decode(valid);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->service == "desk");
    BOOST_TEST(order->target == "v2");
    BOOST_TEST((order->ramp == 12500ms));
    BOOST_TEST((order->revision == store_revision(9)));
    BOOST_TEST(decode(valid)->id == order->id);
    BOOST_TEST(decode(valid, 8)->id != order->id);
    BOOST_TEST(decode(R"({"service":"desk","target":"v3","ramp_s":12.5})")->id != order->id);
    BOOST_TEST(decode(R"({"service":"desk","target":"v2","ramp_s":13})")->id != order->id);
    for (const char *invalid : {"", "{}", "null", R"({"service":"desk","target":"v2"})", R"({"service":"desk","target":"v2","ramp_s":0})",
                                R"({"service":"desk","target":"v2","ramp_s":-1})", R"({"service":"desk","target":"v2","ramp_s":1e300})",
                                R"({"service":"desk","target":"v2","ramp_s":"12"})", R"({"service":"desk","target":"","ramp_s":12})",
                                R"({"service":"desk","target":2,"ramp_s":12})", R"({"service":"llm","target":"v2","ramp_s":12})",
                                R"({"target":"v2","ramp_s":12})"}) {
        BOOST_TEST(!decode(invalid).has_value(), invalid);
        BOOST_TEST(!reason.empty(), invalid);
    }
}

// Guards against a status that other routers or the platform can't read.
BOOST_AUTO_TEST_CASE(encodeRolloutStatus_anyStatus_isReadBack)
{
    std::string reason;
    stored_object object {"desk", 9, R"({"service":"desk","target":"v2","ramp_s":12})"};
    const auto order = platform::decodeRollout(object, reason);
    BOOST_REQUIRE(order.has_value());
    const auto written = [&](rollout_status status) { return nlohmann::json::parse(platform::encodeRolloutStatus(*order, status)); };
    BOOST_TEST(written(rollout_status::completed)
               == nlohmann::json::parse(R"({"metadata":{"name":"desk","revision":9},"status":{"state":"completed","target":"v2"}})"));
    BOOST_TEST(written(rollout_status::shift).at("status")
               == nlohmann::json::parse(R"({"state":"running","target":"v2","phase":"shift"})"));
    for (const rollout_status each :
         {rollout_status::trial, rollout_status::shift, rollout_status::completed, rollout_status::rolledBack}) {
        object.status = written(each).at("status").dump();
        BOOST_TEST((platform::decodeRollout(object, reason)->status == each));
    }
}

// Guards against every key being let in once the last account was removed.
BOOST_AUTO_TEST_CASE(decodeRules_emptyListOfAccounts_needsKeysThatNobodyHas)
{
    const std::string bare = R"({"version":1,"routes":[],"services":[])";
    BOOST_TEST(!platform::decodeRules(bare + "}")->needsKeys());
    const auto rules = platform::decodeRules(bare + R"(,"tenants":[]})");
    BOOST_TEST(rules->needsKeys());
    BOOST_TEST(rules->accountFor("k1") == nullptr);
}

BOOST_AUTO_TEST_CASE(decodeRequest_withoutId_isRejected)
{
    head.fields.erase(head.fields.begin() + 1);
    BOOST_TEST(isRejected());
}

BOOST_AUTO_TEST_CASE(decodeRequest_fieldTwice_isRejected)
{
    for (const char *name : {"X-Request-Id", "X-Deadline-Ms", "X-Credential", "X-Prompt-Prefix", "X-Token-Counts"}) {
        const http_head before = head;
        head.fields.push_back({name, "1"});
        BOOST_TEST(isRejected());
        head = before;
    }
}

BOOST_AUTO_TEST_CASE(decodeRequest_invalidDeadline_usesDefault)
{
    head.fields[2].value = "soon";
    BOOST_TEST((decoded().deadline > 0ms));
}

BOOST_AUTO_TEST_CASE(encodeAttempt_routerOnlyFields_replaceCallerValues)
{
    head.fields.push_back({"X-Tenant", "forged"});
    head.fields.push_back({"x-expect-instance", "forged"});
    head.fields.push_back({"X-Hold", "forged"});
    head.fields.push_back({"X-Pin-Ms", "forged"});
    head.fields.push_back({"X-Kv-Backup", "forged"});
    head.fields.push_back({"Kv-From", "forged"});
    head.fields.push_back({"Kv-Fetch", "forged"});
    head.fields.push_back({"X-Request-Priority", "0"});
    const std::string text = encoded();
    BOOST_TEST(!has(text, "forged"));
    BOOST_TEST(!has(text, "secret"));
    BOOST_TEST(has(text, "X-Tenant: account\r\n"));
    BOOST_TEST(has(text, "X-Expect-Instance: i-1\r\n"));
    BOOST_TEST(has(text, "X-Deadline-Ms: 1500\r\n"));
    BOOST_TEST(!has(text, "X-Deadline-Ms: 12000"));
    BOOST_TEST(has(text, "X-Request-Priority: 1\r\n"));
    BOOST_TEST(has(text, "POST /a/b?c=d HTTP/1.1\r\n"));
}

BOOST_AUTO_TEST_CASE(encodeAttempt_otherFields_areForwardedUnchanged)
{
    const std::string text = encoded();
    BOOST_TEST(has(text, "X-Request-Id: id-1\r\n"));
    BOOST_TEST(has(text, "X-Model: m\r\n"));
    BOOST_TEST(has(text, "X-Token-Counts: 1460,80\r\n"));
    BOOST_TEST(has(text, "X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"));
    BOOST_TEST(has(text, "Content-Length: 3\r\n"));
}

BOOST_AUTO_TEST_CASE(encodeAttempt_hopByHopFields_areDropped)
{
    head.fields.push_back({"Connection", "close, X-Extra"});
    head.fields.push_back({"X-Extra", "1"});
    head.fields.push_back({"Expect", "100-continue"});
    head.fields.push_back({"Upgrade", "h2c"});
    const std::string text = encoded();
    for (const char *name : {"Connection", "X-Extra", "Expect:", "Upgrade", "Transfer-Encoding"}) {
        BOOST_TEST(!has(text, name));
    }
}

BOOST_AUTO_TEST_CASE(encodeAttempt_resume_sendsLastEventId)
{
    head.fields.push_back({"Last-Event-Id", "3"});
    BOOST_TEST(has(encoded(), "Last-Event-Id: 3\r\n"));
    const std::string text = encoded(17);
    BOOST_TEST(has(text, "Last-Event-Id: 17\r\n"));
    BOOST_TEST(!has(text, "Last-Event-Id: 3\r\n"));
}

BOOST_AUTO_TEST_CASE(encodeAttempt_publicRoute_omitsAccount)
{
    attempt.account.clear();
    BOOST_TEST(!has(encoded(), "X-Tenant"));
}

BOOST_AUTO_TEST_CASE(decodeAnswer_upstreamFields_areRead)
{
    http_head answer;
    answer.status = 503;
    answer.fields = {{"X-Not-Executed", "1"}, {"X-Server-Load", "3,1,8"}, {"X-Request-Id", "id-1"}};
    const decoded_answer decodedAnswer = codec.decodeAnswer(answer);
    BOOST_TEST(decodedAnswer.summary.notRun);
    BOOST_TEST(!decodedAnswer.summary.isSigned);
    BOOST_TEST(decodedAnswer.summary.load->running == 3U);
    BOOST_TEST(decodedAnswer.summary.load->waiting == 1U);
    BOOST_TEST(decodedAnswer.summary.load->slots == 8U);
    BOOST_TEST(*decodedAnswer.requestId == "id-1");
}

BOOST_AUTO_TEST_CASE(decodeAnswer_invalidLoad_isIgnored)
{
    for (const char *text : {"", "3", "3,1", "a,b,c", "3,,8"}) {
        http_head answer;
        answer.fields = {{"X-Server-Load", text}};
        BOOST_TEST(!codec.decodeAnswer(answer).summary.load.has_value());
    }
}

BOOST_AUTO_TEST_CASE(decodeAnswer_leavingAndPause_areRead)
{
    http_head answer;
    answer.status = 503;
    answer.fields = {{"Server-Leaving", "1"}, {"Retry-After", "2.5"}};
    BOOST_TEST(codec.decodeAnswer(answer).summary.isLeaving);
    BOOST_TEST((codec.decodeAnswer(answer).summary.pauseFor == 2500ms));
    answer.status = 200;
    BOOST_TEST(!codec.decodeAnswer(answer).summary.pauseFor.has_value());
    answer.status = 503;
    for (const char *text : {"", "soon", "-1", "nan", "1s"}) {
        answer.fields = {{"Server-Leaving", "0"}, {"Retry-After", text}};
        BOOST_TEST(!codec.decodeAnswer(answer).summary.isLeaving);
        BOOST_TEST(!codec.decodeAnswer(answer).summary.pauseFor.has_value());
    }
    answer.fields = {{"Retry-After", "1e300"}};
    BOOST_TEST((codec.decodeAnswer(answer).summary.pauseFor == 1h));
}

// Guards against a load report that is lost because of its fourth figure, and against a figure that stands for no time.
BOOST_AUTO_TEST_CASE(decodeAnswer_fourthLoadFigure_isAPercentageOrUnreadable)
{
    http_head answer;
    answer.status = 200;
    const auto decode = [&](const char *text) {
        answer.fields = {{"X-Server-Load", text}};
        const answer_summary summary = codec.decodeAnswer(answer).summary;
        BOOST_TEST((summary.load && summary.load->running == 3 && summary.load->waiting == 1 && summary.load->slots == 8), text);
        return summary;
    };
    BOOST_TEST(!decode("3,1,8").load->timePercent.has_value());
    BOOST_TEST(decode("3,1,8").unreadableTime.empty());
    BOOST_TEST(decode("3,1,8,130").load->timePercent.value_or(0) == 130.0);
    BOOST_TEST(decode("3,1,8,99.5,7").load->timePercent.value_or(0) == 99.5);
    BOOST_TEST(decode("3,1,8,130").unreadableTime.empty());
    for (const char *text :
         {"3,1,8,", "3,1,8,0", "3,1,8,0.0", "3,1,8,-5", "3,1,8,nan", "3,1,8,inf", "3,1,8,fast", "3,1,8, 100", "3,1,8,100%"}) {
        BOOST_TEST(!decode(text).load->timePercent.has_value(), text);
        BOOST_TEST(!decode(text).unreadableTime.empty(), text);
    }
    BOOST_TEST(decode(("3,1,8," + std::string(1000, 'x')).c_str()).unreadableTime.size() <= 32U);
}

// Guards against statements of a limit that are misread, and against a request that is lost because of one.
BOOST_AUTO_TEST_CASE(decodeAnswer_statedLimit_isAFigureOrUnreadable)
{
    http_head answer;
    answer.status = 200;
    const auto decode = [&](std::vector<header_field> fields) {
        answer.fields = std::move(fields);
        return codec.decodeAnswer(answer).summary;
    };
    BOOST_TEST(!decode({}).requestsPerSecond.has_value());
    BOOST_TEST(decode({}).unreadableLimit.empty());
    BOOST_TEST(decode({{"Server-Limit", "2.25"}}).requestsPerSecond.value_or(-1) == 2.25);
    BOOST_TEST(decode({{"server-limit", "0"}}).requestsPerSecond.value_or(-1) == 0.0);
    BOOST_TEST(decode({{"Server-Limit", "1e300"}}).requestsPerSecond.value_or(-1) == 1e6);
    BOOST_TEST(decode({{"Server-Limit", "3"}, {"Server-Limit", "1.5"}}).requestsPerSecond.value_or(-1) == 1.5);
    for (const char *text : {"", "-1", "nan", "inf", "2 a second", "2,3", "1e999"}) {
        BOOST_TEST(!decode({{"Server-Limit", text}}).requestsPerSecond.has_value());
        BOOST_TEST(!decode({{"Server-Limit", text}}).unreadableLimit.empty());
    }
    BOOST_TEST(decode({{"Server-Limit", std::string(1000, 'x')}}).unreadableLimit.size() <= 32U);
    BOOST_TEST(decode({{"Server-Limit", "x"}, {"Server-Limit", "4"}}).requestsPerSecond.value_or(-1) == 4.0);
}

BOOST_AUTO_TEST_CASE(encodeRefusal_anyReason_isUnsigned)
{
    for (const refusal_info &info : refusalTable) {
        const local_answer answer = codec.encodeRefusal({1, info.reason, 400ms}, "id-1");
        BOOST_TEST(answer.status == info.status);
        for (const header_field &field : answer.fields) {
            BOOST_TEST(!equalsIgnoreCase(field.name, platform::header::signature));
            BOOST_TEST((!equalsIgnoreCase(field.name, "Retry-After") || field.value == "0.400"));
        }
    }
}

BOOST_AUTO_TEST_CASE(decodeRules_example_isRead)
{
    const auto rules = platform::decodeRules(configuration);
    BOOST_TEST(rules->version == 7U);
    const route_rule *first = rules->match("h.example", "/a/1");
    BOOST_REQUIRE(first != nullptr);
    BOOST_TEST(first->shares.size() == 2U);
    BOOST_TEST(first->carriesPrompt);
    BOOST_TEST((first->target == 1200ms));
    const route_rule *second = rules->match("h.example", "/b/1");
    BOOST_REQUIRE(second != nullptr);
    BOOST_TEST(second->isPublic);
    BOOST_TEST(!second->mayRepeat());
    BOOST_TEST((second->timeout == 1500500us));
    BOOST_TEST(rules->service("s1")->engineSlots == 64U);
    BOOST_TEST(rules->service("s2")->engineSlots == 0U);
    BOOST_TEST(rules->accountFor("k2")->name == "t1");
    BOOST_TEST(rules->accountFor("k2")->hasPriority);
    BOOST_TEST(!rules->accountFor("k3")->hasPriority);
}

BOOST_AUTO_TEST_CASE(decodeRules_invalidInput_throws)
{
    for (const char *text :
         {"", "null", "[]", "{}", R"({"version":"7","routes":[],"services":[]})", R"({"version":7,"services":[]})",
          R"({"version":7,"services":[],"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"other","service":"s"}]})",
          R"({"version":7,"services":[],"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"streaming"}]})"}) {
        BOOST_CHECK_THROW(platform::decodeRules(text), std::exception);
    }
}

BOOST_AUTO_TEST_CASE(decodeUpstream_example_isRead)
{
    std::string reason;
    const auto record = platform::decodeUpstream(
        {"i-1", 4,
         R"({"service":"s","address":"10.1.0.9:8080","zone":"z","version":"v1","capacity":64,"state":"draining","warmup_ms":500,"sequence":4,"born":1700000000000})",
         false},
        reason);
    BOOST_REQUIRE(record.has_value());
    BOOST_TEST(record->instance == "i-1");
    BOOST_TEST(record->isLeaving);
    BOOST_TEST(record->slots == 64U);
    BOOST_TEST((record->coldFor == 500ms));
    BOOST_TEST(record->incarnation == 1700000000000U);
}

BOOST_AUTO_TEST_CASE(decodeUpstream_invalidEntry_returnsNothing)
{
    for (const char *text : {"", "null", "{}", "\xff\xfe", R"({"service":"s","address":"a:1","zone":"z","capacity":64})",
                             R"({"service":"s","address":"a:1","zone":"z","capacity":64,"state":"resting"})",
                             R"({"service":7,"address":"a:1","zone":"z","capacity":64,"state":"ready"})",
                             R"({"service":"s","address":null,"zone":"z","capacity":64,"state":"ready"})",
                             R"({"service":"s","address":"a:1","zone":"z","capacity":"many","state":"ready"})"}) {
        std::string reason;
        BOOST_TEST(!platform::decodeUpstream({"i", 1, text, false}, reason).has_value());
        BOOST_TEST(!reason.empty());
    }
}

BOOST_AUTO_TEST_CASE(decodePageAndChanges_example_keepNamesRevisionsAndDeletions)
{
    const auto page = platform::decodePage(
        R"({"items":[{"metadata":{"name":"a","revision":3},"spec":{"x":1}},{"metadata":{"name":"b","revision":4}}],"has_more":true,"as_of":9})",
        0);
    BOOST_TEST(page.objects.size() == 2U);
    BOOST_TEST(page.objects[0].text == R"({"x":1})");
    BOOST_TEST(page.objects[1].text == "null");
    BOOST_TEST(page.hasMore);
    BOOST_TEST(page.asOf.number == 9U);
    const auto changes = platform::decodeChanges(
        R"({"events":[{"object":{"metadata":{"name":"a","revision":12},"spec":{}},"deleted":true}],"as_of":12})", 0);
    BOOST_TEST(changes.objects[0].isDeleted);
    BOOST_CHECK_THROW(platform::decodePage("{}", 0), std::exception);
    BOOST_CHECK_THROW(platform::decodeChanges("<html>", 0), std::exception);
}

// Guards against one entry of another writer that hides all others, so that no router became ready.
BOOST_AUTO_TEST_CASE(decodePageAndChanges_oneUnreadableEntry_theOthersHold)
{
    const std::string good
        = R"({"metadata":{"name":"good","revision":4},"spec":{"service":"caf\u00e9","born":1,"sequence":2},"status":null})";
    const std::string damaged[] = {
        R"({"count":12345678901234567890123})",
        R"({"count":1e400})",
        R"({"text":"\ud800"})",
        "{\"text\":\"\xff\xfe\"}",
        "{\"text\":\"\x01\"}",
    };
    for (const std::string &spec : damaged) {
        const std::string bad = R"({"metadata":{"name":"bad","revision":5},"spec":)" + spec + R"(,"status":null})";
        const auto page = platform::decodePage(R"({"items":[)" + bad + "," + good + R"(],"has_more":true,"as_of":9})", 3);
        BOOST_REQUIRE(page.objects.size() == 2U);
        BOOST_TEST(page.objects[0].name == "bad");
        BOOST_TEST(page.objects[0].text == "null");
        BOOST_TEST(page.objects[1].name == "good");
        BOOST_TEST(page.objects[1].text == "{\"service\":\"caf\xc3\xa9\",\"born\":1,\"sequence\":2}");
        BOOST_TEST(page.objects[1].content.number == 2U);
        BOOST_TEST(page.hasMore);
        BOOST_TEST((page.asOf == store_revision(3, 9)));
        BOOST_TEST(page.unreadable == 0U);

        const auto changes = platform::decodeChanges(
            R"({"as_of":12,"events":[{"object":)" + good + R"(,"deleted":true},{"object":)" + bad + R"(,"deleted":false}]})", 3);
        BOOST_REQUIRE(changes.objects.size() == 2U);
        BOOST_TEST(changes.objects[0].isDeleted);
        BOOST_TEST(changes.objects[1].text == "null");
        BOOST_TEST(!changes.objects[1].isDeleted);
        BOOST_TEST((changes.asOf == store_revision(3, 12)));
    }
    const auto page
        = platform::decodePage("{\"items\":[{\"metadata\":{\"name\":\"\xff\",\"revision\":5},\"spec\":{}}," + good + R"(],"as_of":9})", 3);
    BOOST_REQUIRE(page.objects.size() == 1U);
    BOOST_TEST(page.objects[0].name == "good");
    BOOST_TEST(page.unreadable == 1U);
    BOOST_CHECK_THROW(platform::decodePage(R"({"items":[{"metadata":)", 3), std::exception);
    BOOST_CHECK_THROW(platform::decodePage("{\"items\":[\xff],\"as_of\":1", 3), std::exception);
}

// Guards against a final status that is lost because another entry of the same answer is unreadable: a router that has just started would
// begin the rollout again and write over the status.
BOOST_AUTO_TEST_CASE(decodePageAndChanges_oneUnreadableEntry_theStatusOfTheOthersIsKept)
{
    const std::string bad = R"({"metadata":{"name":"bad","revision":5},"spec":{"count":1e400},"status":null})";
    const auto ordered = [](const std::string &status) {
        return R"({"metadata":{"name":"desk","revision":9,"created_rev":7},"spec":{"service":"desk","target":"v2","ramp_s":12},"status":)"
               + status + '}';
    };
    const std::string completed = ordered(R"({ "state" : "completed", "target" : "v2" })");
    const stored_object whole = platform::decodePage(R"({"items":[)" + completed + R"(],"as_of":9})", 3).objects.at(0);
    const stored_object fromPage = platform::decodePage(R"({"items":[)" + bad + "," + completed + R"(],"as_of":9})", 3).objects.at(1);
    const stored_object fromChanges
        = platform::decodeChanges(R"({"as_of":9,"events":[{"object":)" + bad + R"(},{"object":)" + completed + "}]}", 3).objects.at(1);
    BOOST_TEST((fromPage == whole));
    BOOST_TEST((fromChanges == whole));
    std::string reason;
    const auto order = platform::decodeRollout(fromPage, reason);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(nameOf(order->status) == "completed");

    const stored_object damaged
        = platform::decodePage(R"({"items":[)" + ordered(R"({"state":1e400})") + R"(],"as_of":9})", 3).objects.at(0);
    BOOST_TEST(damaged.text == whole.text);
    BOOST_TEST(!platform::decodeRollout(damaged, reason).has_value());
}

// Guards against revisions of a restored store that are taken for those of the time before.
BOOST_AUTO_TEST_CASE(decodePage_eraAndVersionOfTheContent_areRead)
{
    http_head answerHead;
    BOOST_TEST(platform::decodeEra(answerHead) == 0U);
    answerHead.fields = {{"store-era", "4"}};
    BOOST_TEST(platform::decodeEra(answerHead) == 4U);
    answerHead.fields = {{"Store-Era", "later"}};
    BOOST_TEST(platform::decodeEra(answerHead) == 0U);
    const auto page = platform::decodePage(
        R"({"items":[{"metadata":{"name":"i","revision":3},"spec":{"born":70,"sequence":8,"version":2}},)"
        R"({"metadata":{"name":"main","revision":5},"spec":{"version":11}},{"metadata":{"name":"z","revision":6}}],"as_of":9})",
        4);
    BOOST_TEST((page.asOf == store_revision(4, 9)));
    BOOST_TEST((page.objects.at(0).content == content_version {70, 8}));
    BOOST_TEST((page.objects.at(1).content == content_version {0, 11}));
    BOOST_TEST((page.objects.at(2).content == content_version {}));
}

BOOST_AUTO_TEST_CASE(targets_listAndWatch_matchPlatformPaths)
{
    BOOST_TEST(platform::listTarget("servers", {""}) == "/nutmegtally/objects/servers");
    BOOST_TEST(platform::listTarget("servers", {"i-1"}) == "/nutmegtally/objects/servers?after=i-1");
    BOOST_TEST(platform::watchTarget("config", {530, 20s}) == "/nutmegtally/objects/config?watch=530&wait_ms=20000");
}

BOOST_AUTO_TEST_CASE(gossipMessage_roundTrip_keepsAllFields)
{
    gossip_message message;
    message.name = "a";
    message.address = "10.0.0.1:1";
    message.loadAddress = "10.0.0.1:2";
    message.domain = "d";
    message.routers = {{"b", "10.0.0.2:1", "10.0.0.2:2", "d", 1500ms, 0xfffffffffffffff0}};
    message.counter = 0xfffffffffffffff1;
    message.digests = {{"config", {3, 9}, 77, true}};
    message.wantsPrompts = true;
    message.prompts = {{5, {6, 7}}};
    const gossip_message read = decodeGossipMessage(decompressMessage(compressMessage(encodeGossipMessage(message))));
    BOOST_TEST(read.name == "a");
    BOOST_TEST((read.routers.at(0).age == 1500ms));
    BOOST_TEST(read.routers.at(0).counter == message.routers.at(0).counter);
    BOOST_TEST(read.counter == message.counter);
    BOOST_TEST(read.digests.at(0).hash == 77U);
    BOOST_TEST((read.digests.at(0).asOf == store_revision(3, 9)));
    BOOST_TEST(read.digests.at(0).keepsLost);
    BOOST_TEST(read.routers.at(0).domain == "d");
    BOOST_TEST(read.wantsPrompts);
    BOOST_TEST(read.prompts.at(0).parts.at(1) == 7U);
}

// Guards against routers that cannot read each other while they are replaced one by one.
BOOST_AUTO_TEST_CASE(snapshot_ofAnEarlierVersion_isReadWithoutEras)
{
    const kind_snapshot read
        = decodeSnapshot(R"({"kind":"config","since":7,"asOf":9,"objects":[["main",8,"{}"]],"removed":[],"graceMs":0})");
    BOOST_TEST((read.state.asOf == store_revision(9)));
    BOOST_TEST((read.state.objects.at(0).revision == store_revision(8)));
    const gossip_message message
        = decodeGossipMessage(R"({"name":"a","address":"x","loadAddress":"y","domain":"d","routers":[["b","z","u","d",20]],)"
                              R"("digests":{"config":[9,77]}})");
    BOOST_TEST(message.counter == 0U);
    BOOST_TEST(message.routers.at(0).counter == 0U);
    BOOST_TEST((message.digests.at(0).asOf == store_revision(9)));
}

BOOST_AUTO_TEST_CASE(snapshot_roundTrip_keepsAllFields)
{
    const kind_snapshot sent {"config", {{2, 7}, {2, 9}, {{"main", {1, 8}, std::string(5000, 'x'), false, {5, 6}}}, {"gone"}, 1500ms}};
    const kind_snapshot read = decodeSnapshot(decompressMessage(compressMessage(encodeSnapshot(sent))));
    BOOST_TEST(read.kind == "config");
    BOOST_TEST(read.state.since.number == 7U);
    BOOST_TEST(read.state.asOf.number == 9U);
    BOOST_TEST((read.state.objects == sent.state.objects));
    BOOST_TEST((read.state.removed == sent.state.removed));
    BOOST_TEST((read.state.missingGrace == 1500ms));
    BOOST_CHECK_THROW(decodeSnapshot("{}"), std::exception);
}

// Guards against routers that are cut off from the store and take an order for a new one, or miss its status.
BOOST_AUTO_TEST_CASE(snapshot_ofRollouts_keepsStatusAndCreation)
{
    stored_object order {"desk", {2, 9}, R"({"service":"desk"})"};
    order.status = R"({"state":"completed","target":"v2"})";
    order.createdAt = 7;
    const kind_snapshot sent {"rollouts", {{}, {2, 9}, {order, {"other", {2, 8}, "{}"}}, {}, 0ms}};
    BOOST_TEST((decodeSnapshot(encodeSnapshot(sent)).state.objects == sent.state.objects));
}

BOOST_AUTO_TEST_CASE(splitMessageParts_truncatedBody_throws)
{
    const std::vector<std::string> parts {"", "one", std::string(300, 'x')};
    const std::string body = joinMessageParts(parts);
    BOOST_TEST((splitMessageParts(body) == parts));
    for (std::size_t length = 1; length < body.size(); ++length) {
        if (length != 4 && length != 11) { // these lengths end with a complete part
            BOOST_CHECK_THROW(splitMessageParts(std::string_view(body).substr(0, length)), std::exception);
        }
    }
}

BOOST_AUTO_TEST_CASE(decompressMessage_invalidBytes_throws)
{
    for (const std::string &bytes :
         {std::string(), std::string("q"), std::string("z"), std::string("zzzzzzzzzzzzzzzzzzzz"), std::string(40, '\xff')}) {
        BOOST_CHECK_THROW(decompressMessage(bytes), std::exception);
    }
    std::string cut = compressMessage(std::string(5000, 'x'));
    cut.resize(cut.size() - 1);
    BOOST_CHECK_THROW(decompressMessage(cut), std::exception);
}

BOOST_AUTO_TEST_CASE(heartbeat_roundTrip_keepsAllFields)
{
    router_heartbeat sent;
    sent.name = "a";
    sent.isLeader = true;
    sent.isApiReachable = false;
    sent.routersCovered = 20;
    sent.interval = 150ms;
    sent.sinceApiAnswer = 1200ms;
    sent.load = {"domain", {{0x0102030400000000, 2, 640}}, {{4, {5, 6}}}, {{9, 10}}, load_scope::domain};
    sent.digests = {{"config", {1, 7}, 8, true}};
    sent.counter = 0x0102030405060708;
    sent.recentRouters = {{11, 0xfffffffffffffff0, 1499ms}, {0xffffffff, 1, 0ms}};
    sent.limits = {{{0xfffffffe, 3}, 2.25, 40ms}, {{5, 0xffffffff}, std::nullopt, 1h}};
    sent.evidence = {{7, 1, std::nullopt, {{12, 30ms, 50ms}, {0xffffffff, 1h, 2h}}}, {0xfffffffffffffff0, 0, 2s, {}}};
    const std::string bytes = encodeHeartbeat(sent);
    const auto read = std::get<router_heartbeat>(decodeDatagram(bytes.data(), bytes.size()));
    BOOST_TEST(read.name == "a");
    BOOST_TEST(read.isLeader);
    BOOST_TEST(!read.isApiReachable);
    BOOST_TEST(read.routersCovered == 20U);
    BOOST_TEST((read.interval == 150ms));
    BOOST_TEST((read.sinceApiAnswer == duration(1200ms)));
    BOOST_TEST(read.load.source == "domain");
    BOOST_TEST((read.load.scope == load_scope::domain));
    BOOST_TEST(read.load.usage.at(0).upstream == 0x0102030400000000U);
    BOOST_TEST(read.load.usage.at(0).inFlight == 2U);
    BOOST_TEST(read.counter == sent.counter);
    BOOST_TEST((read.recentRouters == sent.recentRouters));
    BOOST_TEST(read.load.usage.at(0).pendingPrefillTokens == 640U);
    BOOST_TEST(read.load.prompts.at(0).parts.at(1) == 6U);
    BOOST_TEST(read.digests.at(0).hash == 8U);
    BOOST_TEST((read.digests.at(0).asOf == store_revision(1, 7)));
    BOOST_TEST(read.digests.at(0).keepsLost);
    BOOST_TEST((read.load.leaving == sent.load.leaving));
    BOOST_TEST((read.evidence == sent.evidence));
    BOOST_TEST((read.limits == sent.limits));
    BOOST_CHECK_THROW(decodeDatagram("\x93garbage", 8), std::exception);
}

// Guards against a field that is lost or cut short between routers, so that a version is judged on wrong sums.
BOOST_AUTO_TEST_CASE(heartbeat_withRolloutCounts_keepsAllFields)
{
    router_heartbeat sent;
    sent.name = "a";
    rollout_counts counts {0xfffffffe, 0x80000001, 12345ms, rollout_fault::slow, 300, 70000, 1h, {}};
    counts.routes.push_back({0xfffffffd, {70001, 3, 70000, 4, 12.5}, {5, 6, 7, 8, -0.25}});
    counts.routes.push_back({1, {}, {1, 0, 1, 0, -1000}});
    sent.load.rollouts = {counts, rollout_counts {}};
    const std::string bytes = encodeHeartbeat(sent);
    const auto read = std::get<router_heartbeat>(decodeDatagram(bytes.data(), bytes.size()));
    BOOST_TEST((read.load.rollouts == sent.load.rollouts));
}

// Guards against figures of the speed that routers of an earlier version cannot skip, or do not have to send.
BOOST_AUTO_TEST_CASE(heartbeat_withSpeeds_isReadableForEarlierVersions)
{
    router_heartbeat sent;
    sent.name = "a";
    for (const double factor : {1.0, 2.0, 0.25, 8.0}) {
        sent.load.usage.push_back({std::uint64_t(7) << 32, 3, 64, {std::log2(factor), 100 * factor}, 4'000'000'000U});
    }
    std::string bytes = encodeHeartbeat(sent);
    const auto read = std::get<router_heartbeat>(decodeDatagram(bytes.data(), bytes.size()));
    BOOST_REQUIRE(read.load.usage.size() == 4U);
    for (std::size_t i = 0; i < 4; ++i) {
        const slowness_figure &figure = sent.load.usage[i].slowness;
        BOOST_TEST(std::abs(read.load.usage[i].slowness.log2Factor - figure.log2Factor) < 0.02);
        BOOST_TEST(std::abs(read.load.usage[i].slowness.weight / figure.weight - 1) < 0.03);
        BOOST_TEST(read.load.usage[i].occupiedTokens == 4'000'000'000U);
    }
    BOOST_TEST(read.load.usage[0].slowness.log2Factor == 0);

    nlohmann::json document = nlohmann::json::from_msgpack(bytes);
    BOOST_TEST(document.at(7).get<std::string>().size() == 4U * 8);
    BOOST_TEST(document.at(16).is_array());
    BOOST_TEST(document.at(17).get<std::string>().size() == 4U * 6);
    BOOST_TEST(document.at(11).is_string()); // earlier versions read it
    document.erase(document.begin() + 16, document.end());
    bytes.clear();
    nlohmann::json::to_msgpack(document, bytes);
    const auto earlier = std::get<router_heartbeat>(decodeDatagram(bytes.data(), bytes.size()));
    BOOST_TEST(earlier.load.usage.at(0).inFlight == 3U);
    BOOST_TEST(earlier.load.usage.at(0).slowness.weight == 0);
    BOOST_TEST(earlier.counter == 0U);
    BOOST_TEST(earlier.recentRouters.empty());
}

BOOST_AUTO_TEST_CASE(permitMessage_roundTrip_keepsAllFields)
{
    const permit_request asked {1ULL << 40, {{7, 8}, 0.5, 12ms}, {-1, 0xffffffff}};
    const std::string request = encodePermitMessage({"a", asked});
    const auto readRequest = std::get<permit_message>(decodeDatagram(request.data(), request.size()));
    BOOST_TEST(readRequest.name == "a");
    BOOST_TEST((std::get<permit_request>(readRequest.content) == asked));

    const permit_answer given {3, {{7, 8}, std::nullopt, 0ms}, true, 1500us, {2, 9}};
    const std::string answer = encodePermitMessage({"b", given});
    const auto readAnswer = std::get<permit_message>(decodeDatagram(answer.data(), answer.size()));
    BOOST_TEST(readAnswer.name == "b");
    BOOST_TEST((std::get<permit_answer>(readAnswer.content) == given));
    BOOST_CHECK_THROW(decodeDatagram(answer.data(), answer.size() - 1), std::exception);
}

BOOST_AUTO_TEST_SUITE_END()
