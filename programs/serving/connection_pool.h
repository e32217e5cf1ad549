// Open connections to upstreams that wait for their next request.
#pragma once

#include "serving/upstream_connection.h"

#include <nutmegtally/time.h>

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegtally
{

class connection_pool
{
public:
    /// Takes the connection to an upstream that was used last.
    /// @param upstream Instance and address together: an address may pass to another upstream.
    /// @return nullptr if none is open.
    upstream_connection::pointer acquire(const std::string &upstream, time_point now);

    /// Keeps a connection for the next request.
    void release(const std::string &upstream, const upstream_connection::pointer &connection, time_point now);

    /// Closes the idle connections to an upstream.
    void closeIdle(const std::string &upstream);

    /// Closes connections before their upstreams would.
    void closeExpired(time_point now);

    std::size_t size() const;

private:
    struct entry {
        upstream_connection::pointer connection;
        time_point expiresAt;
    };

    using entries = std::vector<entry>;

    std::shared_ptr<std::unordered_map<std::string, entries>> m_idle = std::make_shared<std::unordered_map<std::string, entries>>();
};

} // namespace nutmegtally
