#pragma once

#include "../Base/Clock.h"
#include "../Base/Ids.h"
#include "../Base/Reason.h"
#include "../Claims/ClaimLog.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace fuchsialb {

/// Drawn by whoever wants the order, one for each order.
using OrderId = internal::StrongId<struct OrderTag, Bits128>;

enum class OrderKind : unsigned char {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    ChangeRole,
    Drain,
};

/// \brief An order to one endpoint.
struct Order {
    OrderId id;
    EndpointId endpoint;
    OrderKind kind = OrderKind::LoadVersion;
    /// Model, adapter, version or role.
    std::string argument;
    /// Whether carrying it out twice leaves the same state as once.
    bool idempotent = true;

    bool operator==(const Order&) const = default;
};

/// \brief Asks an endpoint for its settings and the orders that it has carried out.
struct EndpointRead {
    StoreOperationId operation;
    EndpointId endpoint;
};

/// \brief Posts an order to an endpoint.
struct EndpointOrder {
    StoreOperationId operation;
    Order order;
    /// Fencing number of the owner.
    std::uint64_t fence = 0;
};

using OrderOperation = std::variant<StoreRead, StoreCompareAndSwap, EndpointRead, EndpointOrder>;

/// \brief Answer of an endpoint to `EndpointRead` or `EndpointOrder`.
struct EndpointAnswer {
    enum class Kind : unsigned char {
        /// Read: `settings` and `applied` are set; order: carried out.
        Ok,
        /// The endpoint has seen a higher fencing number; the order was not carried out.
        OldFence,
        /// The endpoint refuses this order for good.
        Refused,
        /// Proved not to have been sent.
        NotSent,
        /// May have been carried out.
        Lost,
    };

    StoreOperationId operation;
    Kind kind = Kind::Lost;
    std::map<OrderKind, std::string> settings;
    /// Ids of the latest orders that were carried out.
    std::vector<OrderId> applied;
};

/// \brief How an order ended.
struct OrderDone {
    OrderId order;
    EndpointId endpoint;
    /// `Ok`: carried out. `OldFence`: another owner took over, not carried out by this one. `EndpointRefused`.
    /// `ConnectionLost`: it may have been carried out and must not be repeated. `InvalidInput`: never issued.
    Reason reason = Reason::Ok;

    bool operator==(const OrderDone&) const = default;
};

/// \brief Deliberate faults by which tests prove that their checkers work.
enum class OrderFault : unsigned char {
    None,
    /// A new owner keeps the fencing number of the previous one.
    KeepFence,
    /// Takes over without waiting for the end of the lease.
    IgnoreLease,
    /// Issues without the quiet time after a previous owner.
    NoQuietTime,
    /// Repeats an order that is not idempotent after a lost answer.
    RepeatLost,
};

struct OrderOptions {
    Duration lease { std::chrono::seconds(30) };
    /// Clocks of holder and observer may differ in rate by this fraction of the lease.
    double clockMargin = 0.05;
    /// An order without an answer for this long is lost.
    Duration orderTimeout { std::chrono::seconds(10) };
    Duration storeTimeout { std::chrono::seconds(1) };
    Duration retryPause { std::chrono::seconds(1) };
    /// The longest time between a decision of a process and its effect that is tolerated: a paused owner may post an
    /// order this long after its lease.
    Duration longestPause { std::chrono::seconds(10) };
    /// For tests only.
    OrderFault fault = OrderFault::None;
};

} // namespace fuchsialb
