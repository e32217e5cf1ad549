// Messages between router and agent: the header of a work request and the records of its answer stream.
#pragma once

#include <nutmegtally/errors.h>
#include <nutmegtally/ids.h>
#include <nutmegtally/work.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegtally
{

inline constexpr const char *workPath = "/inner/v1/work";
inline constexpr const char *workHeaderName = "X-Nutmegtally-Work";

/// Header of a work request. Ids are sent as hexadecimal numbers.
struct work_header {
    attempt_ref attempt;
    request_info info; // its deadline is relative: the time since the epoch of time_point is the time left
    std::string method = "POST"; // of the call to the upstream
    std::string path; // of the call to the upstream
    std::string contentType;
    bool stream = false; // chat: streamed as text deltas instead of one body
    bool usage = false; // streamed chat: the caller requested the chunk with the token counts
    bool resume = false; // attach to the attempt's running stream
    std::uint64_t offset = 0; // streamed chat: number of UTF-8 characters that the router has received
    std::uint64_t resumeSeq = 0; // sequence number of the next data record
    std::uint32_t expectedCachedTokens = 0;
    std::uint64_t configVersion = 0;
    mean_load_estimate mean; // the router's estimate
};

nlohmann::json toJson(const work_header &header);

/// @throws error malformedRequest if @p json is not a work header.
work_header parseWorkHeader(const nlohmann::json &json);

enum class record_kind : std::uint8_t {
    head,
    data,
    keepalive,
    end,
    refused,
    count
};

/// One line of an answer stream. Members that a kind does not use keep their defaults.
struct stream_record {
    record_kind kind = record_kind::keepalive;
    request_id request;
    std::uint64_t seq = 0; // data: sequence number within the attempt, continued on a new connection; end: number of data records
    std::string data;
    std::string event; // data: chat chunk that holds more than text, as the engine sent it; empty for none
    int status = 200; // head: HTTP status of the upstream
    std::string contentType; // head
    std::string outcome; // head: value of X-Nutmegtally-Outcome, empty for none
    std::string answerId; // head: "id" of the engine's chunks
    std::string model; // head
    std::uint64_t bytes = 0; // end: length of all data of this connection
    std::uint64_t checksum = 0; // end: XXH64 of the same data
    std::uint32_t promptTokens = 0; // end
    std::uint32_t cachedTokens = 0; // end
    error_code code = error_code::internal; // refused
    run_state state = run_state::unknown; // refused
    duration retryAfter {0}; // refused
    upstream_id owner; // refused with notOwner: the actual owner
    load_report load; // head, end, refused
    std::uint64_t configVersion = 0; // head, end, refused: of the agent
};

/// @return One line without its line feed.
std::string encodeRecord(const stream_record &record);

/// @throws error streamLost if @p line is not a record.
stream_record decodeRecord(std::string_view line);

/// Incremental XXH64 and length of the data of one connection.
class stream_checksum
{
public:
    stream_checksum();
    void add(std::string_view data);
    std::uint64_t value() const;

    std::uint64_t bytes() const
    {
        return m_bytes;
    }

private:
    struct state_deleter {
        void operator()(void *state) const;
    };

    std::unique_ptr<void, state_deleter> m_state;
    std::uint64_t m_bytes = 0;
};

/// Number of UTF-8 characters in @p text.
std::uint64_t countCharacters(std::string_view text);

/// The rest of @p text after its first @p count characters.
std::string_view skipCharacters(std::string_view text, std::uint64_t count);

bool isValidUtf8(std::string_view text);

} // namespace nutmegtally
