// Interface of the reducers: a reducer applies an event to its state and appends effects, which its driver executes.
// It has no clock, thread, socket or random device; time comes with each event and seeds come from outside.
#pragma once

#include <nutmegtally/time.h>

#include <concepts>
#include <type_traits>
#include <vector>

namespace nutmegtally
{

/// A type with an event type, an effect type and apply(), which appends effects in the order of execution.
template<typename R>
concept reducer = requires(R r, time_point now, const typename R::event &event, std::vector<typename R::effect> &effects)
{
    {
        r.apply(now, event, effects)
        } -> std::same_as<void>;
};

/// Builds a visitor from lambdas, for std::visit over an event or effect variant.
template<typename... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};

template<typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace nutmegtally
