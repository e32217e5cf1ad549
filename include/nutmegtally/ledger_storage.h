// Stored form of the ledger: the head object and the sealed segments of a shard, with their JSON codec. Operators'
// tools read the same objects.
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

/// Answer of the service to a booking.
struct booking_outcome {
    int status = 0; // HTTP status
    std::string contentType;
    std::uint64_t bodyHash = 0; // hashText of the whole body
    std::string body; // empty if it was longer than the ledger stores
    bool bodyKept = true; // false: the answer has the status only and the header X-Nutmegtally-Outcome: ran

    bool operator==(const booking_outcome &) const = default;
};

enum class entry_state : std::uint8_t {
    claimed, // the owner may have sent it
    finished, // it ran, with an outcome
    unknown, // it may have run; nobody will run it again
    notRun, // operators found that it did not run; the key stays closed
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(entry_state::count)> entryStateNames
    = {"claimed", "finished", "unknown", "not_run"};

/// Who settled an unknown entry and why. Stored in the entry itself, so the settlement and its audit are one update.
struct settle_audit {
    std::string who;
    wall_time when {};
    std::string why;

    bool operator==(const settle_audit &) const = default;
};

struct ledger_entry {
    idempotency_key key;
    std::uint64_t requestHash = 0; // of method, path and body
    std::uint64_t claimNonce = 0; // names one claim; a key that is claimed again after a release gets another one
    entry_state state = entry_state::claimed;
    booking_outcome outcome; // of a finished entry
    std::optional<settle_audit> audit;

    bool operator==(const ledger_entry &) const = default;
};

/// Entry of the head's list of sealed segments.
struct segment_ref {
    std::string name; // of the object
    wall_time newestKey {}; // decides when the segment can be dropped

    bool operator==(const segment_ref &) const = default;
};

struct ledger_head {
    std::string owner; // upstream name of the owning agent
    std::uint64_t epoch = 0; // grows with each change of owner; the fencing number of the owner's calls
    std::uint64_t nonce = 0; // of the last commit
    std::vector<ledger_entry> entries; // not sealed
    std::vector<segment_ref> segments;
    wall_time keptSince {}; // entries of keys made before this time were dropped, so such keys are refused

    bool operator==(const ledger_head &) const = default;
};

std::string encode(const ledger_head &head);
std::string encodeSegment(const std::vector<ledger_entry> &entries);

/// @throws error internal if @p text is not a head or a segment.
ledger_head decodeHead(std::string_view text);
std::vector<ledger_entry> decodeSegment(std::string_view text);

/// Whether the text can be stored as a JSON string without change, that is, whether it is UTF-8.
bool isStorableText(std::string_view text);

/// "ledger/SERVICE/SHARD/head"
std::string ledgerHeadName(std::string_view service, std::uint32_t shard);

/// "ledger/SERVICE/SHARD/EPOCH-NONCE"
std::string ledgerSegmentName(std::string_view service, std::uint32_t shard, std::uint64_t epoch, std::uint64_t nonce);

} // namespace nutmegtally
