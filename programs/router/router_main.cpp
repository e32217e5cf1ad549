// Entry point of nutmegtally-router. Each entry VM runs one router process.
#include "daemon/daemon_main.h"
#include "router/router_daemon.h"

namespace
{

using namespace nutmegtally;

class router_process : public running_daemon
{
public:
    explicit router_process(const router_settings &settings)
        : m_limit(settings.shutdownLimit)
        , m_daemon(settings, makeFleetSource(settings.platform, settings.member, settings.innerKeys, settings.upstreams))
    {
    }

    bool shutDown() override
    {
        return m_daemon.drain(m_limit);
    }

private:
    duration m_limit;
    router_daemon m_daemon;
};

} // namespace

int main(int argc, char **argv)
{
    daemon_program program;
    program.name = "nutmegtally-router";
    program.summary = "Accepts callers, chooses an upstream and streams the answer back";
    program.schema = &routerSchema();
    program.check = [](const nlohmann::json &document) {
        const router_settings settings = readRouterSettings(document);
        if (!settings.platform.configurationFile.empty()) {
            readFleetConfig(settings.platform.configurationFile);
        }
        message_authenticator authenticator(settings.innerKeys);
    };
    program.start = [](const nlohmann::json &document) { return std::make_unique<router_process>(readRouterSettings(document)); };
    return runDaemon(program, argc, argv);
}
