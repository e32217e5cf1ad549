// Model of the time to first token at one upstream: a line over the prompt tokens that have to be prefilled before it,
// fitted by decayed least squares for each engine priority. A single quotient of tokens and time does not do: short
// prompts are ruled by the fixed part, and a rate learned from them makes long prompts look hopeless.
#pragma once

#include <nutmegtally/time.h>

#include <array>
#include <cstddef>

namespace nutmegtally
{

class first_token_model
{
public:
    /// @param tokens Expected prompt tokens to prefill up to and including the request's.
    void add(unsigned priority, double tokens, duration latency);

    duration expected(unsigned priority, double tokens) const;

    /// Usual time to first token of a priority, 0 if not known.
    duration meanLatency(unsigned priority) const;

    /// Over all priorities, 0 if not known.
    double tokensPerSecond() const;

private:
    struct linear_fit {
        double weight = 0; // decayed number of samples
        double x = 0; // decayed sums
        double y = 0;
        double xx = 0;
        double xy = 0;

        void add(double tokens, double seconds);
        double slope() const; // seconds per token
        double at(double tokens) const;
    };

    static constexpr std::size_t priorities = 20; // engine priorities: two per class priority

    static std::size_t indexOf(unsigned priority);

    std::array<linear_fit, priorities> m_fits;
    linear_fit m_overallFit; // for priorities with few samples
};

} // namespace nutmegtally
