#pragma once

#include "RunnerModel.h"

#include <map>

namespace fuchsialb {

/// \brief The endpoints of one group.
class RunnerFleet {
public:
    explicit RunnerFleet(GroupId group)
        : m_group(std::move(group))
    {
    }

    /// Adds, updates and removes endpoints. Those added to a group at work begin with a slow start.
    void configure(const Configuration& configuration, TimePoint now);

    std::map<EndpointId, RunnerModel>& runners() { return m_runners; }
    const std::map<EndpointId, RunnerModel>& runners() const { return m_runners; }
    RunnerModel* find(const EndpointId& id);
    const RunnerModel* find(const EndpointId& id) const;

    /// Detects slow endpoints, ends suspensions and forgets removed endpoints without work.
    void tick(TimePoint now);

    /// \return Sequences that the group can run at once by the limits of now: the narrowest layer decides.
    std::uint32_t slots(TimePoint now) const;
    /// \return The same by the configured limits of all active endpoints.
    std::uint32_t configuredSlots() const;
    std::uint32_t inProgress() const;

private:
    template <typename Limit> std::uint32_t narrowest(Limit limit) const;
    void judgeSlowness(TimePoint now);

    GroupId m_group;
    std::map<EndpointId, RunnerModel> m_runners;
};

} // namespace fuchsialb
