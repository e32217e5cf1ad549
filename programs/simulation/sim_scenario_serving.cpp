// Scenario simulation "serving": routers, agents and engines over sim_fleet.
#include "simulation/sim_fleet.h"
#include "simulation/sim_scenario_simulations.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <unordered_map>
#include <unordered_set>

namespace nutmegtally
{

namespace
{

constexpr duration leavingGrace = std::chrono::seconds(3); // property P7: a leaving upstream gets no new work after this
constexpr duration newWorkWindow = std::chrono::seconds(1); // period that the metric new_work() covers
constexpr std::uint32_t engineWarmConcurrencyLimit = 64;
constexpr duration sampleInterval = std::chrono::milliseconds(100);
constexpr unsigned samplesPerAverage = 100; // 10 s, as in the policy benchmark; shorter averages are dominated by single requests

/// A chat with several turns. Each turn's prompt contains the whole history.
struct chat_state {
    chat_id chat;
    std::uint32_t tokens = 0; // length of the history
    unsigned turns = 0;
    std::string token; // routing token of the last answer
};

struct account_state {
    std::vector<chat_state> idleChats; // oldest first
    unsigned chats = 0; // created so far, for their names
    unsigned openChats = 0; // idle, or waiting for an answer
    std::uint64_t answered = 0;
    std::vector<double> firstTokenMs;
};

class serving_simulation : public scenario_simulation
{
public:
    explicit serving_simulation(scenario_settings &settings)
        : m_settings(settings)
        , m_firstPromptTokens(static_cast<std::uint32_t>(settings.readNumber("prompt", 400)))
        , m_turnTokens(static_cast<std::uint32_t>(settings.readNumber("turn", 100)))
        , m_answerTokens(static_cast<std::uint32_t>(settings.readNumber("answer", 40)))
        , m_chatsPerAccount(static_cast<unsigned>(settings.readNumber("chats", 20)))
        , m_turnsPerChat(static_cast<unsigned>(settings.readNumber("turns", 10)))
        , m_domains(std::max<unsigned>(1, static_cast<unsigned>(settings.domains().size())))
        , m_fleet(options(settings))
        , m_drainStartedAt(m_fleet.engineCount())
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
        chats.target.firstToken = settings.readMilliseconds("first_token_ms", 2000);
        config->classes[class_id::fromName(chats.name)] = chats;
        sim_fleet_options result;
        result.seed = static_cast<std::uint64_t>(settings.readNumber("seed", 1));
        result.engines = static_cast<unsigned>(settings.readNumber("engines", 9));
        result.routers = static_cast<unsigned>(settings.readNumber("routers", 4));
        result.domains = m_domains;
        result.loss = settings.readNumber("loss", 0);
        result.maxPropagationDelay = settings.readMilliseconds("view_delay_ms", 2500);
        result.admission.loadFloor = static_cast<std::uint32_t>(settings.readNumber("load_floor", result.admission.loadFloor));
        result.engine.coldStartDuration = settings.readMilliseconds("cold_time_ms", 20000);
        result.engine.warmConcurrencyLimit = engineWarmConcurrencyLimit;
        result.config = config;
        result.workStarted = [this](unsigned engine, request_id request) { workStarted(engine, request); };
        return result;
    }

    void declareActions()
    {
        m_actions = {
            {"chat from account NAME", [this](const arguments &words) { submitChat(words[0]); }},
            {"NUMBER chats from account NAME",
             [this](const arguments &words) {
                 for (int i = std::stoi(words[0]); i > 0; --i) {
                     submitChat(words[1]);
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
                 m_drainStartedAt[index] = m_fleet.queue().now();
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
            {"reuse", false, [this](const auto &) { return m_reusableTokens == 0 ? 1 : m_reusedTokens / m_reusableTokens; }},
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
            {"load_over_mean", false, [this](const auto &) { return m_maxLoadOverMean; }},
            {"window_violations", false, counter(&sim_counters::windowViolations)},
            {"cold_failures", false, counter(&sim_counters::coldFailures)},
            {"closed_starts", false, counter(&sim_counters::startsInClosedDomains)},
            {"new_work", true, [this](const auto &name) { return newWork(m_settings.domainIndex(name)); }},
            {"leaving_starts", false, [this](const auto &) { return static_cast<double>(m_startsWhileLeaving); }},
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

    chat_state nextChat(const std::string &accountName, account_state &account) const
    {
        if (account.idleChats.empty() || account.openChats < m_chatsPerAccount) {
            ++account.openChats;
            chat_state fresh;
            fresh.chat = chat_id::fromName(accountName + '/' + std::to_string(++account.chats));
            return fresh;
        }
        chat_state chat = std::move(account.idleChats.front());
        account.idleChats.erase(account.idleChats.begin());
        return chat;
    }

    void submitChat(const std::string &accountName)
    {
        account_state &account = m_accounts[accountName];
        chat_state chat = nextChat(accountName, account);
        const std::uint32_t history = chat.tokens;
        request_info info;
        info.workClass = class_id::fromName("chats");
        info.account = account_id::fromName(accountName);
        info.chat = chat.chat;
        info.model = model_id::fromName("model");
        info.promptTokens = history == 0 ? m_firstPromptTokens : history + m_turnTokens;
        info.expectedTokens = m_answerTokens;
        info.token = chat.token;
        info.deadline = m_fleet.queue().now() + std::chrono::seconds(60);
        ++m_offered;
        chat.tokens = info.promptTokens + m_answerTokens;
        const auto request = std::make_shared<request_id>();
        *request = m_fleet.submit(std::move(info), m_answerTokens, [=, this](const sim_outcome &outcome) {
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
            m_reusableTokens += history;
            m_reusedTokens += std::min(outcome.cachedTokens, history);
            chat.token = outcome.token;
        } else if (++m_codes[std::string(errorInfo(outcome.code).name)]; outcome.state == run_state::notRun) {
            ++m_refused;
            m_falseNotRun += hasRun ? 1 : 0;
            chat.tokens = history;
        } else {
            ++m_failed;
            chat.tokens = history;
        }
        if (++chat.turns < m_turnsPerChat) {
            account.idleChats.push_back(std::move(chat));
        } else {
            --account.openChats;
        }
    }

    void workStarted(unsigned engine, request_id request)
    {
        const time_point now = m_fleet.queue().now();
        m_started.insert(request);
        m_starts.push_back({now, engine % m_domains});
        const std::optional<time_point> drainStartedAt = m_drainStartedAt[engine];
        if (drainStartedAt && now > *drainStartedAt + leavingGrace && !m_fleet.isServing(engine)) {
            ++m_startsWhileLeaving;
        }
    }

    /// Updates the highest load as a multiple of the mean, from 10 s averages above the load floor over a fixed set of engines.
    void sampleLoads()
    {
        const std::vector<unsigned> loads = m_fleet.loads();
        if (loads.size() != m_loadSums.size()) {
            m_loadSums.assign(loads.size(), 0); // the set of serving engines changed
            m_samples = 0;
        }
        for (std::size_t i = 0; i < loads.size(); ++i) {
            m_loadSums[i] += loads[i];
        }
        if (++m_samples == samplesPerAverage) {
            const double sum = std::accumulate(m_loadSums.begin(), m_loadSums.end(), 0.0);
            const double highest = *std::max_element(m_loadSums.begin(), m_loadSums.end());
            if (highest > admission_options().loadFloor * samplesPerAverage) {
                m_maxLoadOverMean = std::max(m_maxLoadOverMean, highest * static_cast<double>(m_loadSums.size()) / sum);
            }
            m_loadSums.clear();
        }
        m_fleet.queue().after(sampleInterval, [this] { sampleLoads(); });
    }

    double newWork(unsigned domain)
    {
        const time_point since = m_fleet.queue().now() - newWorkWindow;
        return static_cast<double>(
            std::count_if(m_starts.begin(), m_starts.end(), [&](const work_start &s) { return s.at > since && s.domain == domain; }));
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

    struct work_start {
        time_point at;
        unsigned domain = 0;
    };

    scenario_settings &m_settings;
    std::uint32_t m_firstPromptTokens; // prompt of a chat's first turn
    std::uint32_t m_turnTokens; // added to the prompt by each later turn
    std::uint32_t m_answerTokens;
    unsigned m_chatsPerAccount; // an account opens this many before it continues the oldest one
    unsigned m_turnsPerChat; // a chat ends after this many turns
    unsigned m_domains;
    sim_fleet m_fleet;
    std::vector<std::optional<time_point>> m_drainStartedAt; // by engine
    std::map<std::string, account_state> m_accounts;
    std::unordered_set<request_id> m_started; // requests that reached an engine and have no final answer yet
    std::vector<work_start> m_starts;
    std::vector<double> m_loadSums; // by serving engine, over the samples of the current average
    unsigned m_samples = 0;
    double m_maxLoadOverMean = 0;
    std::uint64_t m_offered = 0;
    std::map<std::string, std::uint64_t> m_codes; // final answers with an error, by code
    std::uint64_t m_answered = 0;
    std::uint64_t m_refused = 0; // final answers with run_state::notRun
    std::uint64_t m_failed = 0; // final answers with any other error
    std::uint64_t m_falseNotRun = 0; // refused with notRun although an engine had started the request
    std::uint64_t m_startsWhileLeaving = 0;
    double m_reusableTokens = 0; // history of answered turns
    double m_reusedTokens = 0;
};

} // namespace

std::unique_ptr<scenario_simulation> makeServingSimulation(scenario_settings &settings)
{
    return std::make_unique<serving_simulation>(settings);
}

} // namespace nutmegtally
