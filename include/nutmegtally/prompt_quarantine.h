// Finds prompt parts that crash the engines which begin to write an answer on them, and holds them back. Evidence is merged
// from all routers: each sees only some of the requests that an engine had when it crashed.
#pragma once

#include <nutmegtally/prefix_map.h>
#include <nutmegtally/time.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace nutmegtally
{

/// Hash of one start of an engine: all routers count its crash as the same one.
using crash_id = std::uint32_t;

crash_id crashIdOf(std::string_view instance, std::uint64_t incarnation);

/// What a router knows of one prompt part, as routers tell each other. Times are ages, as clocks of routers differ.
struct part_evidence {
    struct crash {
        crash_id id = 0;
        duration age {0};
        duration sendAge {0}; // since the first request with the part that the engine was beginning was sent

        bool operator==(const crash &) const = default;
    };

    std::uint64_t part = 0;
    std::uint32_t depth = 0; // number of parts before it in a prompt
    std::optional<duration> survivalAge; // since an engine got past the beginning of an answer on it; nothing if none is known to
    std::vector<crash> crashes; // since then, of engines that were beginning an answer on it

    bool operator==(const part_evidence &) const = default;
};

/// A request that an engine was beginning to answer when it crashed.
struct crash_suspect {
    prompt_parts prompt;
    time_point sentAt;
};

enum class part_standing : std::uint8_t {
    clear,
    suspected, // one router and one request at a time, until an engine gets past its beginning
    quarantined, // no requests
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(part_standing::count)> partStandingNames = {
    "clear",
    "suspected",
    "quarantined",
};

constexpr std::string_view nameOf(part_standing standing)
{
    return partStandingNames[static_cast<std::size_t>(standing)];
}

struct part_verdict {
    std::uint64_t part = 0;
    part_standing standing = part_standing::clear;
    unsigned crashes = 0; // that no other part explains; those that coincide count once
    duration heldFor {0}; // until this router may try a request with it
};

/// The last part of a prompt belongs to its request alone and is never considered.
class prompt_quarantine
{
public:
    /// @param self Hash of this router's name.
    explicit prompt_quarantine(std::uint64_t self)
        : m_self(self)
    {
    }

    /// @param routers Hashes of the names of the live routers. They try a suspected part one after the other.
    void setRouters(std::vector<std::uint64_t> routers)
    {
        m_routers = std::move(routers);
    }

    /// Records that an engine crashed which was beginning answers to these requests.
    void recordCrash(crash_id id, const std::vector<crash_suspect> &suspects, time_point now);

    /// Records that an engine got past the beginning of an answer on a prompt.
    void recordSurvival(const prompt_parts &prompt, time_point now);

    /// Clears a part, as if an engine had survived it, and with it the other parts of the prompts that crashed engines with it: they
    /// would be blamed next. For operators.
    void release(std::uint64_t part, time_point now);

    /// True if an engine is known to have got past the beginning of an answer on each shared part of the prompt.
    bool isProven(const prompt_parts &prompt) const;

    /// The gravest verdict on a part of the prompt.
    part_verdict judge(const prompt_parts &prompt, time_point now) const;

    /// Drops old evidence. Call a few times a second.
    void tick(time_point now);

    void merge(const std::vector<part_evidence> &evidence, time_point now);

    /// Evidence to send to other routers, the gravest first; at most limits::maxSharedEvidence parts.
    std::vector<part_evidence> evidence(time_point now) const;

    /// There is evidence that evidence() has not returned since noteShared() was called.
    bool hasNews() const
    {
        return m_hasNews;
    }

    void noteShared()
    {
        m_hasNews = false;
    }

    /// Parts that were quarantined, longer than before or for the first time, or released, since the last call; for logs.
    std::vector<part_verdict> takeChanges();

    /// Parts that are suspected or quarantined, for operators.
    std::vector<part_verdict> verdicts(time_point now) const;

private:
    struct crash_record {
        time_point at;
        time_point sentAt; // of the first request with the part that the engine was beginning
    };

    struct part_record {
        std::uint32_t depth = 0;
        std::optional<time_point> survivedAt;
        std::map<crash_id, crash_record> crashes; // after survivedAt; at most limits::maxCrashesPerPart
        unsigned unexplained = 0; // crashes that no graver part explains
        time_point lastCrashAt;
        duration term {0}; // length of the quarantine, from lastCrashAt on; 0 for none
        unsigned reported = 0; // value of unexplained when takeChanges() last returned the part as quarantined
    };

    using part_records = std::unordered_map<std::uint64_t, part_record>;

    std::optional<time_point> survivalOf(std::uint64_t part) const;
    /// @return True if that is news to other routers.
    bool addCrash(std::uint64_t part, std::uint32_t depth, crash_id id, const crash_record &crash);
    bool addSurvival(std::uint64_t part, time_point at);
    /// The same for a survival that another router tells.
    bool addToldSurvival(std::uint64_t part, time_point at);
    part_verdict verdictOn(std::uint64_t part, const part_record &record, time_point now) const;
    void noteNews(bool isNews, time_point now);
    /// Number of crashes of a part that are not explained. Crashes coincide, and count once, if the part's request at one engine was sent
    /// before the other crashed: a rack, a domain or a release may have failed. A later request shows that the part brings the crash along.
    static unsigned occasionsWithout(const part_record &record, const std::unordered_set<crash_id> &explained);
    /// Attributes each crash to the gravest of its parts and sets the terms of quarantine.
    void attribute(time_point now);
    void expire(time_point now);

    std::uint64_t m_self;
    std::vector<std::uint64_t> m_routers;
    part_records m_records; // at most limits::maxSuspectedParts
    // Last survivals, in two generations: the older one is dropped when the newer one is full.
    std::unordered_map<std::uint64_t, time_point> m_survivals;
    std::unordered_map<std::uint64_t, time_point> m_olderSurvivals;
    std::vector<part_verdict> m_changes;
    time_point m_nextSweepAt;
    bool m_hasNews = false;
};

} // namespace nutmegtally
