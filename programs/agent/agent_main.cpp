// Entry point of nutmegtally-agent. Each upstream has one agent process.
#include "agent/agent_daemon.h"
#include "daemon/daemon_main.h"

namespace
{

using namespace nutmegtally;

class agent_process : public running_daemon
{
public:
    explicit agent_process(const agent_settings &settings)
        : m_limit(settings.shutdownLimit)
        , m_daemon(settings, makeFleetSource(settings.platform, settings.member, settings.innerKeys, std::vector<upstream_info> {}))
    {
    }

    bool shutDown() override
    {
        return m_daemon.drain(m_limit);
    }

private:
    duration m_limit;
    agent_daemon m_daemon;
};

} // namespace

int main(int argc, char **argv)
{
    daemon_program program;
    program.name = "nutmegtally-agent";
    program.summary = "Admits, runs and streams back the work of one upstream";
    program.schema = &agentSchema();
    program.check = [](const nlohmann::json &document) {
        const agent_settings settings = readAgentSettings(document);
        if (!settings.platform.configurationFile.empty()) {
            readFleetConfig(settings.platform.configurationFile);
        }
        message_authenticator authenticator(settings.innerKeys);
    };
    program.start = [](const nlohmann::json &document) { return std::make_unique<agent_process>(readAgentSettings(document)); };
    return runDaemon(program, argc, argv);
}
