// Model of the time to first token at one upstream: a linear function of the prompt tokens that have to be prefilled
// before it, fitted by exponentially decayed least squares for each engine priority. A plain rate in tokens per second
// is not enough: the fixed part dominates short prompts, and a rate learned from them predicts far too long times for
// long prompts.
#pragma once

#include <nutmegtally/time.h>

#include <array>
#include <cstddef>

namespace nutmegtally
{

class first_token_model
{
public:
    /// @param tokens Expected prompt tokens to prefill before the first token, those of the request included.
    void add(unsigned priority, double tokens, duration latency);

    duration expected(unsigned priority, double tokens) const;

    /// Mean time to first token of a priority, 0 if not known.
    duration meanLatency(unsigned priority) const;

    /// Prefill rate over all priorities, 0 if not known.
    double tokensPerSecond() const;

private:
    struct linear_fit {
        double weight = 0; // decayed number of samples
        double x = 0; // decayed sums; x is tokens, y is seconds
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
    linear_fit m_overallFit; // used for priorities with few samples
};

} // namespace nutmegtally
