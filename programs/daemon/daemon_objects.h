// Clients of the platform: the object API and the VM list, over HTTP with persistent connections.
#pragma once

#include "rpc/rpc_http.h"

#include <nutmegtally/objects.h>
#include <nutmegtally/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtally
{

/// Thread-safe. Calls block until their result or time limit, and throw only for values that are too long.
class object_client
{
public:
    /// @param address host:port of the object API.
    /// @param timeout Limit of each call; a watch adds it to its own waiting time.
    explicit object_client(const std::string &address, duration timeout = std::chrono::milliseconds(1000));

    object_reply read(const std::string &name);

    /// @param expectedVersion The object's version before the write; 0 to create it.
    /// @throws std::length_error if the value is longer than the object API allows.
    object_reply write(const std::string &name, const std::string &value, std::uint64_t expectedVersion);

    /// A missing object counts as removed.
    object_reply remove(const std::string &name, std::uint64_t expectedVersion);

    /// Waits up to @p wait for a version other than @p knownVersion. If the connection stays silent, the call ends in
    /// `unavailable` one call limit after @p wait, so that the caller can open a new connection.
    object_reply watch(const std::string &name, std::uint64_t knownVersion, duration wait);

    object_list list(const std::string &prefix);

    /// Aborts pending calls; later calls are `unavailable`.
    void close()
    {
        m_http.close();
    }

    byte_counts bytes() const
    {
        return m_http.bytes();
    }

private:
    http_call makeCall(std::string method, std::string path) const;

    http_pool m_http;
    duration m_timeout;
};

/// One entry of the VM list.
struct vm_entry {
    std::string name;
    std::string domain;
    std::string region;
    std::string role;
    std::string address;
    bool leaving = false;
};

struct vm_list_reply {
    bool available = false; // false if the list could not be read; then nothing is known about any VM
    bool changed = false; // false if the list is the same as at the previous read; then vms is empty
    std::uint64_t version = 0;
    std::vector<vm_entry> vms;
};

/// Client of the VM list. read() is called by one thread.
class vm_list_client
{
public:
    explicit vm_list_client(const std::string &address, duration timeout = std::chrono::milliseconds(1000));

    vm_list_reply read();

    void close()
    {
        m_http.close();
    }

    byte_counts bytes() const
    {
        return m_http.bytes();
    }

private:
    http_pool m_http;
    duration m_timeout;
    std::string m_etag;
};

} // namespace nutmegtally
