#include "entry/news_codec.h"

#include <nlohmann/json.hpp>

namespace nutmegtally
{

using nlohmann::json;

namespace
{

json promptsJson(const std::vector<prompt_notice> &prompts)
{
    json list = json::array();
    for (const prompt_notice &prompt : prompts) {
        list.push_back({prompt.upstream, prompt.parts});
    }
    return list;
}

std::vector<prompt_notice> promptsFrom(const json &list)
{
    std::vector<prompt_notice> prompts;
    for (const json &prompt : list) {
        prompts.push_back({prompt.at(0).get<std::uint64_t>(), prompt.at(1).get<std::vector<std::uint64_t>>()});
    }
    return prompts;
}

} // namespace

std::string encodeNews(const news_message &message)
{
    json routers = json::array();
    for (const router_notice &notice : message.routers) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(notice.age).count();
        routers.push_back({notice.name, notice.address, notice.loadAddress, age});
    }
    json digests = json::object();
    for (const kind_digest &digest : message.digests) {
        digests[digest.kind] = {digest.asOf, digest.hash};
    }
    json snapshots = json::object();
    for (const kind_snapshot &snapshot : message.snapshots) {
        json objects = json::array();
        for (const stored_object &object : snapshot.objects) {
            objects.push_back({object.name, object.revision, object.text});
        }
        snapshots[snapshot.kind] = {{"asOf", snapshot.asOf}, {"objects", std::move(objects)}};
    }
    json document = {{"name", message.name},
                     {"address", message.address},
                     {"loadAddress", message.loadAddress},
                     {"routers", std::move(routers)},
                     {"digests", std::move(digests)}};
    if (!snapshots.empty()) {
        document["snapshots"] = std::move(snapshots);
    }
    if (message.wantsPrompts) {
        document["wantsPrompts"] = true;
    }
    if (!message.prompts.empty()) {
        document["prompts"] = promptsJson(message.prompts);
    }
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

news_message decodeNews(const std::string &body)
{
    const json document = json::parse(body);
    news_message message;
    message.name = document.at("name").get<std::string>();
    message.address = document.at("address").get<std::string>();
    message.loadAddress = document.at("loadAddress").get<std::string>();
    for (const json &item : document.at("routers")) {
        const std::chrono::milliseconds age(item.at(3).get<std::int64_t>());
        message.routers.push_back({item.at(0).get<std::string>(), item.at(1).get<std::string>(), item.at(2).get<std::string>(), age});
    }
    for (const auto &[kind, digest] : document.at("digests").items()) {
        message.digests.push_back({kind, digest.at(0).get<store_revision>(), digest.at(1).get<std::uint64_t>()});
    }
    if (const auto snapshots = document.find("snapshots"); snapshots != document.end()) {
        for (const auto &[kind, item] : snapshots->items()) {
            kind_snapshot snapshot {kind, item.at("asOf").get<store_revision>(), {}};
            for (const json &object : item.at("objects")) {
                snapshot.objects.push_back(
                    {object.at(0).get<std::string>(), object.at(1).get<store_revision>(), object.at(2).get<std::string>(), false});
            }
            message.snapshots.push_back(std::move(snapshot));
        }
    }
    message.wantsPrompts = document.value("wantsPrompts", false);
    if (const auto prompts = document.find("prompts"); prompts != document.end()) {
        message.prompts = promptsFrom(*prompts);
    }
    return message;
}

std::string encodeDatagram(const router_datagram &datagram)
{
    json shares = json::array();
    for (const upstream_share &share : datagram.load.shares) {
        shares.push_back({share.upstream, share.inFlight, share.pendingTokens});
    }
    json digests = json::array();
    for (const kind_digest &digest : datagram.digests) {
        digests.push_back({digest.kind, digest.asOf, digest.hash});
    }
    std::string bytes;
    json::to_msgpack(json::array({datagram.load.router, std::move(shares), promptsJson(datagram.load.prompts), std::move(digests)}), bytes);
    return bytes;
}

router_datagram decodeDatagram(const char *data, std::size_t size)
{
    const json document = json::from_msgpack(data, data + size);
    router_datagram datagram;
    datagram.load.router = document.at(0).get<std::string>();
    for (const json &share : document.at(1)) {
        datagram.load.shares.push_back(
            {share.at(0).get<std::uint64_t>(), share.at(1).get<std::uint32_t>(), share.at(2).get<std::uint32_t>()});
    }
    datagram.load.prompts = promptsFrom(document.at(2));
    for (const json &digest : document.at(3)) {
        datagram.digests.push_back(
            {digest.at(0).get<std::string>(), digest.at(1).get<store_revision>(), digest.at(2).get<std::uint64_t>()});
    }
    return datagram;
}

} // namespace nutmegtally
