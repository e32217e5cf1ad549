// Messages between routers: JSON bodies of POST calls to gossipPath.
#pragma once

#include <nutmegtally/load_update.h>
#include <nutmegtally/object_follower.h>
#include <nutmegtally/router_gossip.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtally
{

inline constexpr std::string_view gossipPath = "/routers/v1/news";

/// What a router has of one kind of object.
struct kind_digest {
    std::string kind;
    store_revision asOf = 0;
    std::uint64_t hash = 0; // object_follower::contentHash
};

/// Objects of a kind.
struct kind_snapshot {
    std::string kind;
    object_snapshot state;
};

/// What routers send each other several times a second.
struct router_heartbeat {
    std::string name; // of the sender
    bool isLeader = false;
    bool isApiReachable = true; // the platform answers the sender
    std::uint32_t routersCovered = 0; // a lead's: routers whose load it has
    duration interval {0}; // between two of the sender's datagrams
    load_update load;
    std::vector<kind_digest> digests; // a router whose own are older for long does not hear the platform
    std::vector<std::uint32_t> recentRouters; // routers that the sender heard of lately; not in each datagram
};

std::string encodeHeartbeat(const router_heartbeat &heartbeat);

/// @throws std::exception with a reason if the bytes are not a datagram of a router.
router_heartbeat decodeHeartbeat(const char *data, std::size_t size);

/// Question and answer have the same form.
struct gossip_message {
    std::string name;
    std::string address;
    std::string loadAddress;
    std::string domain;
    std::vector<peer_info> routers;
    std::vector<kind_digest> digests;
    bool wantsPrompts = false; // questions of a router that has just started
    std::vector<prompt_location> prompts; // where prompts are cached, if the asker wants to know
};

std::string encodeGossipMessage(const gossip_message &message);

/// @throws std::exception with a reason if the body is not a message.
gossip_message decodeGossipMessage(const std::string &body);

std::string encodeSnapshot(const kind_snapshot &snapshot);

/// @throws std::exception with a reason if the text is not a snapshot.
kind_snapshot decodeSnapshot(const std::string &text);

/// A body of several parts. An answer has the message, then snapshots of the kinds of which the asker has older objects; these are
/// packed once for all routers that ask.
std::string joinMessageParts(const std::vector<std::string> &parts);

/// @throws std::exception with a reason if the body was not made by joinMessageParts().
std::vector<std::string> splitMessageParts(std::string_view body);

} // namespace nutmegtally
