#pragma once

#include "../../Base/Clock.h"

#include <cstddef>
#include <memory>
#include <optional>

namespace fuchsialb {

/// \brief The time within which nearly all answers of a service lately came: a high percentile of their durations.
///
/// Two windows are kept, the current one and the one before. Each spans some time and enough answers for the
/// percentile, so that a host with few requests learns as well, only later. The larger of the two percentiles counts:
/// a service that gets slower raises it with the current window, one that gets faster lowers it a window later.
class HedgeDelay {
public:
    HedgeDelay();
    ~HedgeDelay();
    HedgeDelay(HedgeDelay&&) noexcept;
    HedgeDelay& operator=(HedgeDelay&&) noexcept;

    /// \param took Time from sending a request to its whole answer, or to the moment at which it was given up.
    void record(Duration took, TimePoint now);
    /// \return None before enough answers were seen, or if the last one is too long ago.
    std::optional<Duration> at(TimePoint now) const;

    /// Fewest answers of a window: one in 20 takes longer than the 95th percentile.
    static constexpr std::size_t minAnswers = 20;

private:
    struct Window;

    std::unique_ptr<Window> m_current;
    std::unique_ptr<Window> m_previous;
};

} // namespace fuchsialb
