// Scenario language: text files that drive the real reducers in virtual time and state what must hold.
//
//     fleet serving engines 9 routers 4          # which driver, with its settings
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

/// A fault in a scenario file. what() is "NAME:LINE:COLUMN: message".
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

/// One line that acts or expects.
struct scenario_step {
    duration first {0};
    std::optional<duration> interval; // repeated if set
    std::optional<duration> until; // end of the repetition; the scenario's last `at` if not set
    std::vector<scenario_word> action; // empty for an expectation
    std::optional<scenario_expectation> expectation;
    std::string text; // the line, for reports
    source_position position;
};

struct scenario {
    std::string source; // file name
    scenario_word kind; // driver
    std::vector<scenario_setting> settings;
    std::vector<scenario_word> domains;
    std::vector<scenario_step> steps;
};

/// @throws scenario_error at the first place that does not follow the grammar.
scenario parseScenario(const std::string &text, const std::string &source);

/// A driver that scenarios run on. It declares what scenarios can do and measure.
class scenario_simulation
{
public:
    using arguments = std::vector<std::string>;

    /// @param pattern Words of the action; NAME, NUMBER and TIME stand for arguments.
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

    /// Runs all events up to the time.
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

/// Settings of a scenario as a driver takes them. Each one that is taken counts as known.
class scenario_settings
{
public:
    explicit scenario_settings(const scenario &scenario);

    double readNumber(const std::string &name, double fallback);
    duration readMilliseconds(const std::string &name, double fallback);

    /// @throws scenario_error for a setting that no driver took.
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

/// Drivers by the name that follows "fleet".
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
/// @throws scenario_error for an unknown driver, setting, domain, action or metric, before anything runs.
std::vector<expectation_result> runScenario(const scenario &scenario);

/// Arguments are numbers, names, or times in microseconds as decimal text.
duration timeArgument(const std::string &text);

} // namespace nutmegtally
