// Stored form of the ledger: the head object and the sealed segments of a shard, with their JSON codec. The operators'
// command-line tool reads the same objects.
#pragma once

#include <nutmegtally/idempotency_key.h>
#include <nutmegtally/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtally
{

/// HTTP response of the service to a booking.
struct booking_outcome {
    int status = 0; // HTTP status
    std::string contentType;
    std::uint64_t bodyHash = 0; // hashText of the complete body
    std::string body; // empty if it was too long to store or not UTF-8
    bool bodyKept = true; // false: repeated requests get the status without a body and X-Nutmegtally-Outcome: ran

    bool operator==(const booking_outcome &) const = default;
};

enum class entry_state : std::uint8_t {
    claimed, // the owner may have sent the booking to the service
    finished, // the booking ran and its outcome is known
    unknown, // the booking may have run; it is not sent again, unless the service itself checks keys
    notRun, // an operator found that the booking did not run; the key cannot be used again
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(entry_state::count)> entryStateNames
    = {"claimed", "finished", "unknown", "not_run"};

/// Audit record of an operator's settlement. It is part of the entry, so that both are stored by the same write.
struct settle_audit {
    std::string who; // operator
    wall_time when {};
    std::string why; // reason given by the operator

    bool operator==(const settle_audit &) const = default;
};

struct ledger_entry {
    idempotency_key key;
    std::uint64_t requestHash = 0; // of method, path and body
    std::uint64_t claimNonce = 0; // identifies the claim; a key that is claimed again gets a new nonce
    entry_state state = entry_state::claimed;
    booking_outcome outcome; // if state is finished
    std::optional<settle_audit> audit; // set if an operator settled the entry

    bool operator==(const ledger_entry &) const = default;
};

/// Reference to a sealed segment in the head.
struct segment_ref {
    std::string name; // of the segment's object
    wall_time newestKey {}; // creation time of its newest key; the segment is deleted once this key has expired

    bool operator==(const segment_ref &) const = default;
};

struct ledger_head {
    std::string owner; // upstream name of the owning agent
    std::uint64_t epoch = 0; // increases with each take-over; the fencing token of the owner's calls
    std::uint64_t nonce = 0; // identifies the last commit, so that its writer recognizes it
    std::vector<ledger_entry> entries; // entries that are not in a sealed segment
    std::vector<segment_ref> segments;
    wall_time keptSince {}; // entries of keys created before this time may have been dropped, so such keys are refused

    bool operator==(const ledger_head &) const = default;
};

std::string encode(const ledger_head &head);
std::string encodeSegment(const std::vector<ledger_entry> &entries);

/// @throws error internal if @p text is not a head or a segment.
ledger_head decodeHead(std::string_view text);
std::vector<ledger_entry> decodeSegment(std::string_view text);

/// Whether the text can be stored unchanged as a JSON string, that is, whether it is valid UTF-8.
bool isStorableText(std::string_view text);

/// "ledger/SERVICE/SHARD/head"
std::string ledgerHeadName(std::string_view service, std::uint32_t shard);

/// "ledger/SERVICE/SHARD/EPOCH-NONCE"
std::string ledgerSegmentName(std::string_view service, std::uint32_t shard, std::uint64_t epoch, std::uint64_t nonce);

} // namespace nutmegtally
