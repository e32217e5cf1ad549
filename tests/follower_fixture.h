// Base of fixtures for object_follower: applies events at given times and keeps the effects of the last one.
#pragma once

#include <nutmegtally/object_follower.h>

#include <variant>
#include <vector>

namespace nutmegtally::test
{

struct follower_fixture_base {
    explicit follower_fixture_base(follower_options options = {})
        : follower(std::move(options))
    {
    }

    template<typename Event>
    void at(duration when, const Event &event)
    {
        effects.clear();
        follower.apply(time_point(when), event, effects);
    }

    template<typename Effect>
    const Effect *effect() const
    {
        for (const object_follower::effect &each : effects) {
            if (const auto *found = std::get_if<Effect>(&each)) {
                return found;
            }
        }
        return nullptr;
    }

    object_follower follower;
    std::vector<object_follower::effect> effects;
};

} // namespace nutmegtally::test
