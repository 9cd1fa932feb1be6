#include "HedgeDelay.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>

namespace fuchsialb {

namespace {

    namespace acc = boost::accumulators;

    // The neighbours of the percentile let the estimator interpolate around it.
    constexpr std::array<double, 3> probabilities { 0.9, 0.95, 0.98 };
    constexpr double percentile = 0.95;
    // A runner that is slow for some seconds must not raise the delay by itself.
    constexpr Duration windowTime = std::chrono::seconds(30);
    // Services are released and moved within minutes; older answers say little of the ones to come.
    constexpr Duration maxAge = std::chrono::minutes(5);

    using Durations = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::extended_p_square_quantile>>;

} // namespace

struct HedgeDelay::Window {
    explicit Window(TimePoint now)
        : startedAt(now)
    {
    }

    bool hasEnough() const { return acc::count(durations) >= minAnswers; }
    Duration delay() const
    {
        return Duration(static_cast<Duration::rep>(acc::quantile(durations, acc::quantile_probability = percentile)));
    }

    Durations durations { acc::extended_p_square_probabilities = probabilities };
    TimePoint startedAt;
    TimePoint lastAt {};
};

HedgeDelay::HedgeDelay() = default;
HedgeDelay::~HedgeDelay() = default;
HedgeDelay::HedgeDelay(HedgeDelay&&) noexcept = default;
HedgeDelay& HedgeDelay::operator=(HedgeDelay&&) noexcept = default;

void HedgeDelay::record(Duration took, TimePoint now)
{
    if (m_current && now - m_current->lastAt > maxAge) {
        m_current.reset();
        m_previous.reset();
    }
    if (m_current && m_current->hasEnough() && now - m_current->startedAt >= windowTime)
        m_previous = std::move(m_current);
    if (!m_current)
        m_current = std::make_unique<Window>(now);
    m_current->durations(static_cast<double>(took.count()));
    m_current->lastAt = now;
}

std::optional<Duration> HedgeDelay::at(TimePoint now) const
{
    std::optional<Duration> longest;
    for (const Window* window : { m_current.get(), m_previous.get() }) {
        if (window && window->hasEnough() && now - window->lastAt <= maxAge)
            longest = std::max(longest.value_or(Duration(0)), window->delay());
    }
    return longest;
}

} // namespace fuchsialb
