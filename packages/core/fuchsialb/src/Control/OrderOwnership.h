#pragma once

#include "Order.h"
#include "OrderRecord.h"

#include <optional>
#include <string>

namespace fuchsialb::internal {

/// \brief Ownership of one endpoint by its record in the store: a value type with pure transitions.
///
/// At most one store operation is in flight. Nothing here relies on an answer that did not come: the lease counts from
/// before a write, and a lost answer is resolved by reading the record back.
class OrderOwnership {
public:
    /// \param owner Host and incarnation; never empty.
    OrderOwnership(std::string owner, const EndpointId& endpoint, const OrderOptions& options);

    /// \return The next store operation towards owning the endpoint for at least `needed` from now, if one is due.
    std::optional<OrderOperation> acquire(TimePoint now, Duration needed, StoreOperationId operation);
    /// \return The next store operation towards giving the endpoint up, if one is due.
    std::optional<OrderOperation> release(TimePoint now, StoreOperationId operation);
    /// \return Whether the answer belongs to this ownership.
    bool onAnswer(const StoreAnswer& answer, TimePoint now);

    /// \return Whether the lease stands at `until`.
    bool holds(TimePoint until) const { return m_validUntil && until < *m_validUntil; }
    /// Forgets the ownership, after an endpoint showed a higher fencing number.
    void lose();
    /// Asks for a higher fencing number before the next order, after an order was lost.
    void raiseFence() { m_raiseFence = true; }
    bool raisesFence() const { return m_raiseFence; }
    std::uint64_t fence() const { return m_fence; }
    /// \return Until when a previous owner's orders may still arrive.
    TimePoint quietUntil() const { return m_quietUntil; }
    /// \return Whether no operation is in flight and nothing is owned.
    bool released() const { return !m_inFlight && !m_validUntil; }

    bool operator==(const OrderOwnership& other) const;

private:
    struct InFlight {
        StoreOperationId operation;
        TimePoint sent;
        /// Set for a write.
        std::optional<OrderRecord> written;
        /// The write takes the endpoint from another owner that didn't release it.
        bool takesOver = false;

        bool operator==(const InFlight&) const = default;
    };

    bool waits(TimePoint now);
    std::optional<OrderOperation> read(TimePoint now, StoreOperationId operation);
    std::optional<OrderOperation> write(TimePoint now, OrderRecord record, bool takesOver, StoreOperationId operation);
    void see(KeyVersion version, const OrderRecord& record, TimePoint now);
    void own(const InFlight& write, TimePoint now);
    bool mine(const OrderRecord& record) const { return record.owner == m_owner; }
    TimePoint otherLeaseEnd() const;

    std::string m_owner;
    std::string m_key;
    OrderOptions m_options;

    std::optional<InFlight> m_inFlight;
    /// A write whose answer was lost, until the record has been read back.
    std::optional<InFlight> m_unresolved;
    TimePoint m_notBefore;
    /// The record as last seen; empty before the first read and when it must be read again.
    std::optional<OrderRecord> m_record;
    KeyVersion m_version;
    /// When this version of the record was first seen.
    TimePoint m_seen;
    std::uint64_t m_fence = 0;
    std::optional<TimePoint> m_validUntil;
    TimePoint m_quietUntil;
    bool m_raiseFence = false;
    std::uint64_t m_writes = 0;
};

} // namespace fuchsialb::internal
