// Scenario driver "serving": routers and agents over sim_fleet.
#include "simulation/sim_fleet.h"
#include "simulation/sim_scenario_worlds.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <unordered_map>
#include <unordered_set>

namespace nutmegtally
{

namespace
{

constexpr duration leavingGrace = std::chrono::seconds(3); // P7
constexpr duration recentWork = std::chrono::seconds(1); // what new_work() looks back
constexpr std::uint32_t engineWarmLimit = 64;
constexpr duration sampleInterval = std::chrono::milliseconds(100);
constexpr unsigned samplesPerAverage = 100; // 10 s, as in the policy benchmark: single requests are no load

/// A returning chat. Each turn's prompt holds the whole history.
struct chat_state {
    chat_id chat;
    std::uint32_t tokens = 0; // history
    unsigned turns = 0;
    std::string token; // routing token of the last answer
};

struct account_state {
    std::vector<chat_state> idle; // oldest first
    unsigned chats = 0; // made so far
    unsigned open = 0; // idle or waiting for an answer
    std::uint64_t answered = 0;
    std::vector<double> firstTokenMs;
};

class serving_world : public scenario_world
{
public:
    explicit serving_world(scenario_settings &settings)
        : m_settings(settings)
        , m_prompt(static_cast<std::uint32_t>(settings.take("prompt", 400)))
        , m_turn(static_cast<std::uint32_t>(settings.take("turn", 100)))
        , m_answer(static_cast<std::uint32_t>(settings.take("answer", 40)))
        , m_chats(static_cast<unsigned>(settings.take("chats", 20)))
        , m_turns(static_cast<unsigned>(settings.take("turns", 10)))
        , m_domains(std::max<unsigned>(1, static_cast<unsigned>(settings.domains().size())))
        , m_fleet(options(settings))
        , m_leftAt(m_fleet.engineCount())
    {
        declareActions();
        declareOutcomes();
        declareInvariants();
        m_fleet.queue().after(sampleInterval, [this] { sampleLoads(); });
    }

    void runTo(duration time) override
    {
        m_fleet.queue().runUntil(time_point(time));
    }

private:
    sim_fleet_options options(scenario_settings &settings)
    {
        auto config = std::make_shared<fleet_config>();
        const model_id model = model_id::fromName("model");
        config->version = 1;
        config->models[model].name = "model";
        class_config chats;
        chats.name = "chats";
        chats.model = model;
        chats.target.firstToken = settings.takeMilliseconds("first_token_ms", 2000);
        config->classes[class_id::fromName(chats.name)] = chats;
        sim_fleet_options result;
        result.seed = static_cast<std::uint64_t>(settings.take("seed", 1));
        result.engines = static_cast<unsigned>(settings.take("engines", 9));
        result.routers = static_cast<unsigned>(settings.take("routers", 4));
        result.domains = m_domains;
        result.loss = settings.take("loss", 0);
        result.viewDelay = settings.takeMilliseconds("view_delay_ms", 2500);
        result.admission.loadFloor = static_cast<std::uint32_t>(settings.take("load_floor", result.admission.loadFloor));
        result.engine.coldTime = settings.takeMilliseconds("cold_time_ms", 20000);
        result.engine.warmLimit = engineWarmLimit;
        result.config = config;
        result.workStarted = [this](unsigned engine, request_id request) { workStarted(engine, request); };
        return result;
    }

    void declareActions()
    {
        m_actions = {
            {"chat from account NAME", [this](const arguments &words) { ask(words[0]); }},
            {"NUMBER chats from account NAME",
             [this](const arguments &words) {
                 for (int i = std::stoi(words[0]); i > 0; --i) {
                     ask(words[1]);
                 }
             }},
            {"close domain NAME", [this](const arguments &words) { m_fleet.setDomainOpen(m_settings.domainIndex(words[0]), false); }},
            {"open domain NAME", [this](const arguments &words) { m_fleet.setDomainOpen(m_settings.domainIndex(words[0]), true); }},
            {"restart engine NUMBER for TIME",
             [this](const arguments &words) { m_fleet.restartEngine(engine(words[0]), timeArgument(words[1])); }},
            {"restart vm NUMBER for TIME", [this](const arguments &words) { m_fleet.restartVm(engine(words[0]), timeArgument(words[1])); }},
            {"drain vm NUMBER for TIME",
             [this](const arguments &words) {
                 const unsigned index = engine(words[0]);
                 m_leftAt[index] = m_fleet.queue().now();
                 m_fleet.drainVm(index, timeArgument(words[1]));
             }},
            {"cool engine NUMBER", [this](const arguments &words) { m_fleet.returnToColdStart(engine(words[0])); }},
            {"lose NUMBER percent of attempts", [this](const arguments &words) { m_fleet.setLoss(std::stod(words[0]) / 100); }},
        };
    }

    void declareOutcomes()
    {
        const auto number = [](const auto &value) { return [&value](const std::string &) { return static_cast<double>(value); }; };
        m_metrics = {
            {"offered", false, number(m_offered)},
            {"answered", false, number(m_answered)},
            {"refused", false, number(m_refused)},
            {"failed", false, number(m_failed)},
            {"unanswered", false, [this](const auto &) { return static_cast<double>(m_offered - m_answered - m_refused - m_failed); }},
            {"answered_share", false,
             [this](const auto &) { return m_offered == 0 ? 1 : static_cast<double>(m_answered) / static_cast<double>(m_offered); }},
            {"reuse", false, [this](const auto &) { return m_reusable == 0 ? 1 : m_reused / m_reusable; }},
            {"ended_as", true, [this](const auto &code) { return static_cast<double>(m_codes[code]); }},
            {"answered_of", true, [this](const auto &name) { return static_cast<double>(m_accounts[name].answered); }},
            {"first_token_p95_ms", true, [this](const auto &name) { return percentile95(m_accounts[name].firstTokenMs); }},
        };
    }

    void declareInvariants()
    {
        const auto counter = [this](auto member) {
            return [this, member](const std::string &) { return static_cast<double>(m_fleet.counters().*member); };
        };
        const std::vector<metric> invariants = {
            {"load_over_mean", false, [this](const auto &) { return m_loadOverMean; }},
            {"window_violations", false, counter(&sim_counters::windowViolations)},
            {"cold_failures", false, counter(&sim_counters::coldFailures)},
            {"closed_starts", false, counter(&sim_counters::closedStarts)},
            {"new_work", true, [this](const auto &name) { return newWork(m_settings.domainIndex(name)); }},
            {"leaving_starts", false, [this](const auto &) { return static_cast<double>(m_leavingStarts); }},
            {"false_not_run", false, [this](const auto &) { return static_cast<double>(m_falseNotRun); }},
        };
        m_metrics.insert(m_metrics.end(), invariants.begin(), invariants.end());
    }

    unsigned engine(const std::string &number) const
    {
        const auto index = static_cast<unsigned>(std::stoul(number));
        if (index >= m_fleet.engineCount()) {
            throw std::invalid_argument("no engine " + number + "; they are numbered from 0");
        }
        return index;
    }

    chat_state takeChat(const std::string &accountName, account_state &account) const
    {
        if (account.idle.empty() || account.open < m_chats) {
            ++account.open;
            chat_state fresh;
            fresh.chat = chat_id::fromName(accountName + '/' + std::to_string(++account.chats));
            return fresh;
        }
        chat_state chat = std::move(account.idle.front());
        account.idle.erase(account.idle.begin());
        return chat;
    }

    void ask(const std::string &accountName)
    {
        account_state &account = m_accounts[accountName];
        chat_state chat = takeChat(accountName, account);
        const std::uint32_t history = chat.tokens;
        request_info info;
        info.workClass = class_id::fromName("chats");
        info.account = account_id::fromName(accountName);
        info.chat = chat.chat;
        info.model = model_id::fromName("model");
        info.promptTokens = history == 0 ? m_prompt : history + m_turn;
        info.expectedTokens = m_answer;
        info.token = chat.token;
        info.deadline = m_fleet.queue().now() + std::chrono::seconds(60);
        ++m_offered;
        chat.tokens = info.promptTokens + m_answer;
        const auto request = std::make_shared<request_id>();
        *request = m_fleet.submit(std::move(info), m_answer, [=, this](const sim_outcome &outcome) {
            finish(m_accounts[accountName], chat, history, *request, outcome);
        });
    }

    void finish(account_state &account, chat_state chat, std::uint32_t history, request_id request, const sim_outcome &outcome)
    {
        const bool hasRun = m_started.erase(request) > 0;
        if (outcome.ok) {
            ++m_answered;
            ++account.answered;
            account.firstTokenMs.push_back(std::chrono::duration<double, std::milli>(outcome.firstToken).count());
            m_reusable += history;
            m_reused += std::min(outcome.cachedTokens, history);
            chat.token = outcome.token;
        } else if (++m_codes[std::string(errorInfo(outcome.code).name)]; outcome.state == run_state::notRun) {
            ++m_refused;
            m_falseNotRun += hasRun ? 1 : 0;
            chat.tokens = history;
        } else {
            ++m_failed;
            chat.tokens = history;
        }
        if (++chat.turns < m_turns) {
            account.idle.push_back(std::move(chat));
        } else {
            --account.open;
        }
    }

    void workStarted(unsigned engine, request_id request)
    {
        const time_point now = m_fleet.queue().now();
        m_started.insert(request);
        m_starts.push_back({now, engine % m_domains});
        const std::optional<time_point> left = m_leftAt[engine];
        if (left && now > *left + leavingGrace && !m_fleet.isServing(engine)) {
            ++m_leavingStarts;
        }
    }

    /// Highest load as a multiple of the mean, of averages over 10 s with the same engines and above the floor.
    void sampleLoads()
    {
        const std::vector<unsigned> loads = m_fleet.loads();
        if (loads.size() != m_loadSums.size()) {
            m_loadSums.assign(loads.size(), 0); // an engine came or went
            m_samples = 0;
        }
        for (std::size_t i = 0; i < loads.size(); ++i) {
            m_loadSums[i] += loads[i];
        }
        if (++m_samples == samplesPerAverage) {
            const double sum = std::accumulate(m_loadSums.begin(), m_loadSums.end(), 0.0);
            const double highest = *std::max_element(m_loadSums.begin(), m_loadSums.end());
            if (highest > admission_options().loadFloor * samplesPerAverage) {
                m_loadOverMean = std::max(m_loadOverMean, highest * static_cast<double>(m_loadSums.size()) / sum);
            }
            m_loadSums.clear();
        }
        m_fleet.queue().after(sampleInterval, [this] { sampleLoads(); });
    }

    double newWork(unsigned domain)
    {
        const time_point since = m_fleet.queue().now() - recentWork;
        return static_cast<double>(
            std::count_if(m_starts.begin(), m_starts.end(), [&](const start &s) { return s.at > since && s.domain == domain; }));
    }

    static double percentile95(std::vector<double> values)
    {
        if (values.empty()) {
            return 0;
        }
        const auto at = values.begin() + static_cast<std::ptrdiff_t>(values.size() * 95 / 100);
        std::nth_element(values.begin(), at, values.end());
        return *at;
    }

    struct start {
        time_point at;
        unsigned domain = 0;
    };

    scenario_settings &m_settings;
    std::uint32_t m_prompt; // tokens of a first turn
    std::uint32_t m_turn; // tokens that a later turn adds
    std::uint32_t m_answer;
    unsigned m_chats; // an account opens this many before the oldest one returns
    unsigned m_turns; // of a chat; then a new one begins
    unsigned m_domains;
    sim_fleet m_fleet;
    std::vector<std::optional<time_point>> m_leftAt; // by engine
    std::map<std::string, account_state> m_accounts;
    std::unordered_set<request_id> m_started; // requests of which an engine got work and that have no final answer
    std::vector<start> m_starts;
    std::vector<double> m_loadSums; // of the engines that serve
    unsigned m_samples = 0;
    double m_loadOverMean = 0;
    std::uint64_t m_offered = 0;
    std::map<std::string, std::uint64_t> m_codes; // final answers that are errors, by their code
    std::uint64_t m_answered = 0;
    std::uint64_t m_refused = 0; // final answers that say notRun
    std::uint64_t m_failed = 0; // other errors
    std::uint64_t m_falseNotRun = 0; // refused with notRun although an engine got it
    std::uint64_t m_leavingStarts = 0;
    double m_reusable = 0; // tokens
    double m_reused = 0;
};

} // namespace

std::unique_ptr<scenario_world> makeServingWorld(scenario_settings &settings)
{
    return std::make_unique<serving_world>(settings);
}

} // namespace nutmegtally
