#include "simulation/sim_scenario.h"

#include <algorithm>
#include <cctype>
#include <queue>
#include <sstream>

namespace nutmegtally
{

namespace
{

bool isTime(const std::string &word)
{
    return std::isdigit(static_cast<unsigned char>(word.front())) != 0 && std::isalpha(static_cast<unsigned char>(word.back())) != 0;
}

bool isNumber(const std::string &word)
{
    return word.find_first_not_of("-.0123456789") == std::string::npos;
}

bool isName(const std::string &word)
{
    return std::isalpha(static_cast<unsigned char>(word.front())) != 0;
}

/// @return Whether the words match the pattern. On a match, @p arguments holds the words at its placeholders.
bool matches(const std::string &pattern, const std::vector<scenario_word> &words, scenario_simulation::arguments &arguments)
{
    arguments.clear();
    std::istringstream in(pattern);
    std::string part;
    std::size_t i = 0;
    for (; in >> part; ++i) {
        if (i == words.size()) {
            return false;
        }
        const std::string &word = words[i].text;
        const bool isArgument
            = (part == "NAME" && isName(word)) || (part == "NUMBER" && isNumber(word)) || (part == "TIME" && isTime(word));
        if (isArgument) {
            arguments.push_back(word);
        } else if (part != word) {
            return false;
        }
    }
    return i == words.size();
}

bool compare(double measured, comparison relation, double expected)
{
    switch (relation) {
    case comparison::equal:
        return measured == expected;
    case comparison::notEqual:
        return measured != expected;
    case comparison::less:
        return measured < expected;
    case comparison::lessOrEqual:
        return measured <= expected;
    case comparison::greater:
        return measured > expected;
    case comparison::greaterOrEqual:
        return measured >= expected;
    case comparison::count:
        break;
    }
    return false;
}

/// A step with the action or metric of the simulation that it refers to.
struct bound_step {
    const scenario_step *step = nullptr;
    std::function<void()> runAction;
    std::function<double()> readMetric;
};

class runner
{
public:
    explicit runner(const scenario &source)
        : m_scenario(source)
    {
    }

    std::vector<expectation_result> run()
    {
        scenario_settings settings(m_scenario);
        const std::unique_ptr<scenario_simulation> simulation = makeSimulation(settings);
        settings.checkForUnknownSettings();
        for (const scenario_step &step : m_scenario.steps) {
            m_bound.push_back(bind(*simulation, step));
        }
        duration last {0};
        for (const scenario_step &step : m_scenario.steps) {
            last = std::max({last, step.first, step.until.value_or(duration(0))});
        }
        for (std::size_t i = 0; i < m_bound.size(); ++i) {
            m_queue.push({m_scenario.steps[i].first, i});
        }
        while (!m_queue.empty()) {
            const scheduled_step next = m_queue.top();
            m_queue.pop();
            const scenario_step &step = m_scenario.steps[next.index];
            if (next.time > step.until.value_or(last)) {
                continue;
            }
            simulation->runTo(next.time);
            executeStep(m_bound[next.index], next.time);
            if (step.interval) {
                m_queue.push({next.time + *step.interval, next.index});
            }
        }
        return std::move(m_results);
    }

private:
    struct scheduled_step {
        duration time;
        std::size_t index;

        /// Orders by time, then by line, with the earliest on top of the priority queue.
        bool operator<(const scheduled_step &other) const
        {
            return time != other.time ? time > other.time : index > other.index;
        }
    };

    [[noreturn]] void fail(const scenario_word &at, const std::string &message) const
    {
        throw scenario_error(m_scenario.source, at.position, message);
    }

    std::unique_ptr<scenario_simulation> makeSimulation(scenario_settings &settings) const
    {
        std::string known;
        for (const scenario_simulation_entry &entry : scenarioSimulations()) {
            if (entry.name == m_scenario.kind.text) {
                return entry.make(settings);
            }
            known += ' ' + entry.name;
        }
        fail(m_scenario.kind, "unknown driver '" + m_scenario.kind.text + "'; use one of" + known);
    }

    bound_step bind(const scenario_simulation &simulation, const scenario_step &step) const
    {
        return step.expectation ? bindExpectation(simulation, step) : bindAction(simulation, step);
    }

    bound_step bindAction(const scenario_simulation &simulation, const scenario_step &step) const
    {
        scenario_simulation::arguments arguments;
        std::string known;
        for (const scenario_simulation::action &action : simulation.actions()) {
            if (matches(action.pattern, step.action, arguments)) {
                return {&step, [run = action.run, arguments] { run(arguments); }, {}};
            }
            known += "\n  " + action.pattern;
        }
        fail(step.action.front(), "no such action; this driver has" + known);
    }

    bound_step bindExpectation(const scenario_simulation &simulation, const scenario_step &step) const
    {
        const scenario_expectation &expectation = *step.expectation;
        std::string known;
        for (const scenario_simulation::metric &metric : simulation.metrics()) {
            known += ' ' + metric.name;
            if (metric.name != expectation.metric.text) {
                continue;
            }
            if (metric.takesArgument != expectation.argument.has_value()) {
                fail(expectation.metric, metric.name + (metric.takesArgument ? " needs an argument" : " takes no argument"));
            }
            const std::string argument = expectation.argument ? expectation.argument->text : std::string();
            if (metric.takesArgument) {
                checkArgument(metric, *expectation.argument);
            }
            return {&step, {}, [read = metric.read, argument] { return read(argument); }};
        }
        fail(expectation.metric, "unknown metric '" + expectation.metric.text + "'; this driver has" + known);
    }

    /// Reads the metric once before the run, so that an unknown domain is reported with its position in the file.
    void checkArgument(const scenario_simulation::metric &metric, const scenario_word &argument) const
    {
        try {
            metric.read(argument.text);
        } catch (const std::invalid_argument &fault) {
            fail(argument, fault.what());
        }
    }

    void executeStep(const bound_step &bound, duration now)
    {
        if (bound.runAction) {
            try {
                bound.runAction();
            } catch (const std::invalid_argument &fault) {
                throw scenario_error(m_scenario.source, bound.step->position, fault.what());
            }
            return;
        }
        const double measured = bound.readMetric();
        const scenario_expectation &expectation = *bound.step->expectation;
        m_results.push_back(
            {bound.step->text, bound.step->position, now, measured, compare(measured, expectation.relation, expectation.value)});
    }

    const scenario &m_scenario;
    std::vector<bound_step> m_bound;
    std::priority_queue<scheduled_step> m_queue;
    std::vector<expectation_result> m_results;
};

} // namespace

scenario_settings::scenario_settings(const scenario &scenario)
    : m_scenario(scenario)
{
}

double scenario_settings::readNumber(const std::string &name, double fallback)
{
    m_knownNames.push_back(name);
    for (const scenario_setting &setting : m_scenario.settings) {
        if (setting.name.text == name) {
            return setting.value;
        }
    }
    return fallback;
}

duration scenario_settings::readMilliseconds(const std::string &name, double fallback)
{
    return duration(static_cast<duration::rep>(readNumber(name, fallback) * 1000));
}

void scenario_settings::checkForUnknownSettings() const
{
    for (const scenario_setting &setting : m_scenario.settings) {
        if (std::find(m_knownNames.begin(), m_knownNames.end(), setting.name.text) == m_knownNames.end()) {
            std::string known;
            for (const std::string &name : m_knownNames) {
                known += ' ' + name;
            }
            throw scenario_error(m_scenario.source, setting.name.position,
                                 "unknown setting '" + setting.name.text + "'; this driver has" + known);
        }
    }
}

unsigned scenario_settings::domainIndex(const std::string &name) const
{
    for (std::size_t i = 0; i < m_scenario.domains.size(); ++i) {
        if (m_scenario.domains[i].text == name) {
            return static_cast<unsigned>(i);
        }
    }
    throw std::invalid_argument("no domain '" + name + "'; declare it with 'domains'");
}

std::vector<expectation_result> runScenario(const scenario &scenario)
{
    return runner(scenario).run();
}

} // namespace nutmegtally
