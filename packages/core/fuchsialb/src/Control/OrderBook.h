#pragma once

#include "../Config/Configuration.h"
#include "Order.h"

#include <absl/status/statusor.h>

#include <memory>
#include <vector>

namespace fuchsialb {

/// \brief Issues orders to endpoints, each endpoint by one owner at a time.
///
/// Sans I/O: operations come out of `takeOperations`, answers go into `onAnswer`, results come out of `takeDone`. The
/// owner of an endpoint is in the record `orders/<endpoint>` of the platform's store; see docs/design.md, section 8.
/// While the store is unreachable the lease ends and nothing is issued.
class OrderBook {
public:
    /// \param incarnation Rises with each start of this host, so that a restarted owner isn't taken for its former
    /// self.
    static absl::StatusOr<std::unique_ptr<OrderBook>> create(
        const HostId& self, Incarnation incarnation, const OrderOptions& options, const Clock& clock);

    virtual ~OrderBook() = default;

    /// Queues an order. Exactly one `OrderDone` follows.
    /// \param endpoint Must be the endpoint that the order names; says whether it checks fencing.
    virtual void submit(Order order, const Endpoint& endpoint) = 0;
    virtual void onAnswer(const StoreAnswer& answer) = 0;
    virtual void onAnswer(const EndpointAnswer& answer) = 0;
    /// Drives leases and timeouts. Called at least every 50 ms.
    virtual void tick() = 0;
    virtual std::vector<OrderOperation> takeOperations() = 0;
    virtual std::vector<OrderDone> takeDone() = 0;
    /// \return Whether nothing is queued, in flight or owned.
    virtual bool idle() const = 0;
};

} // namespace fuchsialb
