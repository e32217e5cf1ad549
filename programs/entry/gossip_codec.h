// Codec of the messages between routers: JSON messages and snapshots of a sync (POST to gossipPath), MessagePack datagrams of
// heartbeats.
#pragma once

#include <nutmegtally/load_update.h>
#include <nutmegtally/object_follower.h>
#include <nutmegtally/prompt_quarantine.h>
#include <nutmegtally/request_limits.h>
#include <nutmegtally/router_gossip.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace nutmegtally
{

inline constexpr std::string_view gossipPath = "/routers/v1/news";

/// Path at which operators list quarantined prompt parts, and release them.
inline constexpr std::string_view quarantinePath = "/routers/v1/quarantine";

/// Version of the objects of one kind that a router has.
struct kind_digest {
    std::string kind;
    store_revision asOf;
    std::uint64_t hash = 0; // object_follower::contentHash
    bool keepsLost = false; // object_follower::keepsLost
};

/// Objects of one kind, in the answer to a sync.
struct kind_snapshot {
    std::string kind;
    object_snapshot state;
};

/// Datagram that routers send each other several times a second.
struct router_heartbeat {
    std::string name; // of the sender
    bool isLeader = false;
    bool isApiReachable = true; // the object API answers the sender
    std::uint32_t routersCovered = 0; // number of routers whose load a leader has
    duration interval {0}; // time between two heartbeats of the sender
    load_update load;
    std::vector<kind_digest> digests; // a receiver whose own state stays older does not get changes from the object API
    std::vector<router_liveness> recentRouters; // live routers; not in every heartbeat
    std::vector<part_evidence> evidence; // on prompt parts that crash engines, from all routers
    std::vector<limit_statement> limits; // that upstreams stated to any router
    std::optional<duration> sinceApiAnswer; // since the object API last answered a call of the sender; nothing if it never did
    std::uint64_t counter = 0; // heartbeat counter of the sender
};

/// Encodes a heartbeat. Counts above 16 bits are clamped, and pending prefill tokens are rounded up to a multiple of 64.
std::string encodeHeartbeat(const router_heartbeat &heartbeat);

/// Datagram by which a router asks for a permit, or answers that.
struct permit_message {
    std::string name; // of the sender
    std::variant<permit_request, permit_answer> content;
};

std::string encodePermitMessage(const permit_message &message);

/// Decodes what encodeHeartbeat() or encodePermitMessage() made.
/// @throws std::exception with a reason if the bytes are neither.
std::variant<router_heartbeat, permit_message> decodeDatagram(const char *data, std::size_t size);

/// Request of a sync, and first part of its answer.
struct gossip_message {
    std::string name; // of the sender
    std::string address; // address of its HTTP listener for other routers
    std::string loadAddress; // address of its UDP socket for heartbeats
    std::string domain; // its failure domain
    std::vector<peer_info> routers; // other routers that it knows
    std::vector<kind_digest> digests;
    bool wantsPrompts = false; // set in requests of a router that has just started
    std::vector<prompt_location> prompts {}; // in answers, if the request set wantsPrompts
    std::uint64_t counter = 0; // heartbeat counter of the sender
};

std::string encodeGossipMessage(const gossip_message &message);

/// @throws std::exception with a reason if the body is not a message.
gossip_message decodeGossipMessage(const std::string &body);

/// A JSON list of parts with their standing, crashes and the time that is left, for operators.
std::string encodeQuarantine(const std::vector<part_verdict> &verdicts);

std::string encodeSnapshot(const kind_snapshot &snapshot);

/// @throws std::exception with a reason if the text is not a snapshot.
kind_snapshot decodeSnapshot(const std::string &text);

/// Joins the parts of a sync answer, each with its length in front: the message, then a snapshot of each kind of which the requester
/// has an older state. Parts are compressed separately so that a compressed snapshot can be reused for many routers.
std::string joinMessageParts(const std::vector<std::string> &parts);

/// Splits a body that joinMessageParts() made.
/// @throws std::exception with a reason if a part is truncated.
std::vector<std::string> splitMessageParts(std::string_view body);

} // namespace nutmegtally
