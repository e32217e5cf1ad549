// Which routers live, and when to ask which of them for newer state. Every router asks one other a second; the answer
// carries what the asker lacks, so state spreads also to routers that cannot read it themselves. A reducer.
#pragma once

#include <nutmegtally/log_events.h>
#include <nutmegtally/reducer.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace nutmegtally
{

/// A router as others tell of it.
struct router_notice {
    std::string name;
    std::string address; // IP number and port of its listener for other routers
    std::string loadAddress; // where it takes load notices
    std::string domain; // its failure domain
    duration age {0}; // since the teller heard of it
};

struct news_options {
    std::string name;
    std::string address;
    std::string domain;
    std::vector<std::string> seeds; // addresses to start with; may be stale or this router's own
};

namespace news_event
{

/// Another router asked or answered.
struct heard {
    std::string name;
    std::string address;
    std::string loadAddress;
    std::string domain;
    std::vector<router_notice> known;
};

/// A router's datagram compared with what this router knows.
struct digest_compared {
    std::string name;
    bool isNewer = false; // the other router knows more
    bool isReader = false; // it reads for this router, which does not read itself
};

/// Routers that another router heard of lately.
struct heard_of {
    std::vector<std::uint32_t> routers; // router_news::keyOf their names
};

/// Whom to ask: routers whose answers are the freshest. Without any, all are asked in turn.
struct leads_changed {
    std::vector<std::string> addresses;
};

/// The router that was asked has answered.
struct exchange_done {
};

/// The settings were read again.
struct seeds_changed {
    std::vector<std::string> seeds;
};

struct exchange_failed {
    std::string address;
};

struct tick {
    bool hasContact = true; // the platform answers this router
};

} // namespace news_event

namespace news_effect
{

struct ask {
    std::string address;
};

/// Routers that share limits, with this one.
struct routers_changed {
    std::vector<std::string> live;
};

} // namespace news_effect

class router_news
{
public:
    using event = std::variant<news_event::heard, news_event::digest_compared, news_event::exchange_done, news_event::seeds_changed,
                               news_event::exchange_failed, news_event::leads_changed, news_event::heard_of, news_event::tick>;
    using effect = std::variant<news_effect::ask, news_effect::routers_changed, log_record>;

    explicit router_news(news_options options);

    void apply(time_point now, const event &input, std::vector<effect> &effects);

    /// What this router tells of the others.
    std::vector<router_notice> known(time_point now) const;

    /// Names of routers in notices; two routers with one key live as long as one of them does.
    static std::uint32_t keyOf(std::string_view name);

    /// Keys of the routers heard of within the last second or so, with this one's.
    /// @param domain Only those of this failure domain; empty for all.
    std::vector<std::uint32_t> heardOfLately(std::string_view domain, time_point now) const;

private:
    struct router {
        std::string address;
        std::string loadAddress;
        std::string domain;
        time_point heardAt;
        std::optional<time_point> newerSince; // it tells of newer state since then
    };

    struct target {
        time_point askedAt;
        time_point notBefore; // after failures
        unsigned failures = 0;
    };

    void on(time_point now, const news_event::heard &input, std::vector<effect> &effects);
    void on(time_point now, const news_event::digest_compared &input, std::vector<effect> &effects);
    void on(time_point now, const news_event::exchange_done &input, std::vector<effect> &effects);
    void on(time_point now, const news_event::seeds_changed &input, std::vector<effect> &effects);
    void on(time_point now, const news_event::exchange_failed &input, std::vector<effect> &effects);
    void on(time_point now, const news_event::leads_changed &input, std::vector<effect> &effects);
    void on(time_point now, const news_event::heard_of &input, std::vector<effect> &effects);
    void on(time_point now, const news_event::tick &input, std::vector<effect> &effects);
    void note(const router_notice &notice, time_point heardAt);
    const std::string *nextTarget(time_point now) const;
    void addSeeds(const std::vector<std::string> &seeds);
    void ask(time_point now, const std::string &address, std::vector<effect> &effects);
    void tellLive(time_point now, std::vector<effect> &effects);

    news_options m_options;
    std::map<std::string, router> m_routers; // by name, without this one
    std::map<std::string, target> m_targets; // by address
    std::vector<std::string> m_live; // as last told
    std::vector<std::string> m_leads; // addresses
    std::optional<time_point> m_startedAt; // first tick
    unsigned m_asked = 0; // questions on the clock
    bool m_isAsking = false; // one question at a time: answers may be large and links narrow
    time_point m_nextAsk;
    bool m_toldOnce = false;
};

} // namespace nutmegtally
