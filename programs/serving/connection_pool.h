// Pool of idle keep-alive connections to upstreams.
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
    /// Removes the most recently used idle connection to an upstream from the pool.
    /// @param upstream Key that has to identify the upstream, not only its address: an address may be reused by another upstream.
    /// @return nullptr if there is no open connection.
    upstream_connection::pointer acquire(const std::string &upstream, time_point now);

    /// Returns a connection to the pool for the next request.
    void release(const std::string &upstream, const upstream_connection::pointer &connection, time_point now);

    /// Closes all idle connections to an upstream.
    void closeIdle(const std::string &upstream);

    /// Closes connections that are about to reach the idle timeout of their upstream.
    void closeExpired(time_point now);

    std::size_t size() const;

private:
    struct entry {
        upstream_connection::pointer connection;
        time_point expiresAt; // before the upstream's idle timeout
    };

    using entries = std::vector<entry>;

    // Shared: callbacks of pooled connections hold a weak pointer, since they may outlive the pool.
    std::shared_ptr<std::unordered_map<std::string, entries>> m_idle = std::make_shared<std::unordered_map<std::string, entries>>();
};

} // namespace nutmegtally
