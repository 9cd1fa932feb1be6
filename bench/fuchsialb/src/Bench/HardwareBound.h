#pragma once

#include "Workload.h"

#include <set>

namespace fuchsialb::bench {

/// \brief Most work that the runners of a workload can do, by their cost model alone.
///
/// With n sequences in the group, each layer range splits them over its runners so that the mean step is shortest. A
/// request then holds its sequence for prefill + answer x (steps of all ranges + links). The bound is the best n up to
/// the slots of the narrowest range. A shared prefix counts as cached.
class HardwareBound {
public:
    /// \param dead Runners that are left out.
    explicit HardwareBound(const Configuration& configuration, const std::set<EndpointId>& dead = {});

    /// \return Requests/s when the group serves nothing else.
    double requestsPerSecond(const Stream& stream) const;
    /// \return Seconds of the whole group that one token of the stream's answers costs.
    double secondsPerToken(const Stream& stream) const
    {
        return 1.0 / (requestsPerSecond(stream) * stream.answerTokens);
    }

private:
    /// Seconds of a token through all ranges, by the number of sequences in the group.
    std::vector<double> m_tokenSeconds;
    double m_promptTokenSeconds = 0;
};

} // namespace fuchsialb::bench
