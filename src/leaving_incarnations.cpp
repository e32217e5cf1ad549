#include "limits.h"

#include <nutmegtally/ids.h>
#include <nutmegtally/leaving_incarnations.h>

namespace nutmegtally
{

namespace
{

std::uint64_t keyOf(const std::string &instance, std::uint64_t incarnation)
{
    return mixHash(hashText(instance), incarnation);
}

} // namespace

void leaving_incarnations::insert(const std::string &instance, std::uint64_t incarnation)
{
    if (incarnation == 0 || !m_keys.insert(keyOf(instance, incarnation)).second) {
        return;
    }
    m_order.push_back(keyOf(instance, incarnation));
    if (m_order.size() > limits::maxRemovals) {
        m_keys.erase(m_order.front());
        m_order.pop_front();
    }
}

bool leaving_incarnations::contains(const std::string &instance, std::uint64_t incarnation) const
{
    return incarnation != 0 && m_keys.contains(keyOf(instance, incarnation));
}

} // namespace nutmegtally
