#include "PauseAdmission.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace fuchsialb {

namespace {

    // What a late stream is worth to its caller, relative to one on time.
    constexpr double lateValue = 0.5;
    // Spread of pauses about their forecast, relative to the objective.
    constexpr double pauseSpread = 0.1;
    // Estimates of the number of tokens are right in the middle and often far off.
    constexpr double maxDurationRatio = 1.5;

    double milliseconds(Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

    /// \return The probability that a stream with this forecast misses the objective, which is not 0.
    double lateProbability(double pause, Duration objective)
    {
        const double limit = milliseconds(objective);
        return 1 / (1 + std::exp(-(pause - limit) / (pauseSpread * limit)));
    }

    /// \return What the stream is worth to its caller, 1 if it is certainly on time.
    double gain(const PauseForecast& forecast, Duration objective)
    {
        return objective > Duration(0) ? 1 - (1 - lateValue) * lateProbability(forecast.pause, objective) : 1;
    }

    /// \return What the streams that share its stages lose. Their forecast is taken to be that of the path.
    double othersLoss(const PauseForecast& forecast, Duration objective)
    {
        const double late = lateProbability(forecast.pause, objective);
        const double lateRise = late * (1 - late) / (pauseSpread * milliseconds(objective));
        return (1 - lateValue) * lateRise * forecast.shared;
    }

    /// \return Whether the stream is far from its end when its caller's time is over.
    bool overruns(const PauseForecast& forecast, const EngineProfile& engine, const PauseAdmission::Terms& terms)
    {
        const double events = terms.outputTokens / engine.tokensPerEvent;
        return events * forecast.interval > maxDurationRatio * milliseconds(terms.timeLeft);
    }

    /// \return The time in which as many requests end as the forecast is above the objective by.
    Duration waitFor(const PauseForecast& forecast, Duration objective, Duration meanDuration)
    {
        const double excess = std::max(0.0, forecast.pause - milliseconds(objective));
        const double ending = forecast.shared > 0 ? std::min(1.0, excess / forecast.shared) : 1;
        return std::chrono::duration_cast<Duration>(meanDuration * ending);
    }

} // namespace

PauseAdmission::Decision PauseAdmission::choose(
    PathRequest request, const EngineProfile& engine, const Terms& terms, TimePoint now) const
{
    const PathFinder finder(m_directory, m_ledger, &m_pace);
    Decision decision;
    decision.path = finder.find(request, engine, now);
    if (!decision.path || terms.serviceObjective == Duration(0) || !m_pace.isCalibrated(now))
        return decision;
    const auto forecast
        = [&](const Path& path) { return forecastPause(path, engine, m_directory, m_ledger, m_pace, now); };
    const double limit = milliseconds(terms.serviceObjective);
    decision.forecast = forecast(*decision.path);
    decision.verdict = Verdict::Usual;
    if (decision.forecast.pause <= limit)
        return decision;
    request.prefersShortPauses = true;
    if (auto other = finder.find(request, engine, now)) {
        const PauseForecast otherForecast = forecast(*other);
        if (otherForecast.pause < decision.forecast.pause) {
            decision.path = std::move(other);
            decision.forecast = otherForecast;
        }
    }
    decision.verdict = decision.forecast.pause <= limit ? Verdict::Faster : Verdict::Late;
    if (decision.verdict == Verdict::Faster || !terms.mayBeHeld)
        return decision;
    // Where fewer requests wouldn't help, for example at slow runners, nobody is held for their sake.
    const bool isDueToLoad = decision.forecast.pause - decision.forecast.shared <= limit;
    const bool costsMore = isDueToLoad
        && othersLoss(decision.forecast, terms.serviceObjective) > gain(decision.forecast, terms.objective);
    if (costsMore || overruns(decision.forecast, engine, terms)) {
        decision.verdict = Verdict::Held;
        decision.path.reset();
        decision.wait = waitFor(decision.forecast, terms.serviceObjective, terms.meanDuration);
    }
    return decision;
}

std::string_view verdictName(PauseAdmission::Verdict verdict)
{
    constexpr std::array<std::string_view, 5> names { "unknown", "usual", "faster", "late", "held" };
    return names.at(static_cast<std::size_t>(verdict));
}

} // namespace fuchsialb
