// Messages between routers: JSON bodies of POST calls to routersPath.
#pragma once

#include <nutmegtally/load_notice.h>
#include <nutmegtally/object_follower.h>
#include <nutmegtally/router_news.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtally
{

inline constexpr std::string_view routersPath = "/routers/v1/news";

/// What a router has of one kind of object.
struct kind_digest {
    std::string kind;
    store_revision asOf = 0;
    std::uint64_t hash = 0; // object_follower::contentHash
};

/// All objects of a kind.
struct kind_snapshot {
    std::string kind;
    store_revision asOf = 0;
    std::vector<stored_object> objects;
};

/// What routers send each other several times a second.
struct router_datagram {
    load_notice load;
    std::vector<kind_digest> digests; // a router whose own are older for long does not hear the platform
};

std::string encodeDatagram(const router_datagram &datagram);

/// @throws std::exception with a reason if the bytes are not a datagram of a router.
router_datagram decodeDatagram(const char *data, std::size_t size);

/// Question and answer have the same form; only an answer has snapshots.
struct news_message {
    std::string name;
    std::string address;
    std::string loadAddress;
    std::vector<router_notice> routers;
    std::vector<kind_digest> digests;
    std::vector<kind_snapshot> snapshots; // of kinds of which the asker has older objects
    bool wantsPrompts = false; // questions of a router that has just started
    std::vector<prompt_notice> prompts; // where prompts are cached, if the asker wants to know
};

std::string encodeNews(const news_message &message);

/// @throws std::exception with a reason if the body is not a message.
news_message decodeNews(const std::string &body);

} // namespace nutmegtally
