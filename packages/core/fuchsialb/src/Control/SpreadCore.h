#pragma once

#include "ConfigurationSpread.h"
#include "HeadWatch.h"
#include "PeerPull.h"
#include "StoreFetch.h"
#include "VersionHolder.h"
#include "WatchDuty.h"

#include <memory>
#include <vector>

namespace fuchsialb::internal {

/// \brief The implementation of `ConfigurationSpread`: joins the watch, the two ways to fetch and the version rule.
class SpreadCore final : public ConfigurationSpread {
public:
    SpreadCore(HostId self, DataCentreId dataCentre, SpreadOptions options, const Clock& clock);

    void onMembers(const std::vector<Member>& members) override;
    void onStoreNews(const std::vector<StoreNews>& news) override;
    void onMessage(const HostId& from, const ConfigMessage& message) override;
    void onAnswer(const StoreAnswer& answer) override;
    void tick() override;

    std::shared_ptr<const Configuration> inForce() const override;
    SpreadStatus status() const override;
    std::vector<ControlOperation> takeOperations() override;
    std::vector<ConfigSend> takeSends() override;

private:
    ConfigurationVersion newestKnown() const;
    void proceed();
    void fetchFromStore(TimePoint now);
    void finishFetch(TimePoint now);
    void note(VersionHolder::Offer offer);
    StoreOperationId nextOperation() const { return StoreOperationId(m_operation + 1); }
    void emit(std::optional<ControlOperation> operation);

    SpreadOptions m_options;
    const Clock& m_clock;
    WatchDuty m_duty;
    HeadWatch m_watch;
    StoreFetch m_fetch;
    TimePoint m_fetchNotBefore;
    PeerPull m_pull;
    VersionHolder m_holder;
    TimePoint m_started;
    bool m_watching = false;
    std::optional<TimePoint> m_peerAnswered;
    std::uint64_t m_refused = 0;
    std::uint64_t m_operation = 0;
    std::vector<ControlOperation> m_operations;
    std::vector<ConfigSend> m_sends;
};

} // namespace fuchsialb::internal
