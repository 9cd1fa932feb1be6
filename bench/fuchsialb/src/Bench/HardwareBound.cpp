#include "HardwareBound.h"

#include <algorithm>
#include <limits>
#include <map>

namespace fuchsialb::bench {

namespace {

    struct Runner {
        double base = 0;
        double perSequence = 0;
        std::uint32_t slots = 0;
        std::uint32_t sequences = 0;

        double cost(double n) const { return n * (base + perSequence * n); }
        double nextCost() const
        {
            return sequences < slots ? cost(sequences + 1) - cost(sequences) : std::numeric_limits<double>::infinity();
        }
    };

    /// \return The mean step by number of sequences. The total is convex, so adding the cheapest next one is optimal.
    std::vector<double> meanSteps(std::vector<Runner> runners)
    {
        std::vector<double> steps { 0 };
        double total = 0;
        while (true) {
            const auto next = std::min_element(runners.begin(), runners.end(),
                [](const Runner& a, const Runner& b) { return a.nextCost() < b.nextCost(); });
            if (next == runners.end() || next->sequences >= next->slots)
                return steps;
            total += next->nextCost();
            ++next->sequences;
            steps.push_back(total / static_cast<double>(steps.size()));
        }
    }

} // namespace

HardwareBound::HardwareBound(const Configuration& configuration, const std::set<EndpointId>& dead)
{
    std::map<LayerRange, std::vector<Runner>> ranges;
    std::map<LayerRange, double> prefill;
    for (const auto& [id, endpoint] : configuration.endpoints) {
        ranges[endpoint.layers];
        if (dead.contains(id))
            continue;
        const AcceleratorKind& kind = configuration.acceleratorKinds.at(endpoint.acceleratorKind);
        const double layers = static_cast<double>(endpoint.layers.count()) / endpoint.accelerators;
        const auto seconds = [layers](auto each) { return layers * std::chrono::duration<double>(each).count(); };
        ranges[endpoint.layers].push_back(
            { seconds(kind.layerBase), seconds(kind.layerPerSequence), endpoint.maxConcurrency, 0 });
        const double prompt = seconds(kind.layerPerPromptToken);
        const auto found = prefill.emplace(endpoint.layers, prompt).first;
        found->second = std::min(found->second, prompt);
    }
    const LinkClass& link = configuration.linkClasses.begin()->second;
    const double delay = std::chrono::duration<double>(link.delay).count();
    const auto hidden = static_cast<double>(configuration.targets.begin()->second.hiddenState.value());
    const double hop = 2 * delay + hidden / link.bandwidth.value();
    m_tokenSeconds.assign(std::numeric_limits<std::uint16_t>::max(), hop * static_cast<double>(ranges.size() - 1));
    for (const auto& [layers, runners] : ranges) {
        const auto steps = meanSteps(runners);
        m_tokenSeconds.resize(std::min(m_tokenSeconds.size(), steps.size()));
        for (std::size_t n = 0; n < m_tokenSeconds.size(); ++n)
            m_tokenSeconds[n] += steps[n];
    }
    for (const auto& [layers, seconds] : prefill)
        m_promptTokenSeconds += seconds;
}

double HardwareBound::requestsPerSecond(const Stream& stream) const
{
    double best = 0;
    const double prefill = m_promptTokenSeconds * (stream.promptTokens - stream.sharedPrefix);
    for (std::size_t n = 1; n < m_tokenSeconds.size(); ++n)
        best = std::max(best, static_cast<double>(n) / (prefill + stream.answerTokens * m_tokenSeconds[n]));
    return best;
}

} // namespace fuchsialb::bench
