#include "simulation/sim_scenario.h"

#include <tao/pegtl.hpp>

#include <cmath>
#include <string>

namespace nutmegtally
{

namespace
{

namespace pegtl = tao::pegtl;

// Grammar. A line is a declaration, a timed line, a comment or empty.
namespace grammar
{

struct comment : pegtl::seq<pegtl::one<'#'>, pegtl::until<pegtl::at<pegtl::eolf>>> {
};
struct space : pegtl::plus<pegtl::blank> {
};
struct name : pegtl::seq<pegtl::alpha, pegtl::star<pegtl::sor<pegtl::alnum, pegtl::one<'-', '_', '.'>>>> {
};
struct number : pegtl::seq<pegtl::opt<pegtl::one<'-'>>, pegtl::plus<pegtl::digit>, pegtl::opt<pegtl::one<'.'>, pegtl::plus<pegtl::digit>>> {
};
struct unit : pegtl::sor<pegtl::string<'m', 's'>, pegtl::string<'u', 's'>, pegtl::string<'m', 'i', 'n'>, pegtl::one<'s'>> {
};
struct time : pegtl::seq<number, unit, pegtl::not_at<pegtl::alnum>> {
};
template<char... Text>
struct keyword : pegtl::seq<pegtl::string<Text...>, pegtl::not_at<pegtl::sor<pegtl::alnum, pegtl::one<'-', '_', '.'>>>> {
};

struct kind : name {
};
struct setting_name : name {
};
struct setting_value : number {
};
struct setting : pegtl::seq<setting_name, pegtl::must<space, setting_value>> {
};
struct fleet_line : pegtl::if_must<keyword<'f', 'l', 'e', 'e', 't'>, space, kind, pegtl::star<space, setting>> {
};

struct domain : name {
};
struct domains_line : pegtl::if_must<keyword<'d', 'o', 'm', 'a', 'i', 'n', 's'>, pegtl::plus<space, domain>> {
};

struct first_time : time {
};
struct interval : time {
};
struct from_time : time {
};
struct until_time : time {
};

struct metric : name {
};
struct metric_argument : pegtl::sor<name, number> {
};
struct relation : pegtl::sor<pegtl::string<'!', '='>, pegtl::string<'<', '='>, pegtl::string<'>', '='>, pegtl::one<'=', '<', '>'>> {
};
struct expected_value : number {
};
struct argument_list : pegtl::if_must<pegtl::one<'('>, metric_argument, pegtl::one<')'>> {
};
struct expectation : pegtl::if_must<keyword<'e', 'x', 'p', 'e', 'c', 't'>, space, metric, pegtl::opt<argument_list>, space, relation, space,
                                    expected_value> {
};

struct word : pegtl::sor<time, number, name> {
};
struct action : pegtl::list<word, space> {
};
struct action_or_expectation : pegtl::sor<expectation, action> {
};

struct at_line : pegtl::if_must<keyword<'a', 't'>, space, first_time, space, action_or_expectation> {
};
struct from_clause : pegtl::if_must<keyword<'f', 'r', 'o', 'm'>, space, from_time, space> {
};
struct until_clause : pegtl::if_must<keyword<'u', 'n', 't', 'i', 'l'>, space, until_time, space> {
};
struct every_line : pegtl::if_must<keyword<'e', 'v', 'e', 'r', 'y'>, space, interval, space, pegtl::opt<from_clause>,
                                   pegtl::opt<until_clause>, action_or_expectation> {
};

struct timed_line : pegtl::sor<at_line, every_line> {
};
struct line : pegtl::seq<pegtl::star<pegtl::blank>, pegtl::opt<pegtl::sor<fleet_line, domains_line, timed_line>>, pegtl::star<pegtl::blank>,
                         pegtl::opt<comment>> {
};
struct file : pegtl::must<pegtl::list<line, pegtl::eol>, pegtl::eof> {
};

} // namespace grammar

/// Error messages of the rules that must match (pegtl::must).
template<typename Rule>
constexpr const char *expected = "syntax error";
template<>
constexpr const char *expected<grammar::space> = "expected a blank and another word";
template<>
constexpr const char *expected<grammar::kind> = "expected the name of a driver";
template<>
constexpr const char *expected<grammar::setting_value> = "expected the number of the setting";
template<>
constexpr const char *expected<grammar::first_time> = "expected a time such as 10s or 50ms";
template<>
constexpr const char *expected<grammar::interval> = "expected a time such as 10s or 50ms";
template<>
constexpr const char *expected<grammar::from_time> = "expected a time such as 10s or 50ms";
template<>
constexpr const char *expected<grammar::until_time> = "expected a time such as 10s or 50ms";
template<>
constexpr const char *expected<grammar::metric> = "expected the name of a metric";
template<>
constexpr const char *expected<grammar::metric_argument> = "expected a name or a number";
template<>
constexpr const char *expected<pegtl::one<')'>> = "expected ')'";
template<>
constexpr const char *expected<grammar::relation> = "expected one of = != < <= > >=";
template<>
constexpr const char *expected<grammar::expected_value> = "expected a number";
template<>
constexpr const char *expected<grammar::action_or_expectation> = "expected an action or 'expect'";
template<>
constexpr const char *expected<pegtl::eof> = "expected fleet, domains, at, every, a comment or the end of the line";

template<typename Rule>
struct control : pegtl::normal<Rule> {
    template<typename Input, typename... States>
    [[noreturn]] static void raise(const Input &in, States &&.../*states*/)
    {
        throw pegtl::parse_error(expected<Rule>, in);
    }
};

struct parse_state {
    scenario result;
    scenario_step step;
};

duration parseTime(const std::string &text)
{
    const std::size_t unit = text.find_first_not_of("-.0123456789");
    const std::string name = text.substr(unit);
    double factor = 1;
    if (name == "ms") {
        factor = 1e3;
    } else if (name == "s") {
        factor = 1e6;
    } else if (name == "min") {
        factor = 60e6;
    }
    return duration(std::llround(std::stod(text.substr(0, unit)) * factor));
}

template<typename Input>
scenario_word wordAt(const Input &in)
{
    return {in.string(), {in.position().line, in.position().column}};
}

comparison parseRelation(const std::string &text)
{
    constexpr std::array<const char *, static_cast<std::size_t>(comparison::count)> signs = {"=", "!=", "<", "<=", ">", ">="};
    for (std::size_t i = 0; i < signs.size(); ++i) {
        if (text == signs[i]) {
            return static_cast<comparison>(i);
        }
    }
    return comparison::equal;
}

template<typename Rule>
struct build : pegtl::nothing<Rule> {
};

template<>
struct build<grammar::kind> {
    template<typename Input>
    static void apply(const Input &in, parse_state &state)
    {
        state.result.kind = wordAt(in);
    }
};

template<>
struct build<grammar::setting_name> {
    template<typename Input>
    static void apply(const Input &in, parse_state &state)
    {
        state.result.settings.push_back({wordAt(in), 0});
    }
};

template<>
struct build<grammar::setting_value> {
    template<typename Input>
    static void apply(const Input &in, parse_state &state)
    {
        state.result.settings.back().value = std::stod(in.string());
    }
};

template<>
struct build<grammar::domain> {
    template<typename Input>
    static void apply(const Input &in, parse_state &state)
    {
        state.result.domains.push_back(wordAt(in));
    }
};

template<>
struct build<grammar::first_time> {
    template<typename Input>
    static void apply(const Input &in, parse_state &state)
    {
        state.step.first = parseTime(in.string());
    }
};

template<>
struct build<grammar::interval> {
    template<typename Input>
    static void apply(const Input &in, parse_state &state)
    {
        state.step.interval = parseTime(in.string());
        if (state.step.interval->count() <= 0) {
            throw pegtl::parse_error("the interval must be positive", in);
        }
        state.step.first = *state.step.interval;
    }
};

template<>
struct build<grammar::from_time> {
    template<typename Input>
    static void apply(const Input &in, parse_state &state)
    {
        state.step.first = parseTime(in.string());
    }
};

template<>
struct build<grammar::until_time> {
    template<typename Input>
    static void apply(const Input &in, parse_state &state)
    {
        state.step.until = parseTime(in.string());
    }
};

template<>
struct build<grammar::metric> {
    template<typename Input>
    static void apply(const Input &in, parse_state &state)
    {
        state.step.expectation.emplace();
        state.step.expectation->metric = wordAt(in);
    }
};

template<>
struct build<grammar::metric_argument> {
    template<typename Input>
    static void apply(const Input &in, parse_state &state)
    {
        state.step.expectation->argument = wordAt(in);
    }
};

template<>
struct build<grammar::relation> {
    template<typename Input>
    static void apply(const Input &in, parse_state &state)
    {
        state.step.expectation->relation = parseRelation(in.string());
    }
};

template<>
struct build<grammar::expected_value> {
    template<typename Input>
    static void apply(const Input &in, parse_state &state)
    {
        state.step.expectation->value = std::stod(in.string());
    }
};

template<>
struct build<grammar::word> {
    template<typename Input>
    static void apply(const Input &in, parse_state &state)
    {
        state.step.action.push_back(wordAt(in));
    }
};

template<>
struct build<grammar::timed_line> {
    template<typename Input>
    static void apply(const Input &in, parse_state &state)
    {
        state.step.text = in.string();
        state.step.position = {in.position().line, in.position().column};
        state.result.steps.push_back(std::exchange(state.step, {}));
    }
};

} // namespace

scenario_error::scenario_error(const std::string &source, source_position at, const std::string &message)
    : std::runtime_error(source + ':' + std::to_string(at.line) + ':' + std::to_string(at.column) + ": " + message)
    , m_position(at)
{
}

scenario parseScenario(const std::string &text, const std::string &source)
{
    parse_state state;
    state.result.source = source;
    pegtl::memory_input in(text, source);
    try {
        pegtl::parse<grammar::file, build, control>(in, state);
    } catch (const pegtl::parse_error &fault) {
        const pegtl::position &at = fault.positions().front();
        throw scenario_error(source, {at.line, at.column}, std::string(fault.message()));
    }
    if (state.result.kind.text.empty()) {
        throw scenario_error(source, {}, "a scenario starts with 'fleet DRIVER'");
    }
    return std::move(state.result);
}

duration timeArgument(const std::string &text)
{
    return parseTime(text);
}

} // namespace nutmegtally
