// What stays in force after the object store came back from an older copy. The copy lacks what was acknowledged after it was made,
// and brings back what was removed or replaced since; the writers write again within seconds. Until then, objects that the copy
// lacks are kept, and objects that it brings back are held back.
#pragma once

#include <nutmegtally/stored_object.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegtally
{

class restore_guard
{
public:
    /// @param keepTime How long an object stays that the copy lacks; nothing: until it is written again.
    explicit restore_guard(std::optional<duration> keepTime)
        : m_keepTime(keepTime)
    {
    }

    /// Records that an object was removed, so that an older copy of it is recognised in a later era.
    /// @param era In which it was removed.
    void recordRemoval(const std::string &name, const content_version &content, std::uint64_t era, time_point now);

    /// True if an object was removed in an era, by the store or because it was kept for long enough. Other routers may still keep it.
    bool wasRemovedIn(const std::string &name, std::uint64_t era) const;

    /// True if an object from the store is older than what this router knows, and is held back for a time.
    /// @param known The object in force; null if there is none.
    bool holdsBack(const stored_object *known, const stored_object &incoming, time_point now);

    /// Keeps an object that the copy lacks.
    void keep(const std::string &name, time_point now);

    /// The object is in force as the store has it.
    void settle(const std::string &name);

    bool isKept(const std::string &name) const
    {
        return m_kept.contains(name);
    }

    bool isHeldBack(const std::string &name) const
    {
        return m_heldBack.contains(name);
    }

    /// True if something is in force that the store does not have.
    bool isActive() const
    {
        return !m_kept.empty() || !m_heldBack.empty();
    }

    std::size_t kept() const
    {
        return m_kept.size();
    }

    std::size_t heldBack() const
    {
        return m_heldBack.size();
    }

    /// Names of the objects that were kept for long enough.
    std::vector<std::string> takeExpired(time_point now);

    /// Objects that were held back for long enough: their writers are alive, or nobody wrote again.
    std::vector<stored_object> takeReleased(time_point now);

private:
    struct removal {
        content_version content;
        std::uint64_t era = 0;
        time_point at;
    };

    struct held_object {
        stored_object object;
        time_point until;
    };

    time_point endOfKeeping(time_point now) const;
    time_point endOfHolding(time_point now) const;

    std::optional<duration> m_keepTime;
    std::map<std::string, removal> m_removals; // at most limits::maxRemovals
    std::map<std::string, time_point> m_kept; // until when
    std::map<std::string, held_object> m_heldBack;
};

} // namespace nutmegtally
