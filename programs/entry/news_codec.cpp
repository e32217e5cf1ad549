#include "entry/news_codec.h"

#include <nlohmann/json.hpp>

namespace nutmegtally
{

using nlohmann::json;

std::string encodeNews(const news_message &message)
{
    json routers = json::array();
    for (const router_notice &notice : message.routers) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(notice.age).count();
        routers.push_back({notice.name, notice.address, age});
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
    json document
        = {{"name", message.name}, {"address", message.address}, {"routers", std::move(routers)}, {"digests", std::move(digests)}};
    if (!snapshots.empty()) {
        document["snapshots"] = std::move(snapshots);
    }
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

news_message decodeNews(const std::string &body)
{
    const json document = json::parse(body);
    news_message message;
    message.name = document.at("name").get<std::string>();
    message.address = document.at("address").get<std::string>();
    for (const json &item : document.at("routers")) {
        const std::chrono::milliseconds age(item.at(2).get<std::int64_t>());
        message.routers.push_back({item.at(0).get<std::string>(), item.at(1).get<std::string>(), age});
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
    return message;
}

} // namespace nutmegtally
