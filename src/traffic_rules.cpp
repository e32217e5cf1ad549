#include <nutmegtally/traffic_rules.h>

#include <algorithm>
#include <cctype>

namespace nutmegtally
{

namespace
{

std::string canonicalHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace

void traffic_rules::index()
{
    m_routeOf.clear();
    for (std::size_t i = 0; i < routes.size(); ++i) {
        m_routeOf[canonicalHost(routes[i].host) + '\n' + routes[i].pathPrefix] = i;
    }
}

const route_rule *traffic_rules::match(std::string_view host, std::string_view path) const
{
    std::string key = canonicalHost(host) + '\n';
    const std::size_t hostLength = key.size();
    key += path.substr(0, path.find_first_of("?#"));
    while (key.size() > hostLength) {
        const std::size_t slash = key.rfind('/');
        if (slash == std::string::npos || slash < hostLength) {
            return nullptr;
        }
        key.resize(slash + 1);
        const auto found = m_routeOf.find(key);
        if (found != m_routeOf.end()) {
            return &routes[found->second];
        }
        key.resize(slash);
    }
    return nullptr;
}

const account_rule *traffic_rules::accountFor(const std::string &key) const
{
    const auto found = accountOfKey.find(key);
    return found == accountOfKey.end() ? nullptr : &accounts[found->second];
}

const service_rule *traffic_rules::service(std::string_view name) const
{
    const auto found = std::find_if(services.begin(), services.end(), [name](const service_rule &rule) { return rule.name == name; });
    return found == services.end() ? nullptr : &*found;
}

} // namespace nutmegtally
