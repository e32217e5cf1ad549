#include <nutmegtally/ids.h>
#include <nutmegtally/router_rank.h>

#include <algorithm>

namespace nutmegtally
{

bool isAmongFirst(const std::string &self, const std::vector<std::string> &routers, std::uint64_t duty, std::size_t count)
{
    const std::uint64_t own = mixHash(hashText(self), duty);
    const auto ahead = std::count_if(routers.begin(), routers.end(), [&](const std::string &router) {
        const std::uint64_t other = mixHash(hashText(router), duty);
        return other < own || (other == own && router < self);
    });
    return static_cast<std::size_t>(ahead) < count;
}

} // namespace nutmegtally
