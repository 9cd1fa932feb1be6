#pragma once

#include "OrderOwnership.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace fuchsialb::internal {

/// \brief The orders to one endpoint, one at a time: own, wait out earlier owners, read the state, issue, confirm.
///
/// After a lost answer the state is read back. A fencing endpoint first gets a higher number, so that a late copy of
/// the order is refused once the next one has arrived. For an endpoint that ignores fencing the longest pause is waited
/// out first, so that no copy can arrive later. An order that isn't idempotent is never repeated.
class OrderLane {
public:
    OrderLane(const std::string& owner, EndpointId endpoint, bool checksFencing, const OrderOptions& options);

    void add(Order order);
    std::optional<OrderOperation> next(TimePoint now, StoreOperationId operation);
    bool onAnswer(const StoreAnswer& answer, TimePoint now) { return m_ownership.onAnswer(answer, now); }
    bool onAnswer(const EndpointAnswer& answer, TimePoint now);
    std::vector<OrderDone> takeDone();
    /// \return Whether nothing is queued, in flight or owned.
    bool idle() const { return m_queue.empty() && !m_inFlight && m_ownership.released(); }
    const OrderOwnership& ownership() const { return m_ownership; }

private:
    struct InFlight {
        StoreOperationId operation;
        TimePoint until;
        bool read = false;
    };

    void onState(const EndpointAnswer& answer, TimePoint now);
    void onOrder(const EndpointAnswer& answer, TimePoint now);
    void finish(Reason reason);
    bool applied(const EndpointAnswer& state) const;

    EndpointId m_endpoint;
    bool m_checksFencing;
    OrderOptions m_options;
    OrderOwnership m_ownership;
    std::deque<Order> m_queue;
    std::optional<InFlight> m_inFlight;
    TimePoint m_notBefore;
    /// Until when a lost order may still arrive at an endpoint that ignores fencing.
    TimePoint m_quietUntil;
    /// Fencing number under which the endpoint's state was read; empty when it must be read before the next order.
    std::optional<std::uint64_t> m_stateKnown;
    /// The first order was issued and its answer lost.
    bool m_lost = false;
    std::vector<OrderDone> m_done;
};

} // namespace fuchsialb::internal
