// JSON encoding of the work header and the stream records.
#include "daemon/daemon_records.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/StreamCopier.h>
#include <Poco/UTF8Encoding.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <new>
#include <sstream>

namespace nutmegtally
{

namespace
{

using json = nlohmann::json;

constexpr std::array<std::string_view, static_cast<std::size_t>(work_kind::count)> workKindNames = {"chat", "read", "booking"};
constexpr std::array<std::string_view, static_cast<std::size_t>(record_kind::count)> recordKindNames
    = {"head", "data", "keepalive", "end", "refused"};

template<typename Names>
std::size_t indexOf(const Names &names, const std::string &name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) {
        throw error(error_code::malformedRequest, "unknown kind " + name.substr(0, 32));
    }
    return static_cast<std::size_t>(found - names.begin());
}

template<typename Id>
Id readId(const json &object, const char *key)
{
    return Id(fromHex(object.value(key, std::string())));
}

template<typename Id>
void writeId(json &object, const char *key, Id id)
{
    if (id.isValid()) {
        object[key] = toHex(id.value());
    }
}

void writeText(json &object, const char *key, const std::string &text)
{
    if (!text.empty()) {
        object[key] = text;
    }
}

json loadToJson(const load_report &load)
{
    return {{"incarnation", load.incarnation},
            {"running", load.running},
            {"queued", load.queued},
            {"window", load.window},
            {"pending_prefill_tokens", load.pendingPrefillTokens},
            {"prefill_tokens_per_second", load.prefillTokensPerSecond},
            {"queue_delay_us", load.queueDelay.count()},
            {"cold", load.cold}};
}

load_report loadFromJson(const json &object)
{
    load_report load;
    load.incarnation = object.value("incarnation", std::uint64_t {0});
    load.running = object.value("running", 0U);
    load.queued = object.value("queued", 0U);
    load.window = object.value("window", 0U);
    load.pendingPrefillTokens = object.value("pending_prefill_tokens", 0U);
    load.prefillTokensPerSecond = object.value("prefill_tokens_per_second", 0.0);
    load.queueDelay = duration(object.value("queue_delay_us", std::int64_t {0}));
    load.cold = object.value("cold", false);
    return load;
}

std::string toBase64(const std::string &data)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out, Poco::BASE64_URL_ENCODING);
    encoder << data;
    encoder.close();
    return out.str();
}

std::string fromBase64(const std::string &text)
{
    std::istringstream in(text);
    Poco::Base64Decoder decoder(in, Poco::BASE64_URL_ENCODING);
    std::string data;
    Poco::StreamCopier::copyToString(decoder, data);
    return data;
}

void writeData(json &out, const stream_record &record)
{
    out["seq"] = record.seq;
    if (isValidUtf8(record.data)) {
        out["data"] = record.data;
    } else {
        out["data64"] = toBase64(record.data);
    }
    writeText(out, "event", record.event);
}

void writeHead(json &out, const stream_record &record)
{
    out["status"] = record.status;
    writeText(out, "content_type", record.contentType);
    writeText(out, "outcome", record.outcome);
    writeText(out, "id", record.answerId);
    writeText(out, "model", record.model);
}

void writeEnd(json &out, const stream_record &record)
{
    out["seq"] = record.seq;
    out["bytes"] = record.bytes;
    out["xxh64"] = toHex(record.checksum);
    out["prompt_tokens"] = record.promptTokens;
    out["cached_tokens"] = record.cachedTokens;
}

void writeRefused(json &out, const stream_record &record)
{
    out["code"] = errorInfo(record.code).name;
    out["run_state"] = name(record.state);
    out["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(record.retryAfter).count();
    writeId(out, "owner", record.owner);
}

stream_record recordFromJson(const json &in)
{
    stream_record record;
    record.kind = static_cast<record_kind>(indexOf(recordKindNames, in.at("kind").get<std::string>()));
    record.request = readId<request_id>(in, "request");
    record.seq = in.value("seq", std::uint64_t {0});
    record.data = in.contains("data64") ? fromBase64(in.at("data64").get<std::string>()) : in.value("data", std::string());
    record.event = in.value("event", std::string());
    record.status = in.value("status", 200);
    record.contentType = in.value("content_type", std::string());
    record.outcome = in.value("outcome", std::string());
    record.answerId = in.value("id", std::string());
    record.model = in.value("model", std::string());
    record.bytes = in.value("bytes", std::uint64_t {0});
    record.checksum = fromHex(in.value("xxh64", std::string()));
    record.promptTokens = in.value("prompt_tokens", 0U);
    record.cachedTokens = in.value("cached_tokens", 0U);
    record.code = errorCodeFromName(in.value("code", std::string())).value_or(error_code::internal);
    record.state = runStateFromName(in.value("run_state", std::string())).value_or(run_state::unknown);
    record.retryAfter = std::chrono::milliseconds(in.value("retry_after_ms", std::int64_t {0}));
    record.owner = readId<upstream_id>(in, "owner");
    record.configVersion = in.value("config_version", std::uint64_t {0});
    if (in.contains("load")) {
        record.load = loadFromJson(in.at("load"));
    }
    return record;
}

} // namespace

nlohmann::json toJson(const work_header &header)
{
    const request_info &info = header.info;
    json out = {{"request", toHex(header.attempt.request.value())},
                {"attempt", header.attempt.attempt},
                {"kind", workKindNames[static_cast<std::size_t>(info.kind)]},
                {"prompt_tokens", info.promptTokens},
                {"expected_tokens", info.expectedTokens},
                {"expected_cached_tokens", header.expectedCachedTokens},
                {"deadline_ms", std::chrono::duration_cast<std::chrono::milliseconds>(info.deadline.time_since_epoch()).count()},
                {"config_version", header.configVersion},
                {"method", header.method},
                {"path", header.path},
                {"stream", header.stream},
                {"usage", header.usage},
                {"resume", header.resume},
                {"offset", header.offset},
                {"resume_seq", header.resumeSeq},
                {"mean", {{"load", header.mean.load}, {"samples", header.mean.samples}, {"age_us", header.mean.age.count()}}}};
    writeId(out, "class", info.workClass);
    writeId(out, "account", info.account);
    writeId(out, "chat", info.chat);
    writeId(out, "model", info.model);
    writeId(out, "service", info.service);
    writeText(out, "key", info.idempotencyKey);
    writeText(out, "content_type", header.contentType);
    if (info.bodyHash != 0) {
        out["body_hash"] = toHex(info.bodyHash);
    }
    return out;
}

work_header parseWorkHeader(const nlohmann::json &json)
{
    try {
        work_header header;
        request_info &info = header.info;
        header.attempt = {readId<request_id>(json, "request"), json.at("attempt").get<std::uint32_t>()};
        info.kind = static_cast<work_kind>(indexOf(workKindNames, json.at("kind").get<std::string>()));
        info.workClass = readId<class_id>(json, "class");
        info.account = readId<account_id>(json, "account");
        info.chat = readId<chat_id>(json, "chat");
        info.model = readId<model_id>(json, "model");
        info.service = readId<service_id>(json, "service");
        info.promptTokens = json.value("prompt_tokens", 0U);
        info.expectedTokens = json.value("expected_tokens", 0U);
        info.idempotencyKey = json.value("key", std::string());
        info.bodyHash = fromHex(json.value("body_hash", std::string()));
        info.deadline = time_point(std::chrono::milliseconds(json.value("deadline_ms", std::int64_t {0})));
        header.expectedCachedTokens = json.value("expected_cached_tokens", 0U);
        header.configVersion = json.value("config_version", std::uint64_t {0});
        header.method = json.value("method", std::string("POST"));
        header.path = json.value("path", std::string());
        header.contentType = json.value("content_type", std::string());
        header.stream = json.value("stream", false);
        header.usage = json.value("usage", false);
        header.resume = json.value("resume", false);
        header.offset = json.value("offset", std::uint64_t {0});
        header.resumeSeq = json.value("resume_seq", std::uint64_t {0});
        if (json.contains("mean")) {
            const nlohmann::json &mean = json.at("mean");
            header.mean = {mean.value("load", 0.0), mean.value("samples", 0U), duration(mean.value("age_us", std::int64_t {0}))};
        }
        if (!header.attempt.request.isValid()) {
            throw error(error_code::malformedRequest, "work header without a request id");
        }
        return header;
    } catch (const nlohmann::json::exception &fault) {
        throw error(error_code::malformedRequest, std::string("work header: ") + fault.what());
    }
}

std::string encodeRecord(const stream_record &record)
{
    json out = {{"kind", recordKindNames[static_cast<std::size_t>(record.kind)]}, {"request", toHex(record.request.value())}};
    switch (record.kind) {
    case record_kind::head:
        writeHead(out, record);
        break;
    case record_kind::data:
        writeData(out, record);
        return out.dump();
    case record_kind::end:
        writeEnd(out, record);
        break;
    case record_kind::refused:
        writeRefused(out, record);
        break;
    default:
        return out.dump();
    }
    out["load"] = loadToJson(record.load);
    out["config_version"] = record.configVersion;
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

stream_record decodeRecord(std::string_view line)
{
    try {
        return recordFromJson(json::parse(line));
    } catch (const std::exception &fault) {
        throw error(error_code::streamLost, std::string("malformed record: ") + fault.what(), run_state::unknown);
    }
}

stream_checksum::stream_checksum()
    : m_state(XXH64_createState())
{
    if (!m_state) {
        throw std::bad_alloc();
    }
    XXH64_reset(static_cast<XXH64_state_t *>(m_state.get()), 0);
}

void stream_checksum::add(std::string_view data)
{
    XXH64_update(static_cast<XXH64_state_t *>(m_state.get()), data.data(), data.size());
    m_bytes += data.size();
}

std::uint64_t stream_checksum::value() const
{
    return XXH64_digest(static_cast<const XXH64_state_t *>(m_state.get()));
}

void stream_checksum::state_deleter::operator()(void *state) const
{
    XXH64_freeState(static_cast<XXH64_state_t *>(state));
}

namespace
{

bool startsCharacter(char c)
{
    return (static_cast<unsigned char>(c) & 0xc0U) != 0x80U;
}

} // namespace

std::uint64_t countCharacters(std::string_view text)
{
    return static_cast<std::uint64_t>(std::count_if(text.begin(), text.end(), startsCharacter));
}

std::string_view skipCharacters(std::string_view text, std::uint64_t count)
{
    std::size_t i = 0;
    for (std::uint64_t seen = 0; i < text.size(); ++i) {
        if (startsCharacter(text[i]) && seen++ == count) {
            break;
        }
    }
    return text.substr(i);
}

bool isValidUtf8(std::string_view text)
{
    const auto *bytes = reinterpret_cast<const unsigned char *>(text.data());
    std::size_t i = 0;
    while (i < text.size()) {
        if (bytes[i] < 0x80) {
            ++i;
            continue;
        }
        const int length = bytes[i] >= 0xf0 ? 4 : bytes[i] >= 0xe0 ? 3 : 2;
        if (bytes[i] < 0xc2 || i + static_cast<std::size_t>(length) > text.size() || !Poco::UTF8Encoding::isLegal(bytes + i, length)) {
            return false;
        }
        i += static_cast<std::size_t>(length);
    }
    return true;
}

} // namespace nutmegtally
