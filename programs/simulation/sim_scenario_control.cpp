// Scenario simulation "control": configuration and membership over fleet_simulation.
#include "daemon/daemon_fleet_simulation.h"
#include "simulation/sim_scenario_simulations.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace nutmegtally
{

namespace
{

constexpr double propagationIncomplete = -1; // value of longest_spread_ms while a change has not reached every node

class control_simulation : public scenario_simulation
{
public:
    explicit control_simulation(scenario_settings &settings)
        : m_nodes(static_cast<std::size_t>(settings.readNumber("nodes", 12)))
        , m_simulation(options(settings))
    {
        declareActions();
        declareMetrics();
    }

    void runTo(duration time) override
    {
        // The step bounds the error of the measured propagation time.
        constexpr duration step = std::chrono::milliseconds(50);
        while (m_simulation.now() < time) {
            m_simulation.runTo(std::min(time, m_simulation.now() + step));
            if (m_changedAt && m_simulation.allNodesHaveVersion(m_newestAcceptedVersion)) {
                m_longestPropagation = std::max(m_longestPropagation, m_simulation.now() - *m_changedAt);
                m_changedAt.reset();
            }
        }
    }

private:
    fleet_simulation_options options(scenario_settings &settings) const
    {
        fleet_simulation_options result;
        result.nodes = m_nodes;
        result.domains = static_cast<std::size_t>(settings.readNumber("domains", 4));
        result.regions = static_cast<std::size_t>(settings.readNumber("regions", 1));
        result.loss = settings.readNumber("loss", 0);
        result.seed = static_cast<std::uint64_t>(settings.readNumber("seed", 1));
        return result;
    }

    void declareActions()
    {
        m_actions = {
            {"change configuration", [this](const arguments &) { change(); }},
            {"two operators change configuration",
             [this](const arguments &) {
                 m_simulation.store.beforeWrite = [this](const std::string &) { change(); };
                 change();
             }},
            {"stop node NUMBER", [this](const arguments &words) { m_simulation.stopNode(node(words[0])); }},
            {"start node NUMBER", [this](const arguments &words) { m_simulation.startNode(node(words[0])); }},
            {"platform goes down", [this](const arguments &) { m_simulation.store.isDown = true; }},
            {"platform comes back", [this](const arguments &) { m_simulation.store.isDown = false; }},
            {"lose NUMBER answers",
             [this](const arguments &words) { m_simulation.store.answersToLose = static_cast<unsigned>(std::stoul(words[0])); }},
            {"watches go silent", [this](const arguments &) { m_simulation.areWatchesUnanswered = true; }},
            {"watches answer again", [this](const arguments &) { m_simulation.areWatchesUnanswered = false; }},
            {"regions split", [this](const arguments &) { m_simulation.areRegionsPartitioned = true; }},
            {"regions join", [this](const arguments &) { m_simulation.areRegionsPartitioned = false; }},
        };
    }

    void declareMetrics()
    {
        m_metrics = {
            {"accepted", false, [this](const auto &) { return static_cast<double>(m_acceptedChanges); }},
            {"refused", false, [this](const auto &) { return static_cast<double>(m_refusedChanges); }},
            {"everywhere", false, [this](const auto &) { return m_simulation.allNodesHaveVersion(m_newestAcceptedVersion) ? 1.0 : 0.0; }},
            {"longest_spread_ms", false,
             [this](const auto &) {
                 return m_changedAt ? propagationIncomplete : std::chrono::duration<double, std::milli>(m_longestPropagation).count();
             }},
            {"reverted", false, [this](const auto &) { return m_simulation.hasVersionRegressed ? 1.0 : 0.0; }},
            {"members_agree", false, [this](const auto &) { return m_simulation.membersAgree() ? 1.0 : 0.0; }},
        };
    }

    std::size_t node(const std::string &number) const
    {
        const std::size_t index = std::stoul(number);
        if (index >= m_nodes) {
            throw std::invalid_argument("no node " + number + "; they are numbered from 0");
        }
        return index;
    }

    void change()
    {
        const std::string name = "model-" + std::to_string(m_acceptedChanges + m_refusedChanges);
        const change_result result = m_simulation.change({{"models", {{name, nlohmann::json::object()}}}});
        if (result.status != change_status::accepted) {
            ++m_refusedChanges;
            return;
        }
        ++m_acceptedChanges;
        m_newestAcceptedVersion = std::max(m_newestAcceptedVersion, result.version);
        m_changedAt = m_simulation.now();
    }

    std::size_t m_nodes;
    fleet_simulation m_simulation;
    std::uint64_t m_acceptedChanges = 0;
    std::uint64_t m_refusedChanges = 0;
    std::uint64_t m_newestAcceptedVersion = 0; // of the configuration
    std::optional<duration> m_changedAt; // time of the newest change; reset when it has reached every node
    duration m_longestPropagation {0};
};

} // namespace

std::unique_ptr<scenario_simulation> makeControlSimulation(scenario_settings &settings)
{
    return std::make_unique<control_simulation>(settings);
}

} // namespace nutmegtally
