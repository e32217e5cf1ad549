// Applies events to a reducer and carries out its effects, in order. Events that are posted while effects are carried out are
// queued and applied afterwards.
#pragma once

#include <nutmegtally/reducer.h>

#include <variant>
#include <vector>

namespace nutmegtally
{

template<reducer Reducer>
class event_queue
{
public:
    /// Applies an event, or queues it if called while an effect is being carried out.
    /// @param now Returns the current time; called for each event.
    /// @param carryOut Visitor that accepts each type of effect.
    template<typename Clock, typename CarryOut>
    void post(Reducer &target, const typename Reducer::event &event, const Clock &now, const CarryOut &carryOut)
    {
        m_pending.push_back(event);
        if (m_isApplying) {
            return;
        }
        m_isApplying = true;
        std::vector<typename Reducer::effect> effects;
        while (!m_pending.empty()) {
            std::vector<typename Reducer::event> events;
            events.swap(m_pending);
            for (const typename Reducer::event &each : events) {
                effects.clear();
                target.apply(now(), each, effects);
                for (const typename Reducer::effect &effect : effects) {
                    std::visit(carryOut, effect);
                }
            }
        }
        m_isApplying = false;
    }

private:
    std::vector<typename Reducer::event> m_pending; // posted while effects are carried out
    bool m_isApplying = false;
};

} // namespace nutmegtally
