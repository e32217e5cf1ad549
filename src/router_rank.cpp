#include <nutmegtally/ids.h>
#include <nutmegtally/router_rank.h>

#include <algorithm>
#include <iterator>

namespace nutmegtally
{

std::size_t rankAmong(std::uint64_t self, const std::vector<std::uint64_t> &routers, std::uint64_t duty)
{
    const std::uint64_t own = mixHash(self, duty);
    const auto ahead = std::count_if(routers.begin(), routers.end(), [&](std::uint64_t router) { return mixHash(router, duty) < own; });
    return static_cast<std::size_t>(ahead);
}

bool isAmongFirst(std::uint64_t self, const std::vector<std::uint64_t> &routers, std::uint64_t duty, std::size_t count)
{
    return rankAmong(self, routers, duty) < count;
}

std::vector<std::uint64_t> hashesOf(const std::vector<std::string> &names)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(names.size());
    std::transform(names.begin(), names.end(), std::back_inserter(hashes), [](const std::string &name) { return hashText(name); });
    return hashes;
}

} // namespace nutmegtally
