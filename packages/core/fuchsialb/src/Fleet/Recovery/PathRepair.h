#pragma once

#include "../../Base/Ids.h"
#include "../Admission/LoadLedger.h"

#include <map>
#include <set>
#include <string_view>

namespace fuchsialb {

/// \brief The stages of a stream's path that have to be replaced, and what refused orders tell of them.
///
/// A runner that was ordered to hold other layers serves the streams that pass through it to their end, but refuses an
/// order that names the layers that it no longer holds. Such a stage has to be replaced together with the one that
/// leaves. An order whose refusal tells nothing new would be refused again and isn't repeated.
class PathRepair {
public:
    /// Records that a stage drains or, if `dead`, has ended or is cut off.
    void add(const EndpointId& stage, bool dead);
    void clear() { m_stages.clear(); }
    bool empty() const { return m_stages.empty(); }
    /// \return Whether a stage to be replaced is dead, so that the stream makes no progress without another path.
    bool hasDeadStage() const { return !deadStages().empty(); }
    std::set<EndpointId> stages() const;
    std::set<EndpointId> deadStages() const;

    /// Records that the stages found dead are alive; those that drain are still to be replaced.
    void discardDead();
    /// Records that an order replaced these stages.
    void recordDone(const std::set<EndpointId>& replaced);

    enum class Refusal : unsigned char {
        /// A stage that the order left as it was is to be replaced as well.
        ReplaceMore,
        /// The runner at fault is a new stage, which another order is to avoid.
        AvoidNewStage,
        /// Another order would be refused as well.
        GiveUp,
    };

    /// \param previous The path in use.
    /// \param ordered The path that was refused.
    /// \param faultAddress Address of the runner that can't serve its stage; empty if none was reported.
    Refusal recordRefusal(const Path& previous, const Path& ordered, std::string_view faultAddress);

private:
    struct Stage {
        /// It drains, or no longer holds its layers.
        bool leaves = false;
        /// It seems to have ended or to be cut off.
        bool dead = false;
    };

    std::map<EndpointId, Stage> m_stages;
};

} // namespace fuchsialb
