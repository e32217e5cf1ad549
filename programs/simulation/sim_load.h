// Load generator of the policy benchmark: chats with several turns and pauses, prompts with Zipf-distributed sizes, and
// client accounts of unequal size, of which the smallest may surge. Arrivals are open-loop, so that an overloaded fleet
// does not reduce its own load.
#pragma once

#include "simulation/sim_fleet.h"

#include <nutmegtally/fleet_config.h>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegtally
{

/// One class of the load. Sizes are in tokens.
struct load_class {
    std::string name;
    double share = 0; // of all requests
    bool isChat = true;
    unsigned minFirstPromptTokens = 0; // the first prompt of a chat is 1 ... 16 times this
    unsigned meanTurnTokens = 0; // added to the prompt by each later turn
    unsigned meanAnswerTokens = 0;
    duration firstTokenTarget {0};
    unsigned priority = 1;
};

struct load_options {
    std::uint64_t seed = 1;
    double capacityShare = 0.85; // offered load as a share of sim_load::capacity()
    unsigned engines = 9;
    unsigned accounts = 10;
    duration meanPause = std::chrono::seconds(40);
    duration ramp {0}; // time over which the rate grows linearly from the start
    double surgeFactor = 1; // factor on the rate of the smallest account during the surge
    time_point surgeStart;
    time_point surgeEnd;
    duration betweenTokensTarget = std::chrono::milliseconds(31);
    sim_engine_options engine;
};

/// Measurements of one run.
struct load_result {
    struct class_result {
        std::uint64_t offered = 0;
        std::uint64_t served = 0;
        std::uint64_t withinTarget = 0; // served requests whose first token met the target
        std::vector<float> firstTokenMs;
    };

    std::map<std::string, class_result> classes;
    std::map<std::string, class_result> closureClasses; // requests offered while a domain was closed
    std::map<unsigned, std::vector<float>> firstTokenMsByAccount;
    std::map<std::string, std::uint64_t> refusals; // final answers with run_state::notRun, by code
    std::uint64_t offered = 0;
    std::uint64_t refused = 0; // final answers with run_state::notRun
    std::uint64_t failed = 0; // final answers with any other error
    std::uint64_t promptTokens = 0; // of served chat requests
    std::uint64_t cachedTokens = 0;
    std::uint64_t idealCachedTokens = 0; // tokens that ideal_cache would have reused for them
};

/// Prefix cache of an ideal placement: one LRU cache as large as those of all engines together. Each prefix is assigned
/// to a random serving engine; it is lost when that engine restarts, and a miss while that engine does not serve.
class ideal_cache
{
public:
    ideal_cache(std::uint64_t capacityTokens, std::uint64_t seed);

    std::uint32_t find(chat_id chat, const sim_fleet &fleet);
    void store(chat_id chat, std::uint32_t tokens, const sim_fleet &fleet);
    void evictEngine(unsigned engine);

private:
    prefix_cache m_cache;
    std::unordered_map<chat_id, unsigned> m_engineOf;
    random_source m_random;
};

class sim_load
{
public:
    sim_load(sim_fleet &fleet, load_options options);

    /// Fleet configuration with the classes and accounts of the load.
    static fleet_config_ptr makeConfig(const load_options &options);

    /// @return Sustainable requests per second of the fleet: every engine runs at the target time between tokens, and each
    /// chat turn prefills only the tokens that it added.
    static double capacity(const load_options &options);

    void start();
    void setMeasuring(bool measuring)
    {
        m_measuring = measuring;
    }

    void setClosure(bool closed)
    {
        m_closure = closed;
    }

    ideal_cache &ideal()
    {
        return m_ideal;
    }

    const load_result &result() const
    {
        return m_result;
    }

private:
    struct chat_state {
        chat_id chat;
        std::uint32_t tokens = 0; // length of the history, prompts and answers
        std::string token;
        random_source random {0};
    };

    struct source {
        std::size_t workClass = 0;
        unsigned account = 0;
        double rate = 0; // requests per second
        std::vector<chat_state> idleChats;
        random_source random {0};
    };

    void scheduleNext(std::size_t source);
    void arrive(std::size_t source);
    void finish(std::size_t source, chat_state chat, const request_info &info, bool inClosure, const sim_outcome &outcome);
    chat_state newChat(source &from);

    sim_fleet &m_fleet;
    load_options m_options;
    std::vector<source> m_sources;
    ideal_cache m_ideal;
    load_result m_result;
    std::uint64_t m_nextChat = 1;
    bool m_measuring = false;
    bool m_closure = false;
};

} // namespace nutmegtally
