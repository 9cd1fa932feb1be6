#pragma once

#include "../Claims/ClaimLog.h"

#include <map>
#include <optional>
#include <utility>

namespace fuchsialb::internal {

/// \brief Gives store operations of several modules one number space and finds the module of an answer.
class StoreRouter {
public:
    struct Origin {
        /// The target whose claim log asked; empty for the configuration.
        TargetId target;
        StoreOperationId operation;
    };

    /// \return The operation's number towards the store client.
    StoreOperationId add(TargetId target, StoreOperationId operation)
    {
        const StoreOperationId outer(m_next++);
        m_origins.emplace(outer, Origin { std::move(target), operation });
        return outer;
    }

    /// \return The origin of an answer, once; none for a duplicate.
    std::optional<Origin> take(StoreOperationId outer)
    {
        auto node = m_origins.extract(outer);
        if (node.empty())
            return std::nullopt;
        return std::move(node.mapped());
    }

private:
    std::uint64_t m_next = 1;
    std::map<StoreOperationId, Origin> m_origins;
};

} // namespace fuchsialb::internal
