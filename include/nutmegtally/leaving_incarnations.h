// Incarnations of upstreams that announced that they leave. That is final, whatever is read later: a write from before the
// announcement may be executed after it, and an entry may come from an older copy.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>

namespace nutmegtally
{

class leaving_incarnations
{
public:
    /// @param incarnation As in upstream_record; ignored if it is 0, as a restart could not be told then.
    void insert(const std::string &instance, std::uint64_t incarnation);

    bool contains(const std::string &instance, std::uint64_t incarnation) const;

private:
    std::unordered_set<std::uint64_t> m_keys; // by hash of instance and incarnation
    std::deque<std::uint64_t> m_order; // the same keys, oldest first; at most limits::maxRemovals
};

} // namespace nutmegtally
