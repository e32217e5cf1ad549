// Scenario language: text files that run the production reducers in virtual time and check expectations.
//
//     fleet serving engines 9 routers 4          # the simulation and its settings
//     domains north-pl central-cp south-mb
//     every 50ms until 30s chat from account c3
//     at 10s close domain south-mb
//     at 20s expect new_work(south-mb) = 0
#pragma once

#include <nutmegtally/time.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace nutmegtally
{

struct source_position {
    std::size_t line = 1;
    std::size_t column = 1;
};

/// An error in a scenario file. what() is "NAME:LINE:COLUMN: message".
class scenario_error : public std::runtime_error
{
public:
    scenario_error(const std::string &source, source_position at, const std::string &message);

    source_position position() const
    {
        return m_position;
    }

private:
    source_position m_position;
};

struct scenario_word {
    std::string text;
    source_position position;
};

struct scenario_setting {
    scenario_word name;
    double value = 0;
};

enum class comparison : std::uint8_t {
    equal,
    notEqual,
    less,
    lessOrEqual,
    greater,
    greaterOrEqual,
    count
};

struct scenario_expectation {
    scenario_word metric;
    std::optional<scenario_word> argument;
    comparison relation = comparison::equal;
    double value = 0;
};

/// One line with an action or an expectation.
struct scenario_step {
    duration first {0};
    std::optional<duration> interval; // interval of the repetition; not repeated if not set
    std::optional<duration> until; // end of the repetition; the scenario's last `at` if not set
    std::vector<scenario_word> action; // empty for an expectation
    std::optional<scenario_expectation> expectation;
    std::string text; // source text of the line, for reports
    source_position position;
};

struct scenario {
    std::string source; // file name
    scenario_word kind; // name of the simulation, after "fleet"
    std::vector<scenario_setting> settings;
    std::vector<scenario_word> domains;
    std::vector<scenario_step> steps;
};

/// @throws scenario_error at the first syntax error.
scenario parseScenario(const std::string &text, const std::string &source);

/// A simulation that scenarios run on ("driver" in messages). It declares the available actions and metrics.
class scenario_simulation
{
public:
    using arguments = std::vector<std::string>;

    /// The pattern holds the words of the action; NAME, NUMBER and TIME are placeholders of arguments.
    struct action {
        std::string pattern;
        std::function<void(const arguments &)> run;
    };

    struct metric {
        std::string name;
        bool takesArgument = false;
        std::function<double(const std::string &argument)> read;
    };

    virtual ~scenario_simulation() = default;

    /// Advances virtual time to @p time and runs all events up to it.
    virtual void runTo(duration time) = 0;

    const std::vector<action> &actions() const
    {
        return m_actions;
    }

    const std::vector<metric> &metrics() const
    {
        return m_metrics;
    }

protected:
    std::vector<action> m_actions;
    std::vector<metric> m_metrics;
};

/// Settings of a scenario. Each name that a simulation reads is recorded as a known setting.
class scenario_settings
{
public:
    explicit scenario_settings(const scenario &scenario);

    double readNumber(const std::string &name, double fallback);
    duration readMilliseconds(const std::string &name, double fallback);

    /// @throws scenario_error for a setting that the simulation did not read.
    void checkForUnknownSettings() const;

    /// @return Index of the domain. @throws std::invalid_argument for a name that the scenario does not declare.
    unsigned domainIndex(const std::string &name) const;

    const std::vector<scenario_word> &domains() const
    {
        return m_scenario.domains;
    }

private:
    const scenario &m_scenario;
    std::vector<std::string> m_knownNames;
};

/// Factory of a simulation, by the name that follows "fleet" in a scenario.
struct scenario_simulation_entry {
    std::string name;
    std::unique_ptr<scenario_simulation> (*make)(scenario_settings &settings);
};

const std::vector<scenario_simulation_entry> &scenarioSimulations();

struct expectation_result {
    std::string text;
    source_position position;
    duration at {0};
    double measured = 0;
    bool holds = false;
};

/// Runs a scenario.
/// @throws scenario_error for an unknown simulation, setting, domain, action or metric; before the run where possible.
std::vector<expectation_result> runScenario(const scenario &scenario);

/// Parses a TIME argument such as "50ms" or "2min".
duration timeArgument(const std::string &text);

} // namespace nutmegtally
