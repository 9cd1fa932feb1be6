#pragma once

#include "PathFinder.h"
#include "PathForecast.h"

namespace fuchsialb {

/// \brief Chooses a path by the pauses that its stream and those that share its stages will see.
///
/// The usual path is taken while the forecast for it, with the request on it, meets the pause objective; otherwise the
/// path with the shortest pauses, in any data centre. If that one misses the objective as well, the request will be
/// late. It still runs, since callers prefer a late stream to none, unless the streams that share its stages lose more
/// by it than it wins, or it can't end before its deadline.
class PauseAdmission {
public:
    enum class Verdict : unsigned char {
        /// No forecast is possible yet.
        Unknown,
        /// The usual path meets the objective.
        Usual,
        /// Another path does.
        Faster,
        /// No path meets the objective, and the request runs all the same.
        Late,
        /// The request may run when fewer requests share the stages.
        Held,
    };

    struct Terms {
        /// Pause objective of the request; 0 if it has none.
        Duration objective { 0 };
        /// Shortest pause objective of the streams of the service.
        Duration serviceObjective { 0 };
        Duration timeLeft { 0 };
        double outputTokens = 0;
        /// Whether the request may be held; a stream that has begun may not.
        bool mayBeHeld = true;
        /// Mean time that a request of the service takes.
        Duration meanDuration { 0 };
    };

    struct Decision {
        Verdict verdict = Verdict::Unknown;
        /// None if the request is held or no path has capacity.
        std::optional<Path> path;
        /// Forecast of the best path.
        PauseForecast forecast;
        /// Time after which the request is likely to be admitted, if it is held.
        Duration wait { 0 };
    };

    PauseAdmission(const RunnerDirectory& directory, const LoadLedger& ledger, const RunnerPace& pace)
        : m_directory(directory)
        , m_ledger(ledger)
        , m_pace(pace)
    {
    }

    Decision choose(PathRequest request, const EngineProfile& engine, const Terms& terms, TimePoint now) const;

private:
    const RunnerDirectory& m_directory;
    const LoadLedger& m_ledger;
    const RunnerPace& m_pace;
};

std::string_view verdictName(PauseAdmission::Verdict verdict);

} // namespace fuchsialb
