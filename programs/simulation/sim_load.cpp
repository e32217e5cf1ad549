#include "simulation/sim_load.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace nutmegtally
{

namespace
{

using namespace std::chrono_literals;

constexpr double turnsPerChat = 12;
constexpr unsigned sizeRanks = 16; // largest first prompt as a multiple of the smallest
constexpr std::uint32_t maxHistoryTokens = 24'000; // a chat with a longer history is replaced by a new one

const std::array<load_class, 3> &loadClasses()
{
    // The largest first prompt meets its target on an idle engine: 16 x 200 tokens take about 0.25 s, 16 x 1000 about 1.3 s.
    static const std::array<load_class, 3> classes = {{
        {"quick", 0.5, true, 200, 150, 100, 570ms, 0},
        {"draft", 0.2, true, 1000, 300, 400, 4000ms, 2},
        {"tag", 0.3, false, 300, 0, 6, 1500ms, 1},
    }};
    return classes;
}

double exponential(random_source &random)
{
    return -std::log(1.0 - random.fraction());
}

/// @return A Zipf-distributed number from 1 to sizeRanks, exponent 1.
unsigned zipfSize(random_source &random)
{
    static const std::array<double, sizeRanks> cumulative = [] {
        std::array<double, sizeRanks> sums {};
        double sum = 0;
        for (unsigned i = 0; i < sizeRanks; ++i) {
            sums[i] = sum += 1.0 / (i + 1);
        }
        for (double &value : sums) {
            value /= sum;
        }
        return sums;
    }();
    const double draw = random.fraction();
    return 1 + static_cast<unsigned>(std::lower_bound(cumulative.begin(), cumulative.end(), draw) - cumulative.begin());
}

std::uint32_t drawTokens(unsigned mean, random_source &random)
{
    return 1 + static_cast<std::uint32_t>(mean * (0.25 + 0.75 * std::min(4.0, exponential(random))));
}

std::string accountName(unsigned account)
{
    return "account-" + std::to_string(account);
}

} // namespace

ideal_cache::ideal_cache(std::uint64_t capacityTokens, std::uint64_t seed)
    : m_cache(capacityTokens)
    , m_random(seed)
{
}

std::uint32_t ideal_cache::find(chat_id chat, const sim_fleet &fleet)
{
    const auto found = m_engineOf.find(chat);
    return found != m_engineOf.end() && fleet.isServing(found->second) ? m_cache.find(chat) : 0;
}

void ideal_cache::store(chat_id chat, std::uint32_t tokens, const sim_fleet &fleet)
{
    m_cache.store(chat, tokens);
    unsigned &engine = m_engineOf.try_emplace(chat, static_cast<unsigned>(m_random.below(fleet.engineCount()))).first->second;
    for (unsigned i = 0; i < fleet.engineCount() && !fleet.isServing(engine); ++i) {
        engine = static_cast<unsigned>(m_random.below(fleet.engineCount()));
    }
}

void ideal_cache::evictEngine(unsigned engine)
{
    for (const auto &[chat, owner] : m_engineOf) {
        if (owner == engine) {
            m_cache.erase(chat);
        }
    }
}

sim_load::sim_load(sim_fleet &fleet, load_options options)
    : m_fleet(fleet)
    , m_options(options)
    , m_ideal(options.engine.cacheTokens * options.engines, options.seed)
{
    const double total = capacity(options) * options.capacityShare;
    double accountSum = 0;
    for (unsigned account = 0; account < options.accounts; ++account) {
        accountSum += 1.0 / (account + 1);
    }
    for (std::size_t i = 0; i < loadClasses().size(); ++i) {
        for (unsigned account = 0; account < options.accounts; ++account) {
            source entry;
            entry.workClass = i;
            entry.account = account;
            entry.rate = total * loadClasses()[i].share / ((account + 1) * accountSum);
            entry.random = random_source(mixHash(options.seed, 1000 * i + account));
            m_sources.push_back(std::move(entry));
        }
    }
}

fleet_config_ptr sim_load::makeConfig(const load_options &options)
{
    auto config = std::make_shared<fleet_config>();
    const model_id model = model_id::fromName("model");
    config->version = 1;
    config->models[model].name = "model";
    for (const load_class &entry : loadClasses()) {
        class_config &target = config->classes[class_id::fromName(entry.name)];
        target.name = entry.name;
        target.model = model;
        target.priority = entry.priority;
        target.target.firstToken = entry.firstTokenTarget;
        target.target.betweenTokens = options.betweenTokensTarget;
    }
    for (unsigned account = 0; account < options.accounts; ++account) {
        account_config &entry = config->accounts[account_id::fromName(accountName(account))];
        entry.name = accountName(account);
        entry.share = 10.0 / (account + 1); // shares are agreed with the accounts by their usual sizes
    }
    return config;
}

double sim_load::capacity(const load_options &options)
{
    random_source random(1);
    constexpr unsigned samples = 20'000;
    double prefill = 0;
    double answer = 0;
    for (const load_class &entry : loadClasses()) {
        double prompts = 0;
        double answers = 0;
        for (unsigned i = 0; i < samples; ++i) {
            const double first = entry.minFirstPromptTokens * (entry.isChat ? zipfSize(random) : 1.0);
            const double later = entry.isChat ? drawTokens(entry.meanTurnTokens, random) : first;
            prompts += entry.isChat ? first / turnsPerChat + later * (1 - 1 / turnsPerChat) : first;
            answers += drawTokens(entry.meanAnswerTokens, random);
        }
        prefill += entry.share * prompts / samples;
        answer += entry.share * answers / samples;
    }
    const double steps = 1.0 / std::chrono::duration<double>(options.betweenTokensTarget).count();
    const double availableShare = 1.0 - steps * std::chrono::duration<double>(options.engine.stepBase).count();
    const double perRequest
        = answer * std::chrono::duration<double>(options.engine.stepPerSequence).count() + prefill / options.engine.prefillTokensPerSecond;
    return options.engines * availableShare / perRequest;
}

void sim_load::start()
{
    for (std::size_t i = 0; i < m_sources.size(); ++i) {
        source &entry = m_sources[i];
        if (loadClasses()[entry.workClass].isChat) {
            const auto chats = static_cast<std::size_t>(entry.rate * std::chrono::duration<double>(m_options.meanPause).count()) + 1;
            while (entry.idleChats.size() < chats) {
                entry.idleChats.push_back(newChat(entry));
            }
        }
        scheduleNext(i);
    }
}

sim_load::chat_state sim_load::newChat(source &from)
{
    const load_class &entry = loadClasses()[from.workClass];
    chat_state chat;
    chat.chat = chat_id(mixHash(m_options.seed, m_nextChat++) | 1U);
    chat.tokens = entry.minFirstPromptTokens * zipfSize(from.random);
    return chat;
}

void sim_load::scheduleNext(std::size_t index)
{
    source &entry = m_sources[index];
    const time_point now = m_fleet.queue().now();
    const bool isSurging
        = m_options.surgeFactor > 1 && entry.account + 1 == m_options.accounts && now >= m_options.surgeStart && now < m_options.surgeEnd;
    // Caches start empty, so the full rate from the start would overload the fleet under any placement.
    const double ramp
        = m_options.ramp.count() > 0 ? std::clamp(std::chrono::duration<double>(now - time_point()) / m_options.ramp, 0.1, 1.0) : 1.0;
    double seconds = exponential(entry.random) / (entry.rate * ramp * (isSurging ? m_options.surgeFactor : 1.0));
    if (!isSurging && entry.account + 1 == m_options.accounts && now < m_options.surgeStart) {
        // Limits the gap before the surge, so that the first arrival of the surge is not delayed far into it.
        seconds = std::min(seconds, std::chrono::duration<double>(m_options.surgeStart - now).count() + 1e-3);
    }
    m_fleet.queue().after(duration(static_cast<std::int64_t>(seconds * 1e6)), [this, index] { arrive(index); });
}

void sim_load::arrive(std::size_t index)
{
    source &from = m_sources[index];
    const load_class &entry = loadClasses()[from.workClass];
    request_info info;
    info.workClass = class_id::fromName(entry.name);
    info.account = account_id::fromName(accountName(from.account));
    info.model = model_id::fromName("model");
    info.deadline = m_fleet.queue().now() + 30s;
    chat_state chat;
    if (entry.isChat) {
        const bool ends = from.random.fraction() < 1 / turnsPerChat;
        if (from.idleChats.empty()) {
            chat = newChat(from);
        } else {
            const std::size_t chosen = from.random.below(from.idleChats.size());
            chat = std::move(from.idleChats[chosen]);
            from.idleChats[chosen] = std::move(from.idleChats.back());
            from.idleChats.pop_back();
        }
        if (ends || chat.tokens > maxHistoryTokens) {
            chat = newChat(from);
        } else {
            chat.tokens += drawTokens(entry.meanTurnTokens, from.random);
        }
        info.chat = chat.chat;
        info.promptTokens = chat.tokens;
        info.token = chat.token;
    } else {
        info.promptTokens = entry.minFirstPromptTokens;
    }
    const std::uint32_t answer = drawTokens(entry.meanAnswerTokens, from.random);
    const bool inClosure = m_closure;
    chat.tokens += answer;
    m_fleet.submit(info, answer,
                   [this, index, chat, info, inClosure](const sim_outcome &outcome) { finish(index, chat, info, inClosure, outcome); });
    scheduleNext(index);
}

void sim_load::finish(std::size_t index, chat_state chat, const request_info &info, bool inClosure, const sim_outcome &outcome)
{
    source &from = m_sources[index];
    const load_class &entry = loadClasses()[from.workClass];
    if (m_measuring) {
        ++m_result.offered;
        m_result.refused += !outcome.ok && outcome.state == run_state::notRun ? 1 : 0;
        m_result.failed += !outcome.ok && outcome.state != run_state::notRun ? 1 : 0;
        if (!outcome.ok && outcome.state == run_state::notRun) {
            ++m_result.refusals[std::string(errorInfo(outcome.code).name)];
        }
        std::vector<load_result::class_result *> results = {&m_result.classes[entry.name]};
        if (inClosure) {
            results.push_back(&m_result.closureClasses[entry.name]);
        }
        for (load_result::class_result *result : results) {
            ++result->offered;
            if (outcome.ok) {
                ++result->served;
                result->withinTarget += outcome.firstToken <= entry.firstTokenTarget ? 1 : 0;
                result->firstTokenMs.push_back(static_cast<float>(outcome.firstToken.count()) / 1000.0F);
            }
        }
        if (outcome.ok) {
            m_result.firstTokenMsByAccount[from.account].push_back(static_cast<float>(outcome.firstToken.count()) / 1000.0F);
        }
    }
    if (!entry.isChat) {
        return;
    }
    if (outcome.ok) {
        const std::uint32_t ideal = std::min(m_ideal.find(info.chat, m_fleet), info.promptTokens);
        if (m_measuring) {
            m_result.promptTokens += info.promptTokens;
            m_result.cachedTokens += outcome.cachedTokens;
            m_result.idealCachedTokens += ideal;
        }
        m_ideal.store(info.chat, chat.tokens, m_fleet);
        chat.token = outcome.token;
    } else {
        chat.tokens = info.promptTokens; // the next turn continues from this prompt, without an answer
    }
    from.idleChats.push_back(std::move(chat));
}

} // namespace nutmegtally
