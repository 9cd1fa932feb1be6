#include "SilentStages.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace fuchsialb {

namespace {

    // Probability of a runner at work to be taken for a silent one by the phases of its streams alone.
    constexpr double errorProbability = 0.01;
    // Events that a runner has passed on before it ended arrive within this time.
    constexpr Duration minSilence = std::chrono::milliseconds(30);
    // Reading the tokens so far at new stages, which other streams reach at the same moment.
    constexpr Duration readingMargin = std::chrono::milliseconds(100);

    struct Runner {
        TimePoint lastEvent {};
        Duration longestDue { 0 };
        std::size_t streams = 0;
        /// Indices of the overdue streams.
        std::vector<std::size_t> overdue;
    };

    using Runners = std::map<EndpointId, Runner>;

    /// \return The silence of a runner as a multiple of the one that is improbable of a runner at work: with events of
    /// n streams at independent phases, none comes in a part x of their interval with probability (1 - x)^n.
    double relativeSilence(const Runner& runner, TimePoint now)
    {
        const double part = 1 - std::pow(errorProbability, 1 / static_cast<double>(runner.streams));
        const double improbable = part * static_cast<double>(runner.longestDue.count());
        const auto silence = static_cast<double>((now - runner.lastEvent).count());
        return silence / std::max(improbable, static_cast<double>(minSilence.count()));
    }

    /// Collects the runners that explain why streams have stopped.
    class Explanation {
    public:
        Explanation(const Runners& runners, std::size_t streamCount, TimePoint now)
            : m_runners(runners)
            , m_explained(streamCount, false)
            , m_now(now)
        {
        }

        std::size_t countUnexplained(const Runner& runner) const
        {
            return static_cast<std::size_t>(std::count_if(
                runner.overdue.begin(), runner.overdue.end(), [&](std::size_t index) { return !m_explained[index]; }));
        }

        void add(const EndpointId& id, bool isCertain)
        {
            const Runner& runner = m_runners.at(id);
            m_found.push_back({ id, runner.overdue.size(), m_now - runner.lastEvent, isCertain });
            for (const std::size_t index : runner.overdue)
                m_explained[index] = true;
        }

        /// Adds the runners that alone can explain one of the streams.
        void addDefinite()
        {
            std::map<std::size_t, std::vector<EndpointId>> candidates;
            for (const auto& [id, runner] : m_runners) {
                for (const std::size_t index : runner.overdue)
                    candidates[index].push_back(id);
            }
            std::set<EndpointId> definite;
            for (const auto& [index, ids] : candidates) {
                if (ids.size() == 1 && m_runners.at(ids.front()).overdue.size() >= SilentStages::minStreams)
                    definite.insert(ids.front());
            }
            for (const EndpointId& id : definite)
                add(id, true);
        }

        /// Adds the runner that explains most of the remaining streams, and those that explain as many.
        /// \return Whether there was one.
        bool addMostLikely()
        {
            std::size_t most = SilentStages::minStreams;
            std::vector<Runners::const_iterator> tied;
            for (auto runner = m_runners.cbegin(); runner != m_runners.cend(); ++runner) {
                const std::size_t count = countUnexplained(runner->second);
                if (count > most)
                    tied.clear();
                if (count >= most)
                    tied.push_back(runner);
                most = std::max(most, count);
            }
            std::sort(tied.begin(), tied.end(), [&](const auto& a, const auto& b) {
                return relativeSilence(a->second, m_now) > relativeSilence(b->second, m_now);
            });
            tied.resize(std::min(tied.size(), SilentStages::maxTied));
            for (const auto& runner : tied)
                add(runner->first, false);
            return !tied.empty();
        }

        std::vector<SilentStage> found() const { return m_found; }

    private:
        const Runners& m_runners;
        std::vector<bool> m_explained;
        TimePoint m_now;
        std::vector<SilentStage> m_found;
    };

} // namespace

bool SilentStages::isOverdue(const StreamObservation& stream, TimePoint now)
{
    const Duration margin = stream.hasEventOnPath ? Duration::zero() : readingMargin;
    return stream.dueAfter > Duration::zero() && now - stream.lastEvent > stream.dueAfter + margin;
}

std::vector<SilentStage> SilentStages::find(const std::vector<StreamObservation>& streams, TimePoint now)
{
    Runners runners;
    bool isAnyFlowing = false;
    bool isAnyOverdue = false;
    for (std::size_t index = 0; index < streams.size(); ++index) {
        const StreamObservation& stream = streams[index];
        // A stream without an interval shows that its runners work only once it has events.
        if (stream.dueAfter == Duration::zero())
            continue;
        const bool overdue = isOverdue(stream, now);
        isAnyOverdue = isAnyOverdue || overdue;
        isAnyFlowing = isAnyFlowing || !overdue;
        for (const PathStage& stage : *stream.path) {
            Runner& runner = runners[stage.runner];
            runner.lastEvent = std::max(runner.lastEvent, stream.lastEvent);
            runner.longestDue = std::max(runner.longestDue, stream.dueAfter);
            ++runner.streams;
            if (overdue)
                runner.overdue.push_back(index);
        }
    }
    if (!isAnyOverdue || !isAnyFlowing)
        return {};
    std::erase_if(runners, [&](const auto& item) { return relativeSilence(item.second, now) < 1; });

    Explanation explanation(runners, streams.size(), now);
    explanation.addDefinite();
    while (explanation.found().size() <= maxRunners && explanation.addMostLikely()) { }
    const std::vector<SilentStage> found = explanation.found();
    return found.size() <= maxRunners ? found : std::vector<SilentStage>();
}

} // namespace fuchsialb
