#pragma once

#include "ClaimShard.h"

#include <memory>
#include <vector>

namespace fuchsialb::internal {

/// \brief Spreads claims over shards.
class ClaimLogImpl final : public ClaimLog {
public:
    /// \param fault `None` outside tests.
    ClaimLogImpl(const TargetId& target, std::uint32_t shards, ClaimOptions options, const Clock& clock,
        ClaimFault fault = ClaimFault::None);

    void claim(RequestId request, AttemptId attempt, ClaimKey key, std::uint64_t bodyDigest) override;
    void settle(AttemptId attempt, ClaimKey key, Outcome outcome, std::uint32_t httpStatus) override;
    void onAnswer(const StoreAnswer& answer) override;
    void tick() override;
    std::vector<StoreOperation> takeOperations() override;
    std::vector<ClaimAnswered> takeAnswered() override;
    bool idle() const override;

private:
    ClaimShard& shardOf(const ClaimKey& key);

    ClaimOptions m_options;
    ClaimOutbox m_out;
    std::vector<std::unique_ptr<ClaimShard>> m_shards;
};

} // namespace fuchsialb::internal
