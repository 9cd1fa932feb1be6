#include "OrderOwnership.h"

#include <algorithm>
#include <utility>

namespace fuchsialb::internal {

OrderOwnership::OrderOwnership(std::string owner, const EndpointId& endpoint, const OrderOptions& options)
    : m_owner(std::move(owner))
    , m_key("orders/" + endpoint.value())
    , m_options(options)
{
}

bool OrderOwnership::operator==(const OrderOwnership& other) const
{
    return m_inFlight == other.m_inFlight && m_unresolved == other.m_unresolved && m_record == other.m_record
        && m_version == other.m_version && m_seen == other.m_seen && m_fence == other.m_fence
        && m_validUntil == other.m_validUntil && m_quietUntil == other.m_quietUntil
        && m_raiseFence == other.m_raiseFence && m_notBefore == other.m_notBefore && m_writes == other.m_writes;
}

bool OrderOwnership::waits(TimePoint now)
{
    if (!m_inFlight)
        return now < m_notBefore;
    if (now < m_inFlight->sent + m_options.storeTimeout)
        return true;
    onAnswer({ m_inFlight->operation, StoreAnswer::Kind::Lost, {}, {} }, now);
    return now < m_notBefore;
}

TimePoint OrderOwnership::otherLeaseEnd() const
{
    if (m_options.fault == OrderFault::IgnoreLease)
        return m_seen;
    const auto margin
        = static_cast<Duration::rep>(static_cast<double>(m_record->lease.count()) * m_options.clockMargin);
    return m_seen + m_record->lease + Duration(margin);
}

std::optional<OrderOperation> OrderOwnership::acquire(TimePoint now, Duration needed, StoreOperationId operation)
{
    if (waits(now) || (holds(now + needed) && !m_raiseFence))
        return std::nullopt;
    if (!m_record)
        return read(now, operation);
    OrderRecord next { m_owner, m_record->fence, m_options.lease, 0 };
    const bool renews = m_validUntil && mine(*m_record) && m_record->fence == m_fence;
    if (renews) {
        if (m_raiseFence)
            ++next.fence;
        return write(now, next, false, operation);
    }
    // A record of this very process that it doesn't know to own came from a write whose answer was lost long ago.
    const bool free = m_record->owner.empty() || mine(*m_record);
    if (!free && now < otherLeaseEnd()) {
        // Read again meanwhile: the owner may have renewed or released.
        m_notBefore = std::min(now + m_options.retryPause, otherLeaseEnd());
        return read(now, operation);
    }
    if (m_options.fault != OrderFault::KeepFence || m_record->owner.empty())
        ++next.fence;
    return write(now, next, !free, operation);
}

std::optional<OrderOperation> OrderOwnership::release(TimePoint now, StoreOperationId operation)
{
    // A release says that no order of an earlier owner can still arrive.
    if (waits(now) || !m_validUntil || now < m_quietUntil)
        return std::nullopt;
    if (!holds(now)) {
        lose();
        return std::nullopt;
    }
    if (!m_record)
        return read(now, operation);
    const OrderRecord next { "", m_record->fence, Duration(0), 0 };
    // From here on nothing is issued, whatever becomes of the write.
    m_validUntil.reset();
    return write(now, next, false, operation);
}

std::optional<OrderOperation> OrderOwnership::read(TimePoint now, StoreOperationId operation)
{
    m_inFlight = InFlight { operation, now, std::nullopt, false };
    return StoreRead { operation, m_key };
}

std::optional<OrderOperation> OrderOwnership::write(
    TimePoint now, OrderRecord record, bool takesOver, StoreOperationId operation)
{
    record.write = ++m_writes;
    std::string value = encodeOrderRecord(record);
    m_inFlight = InFlight { operation, now, std::move(record), takesOver };
    return StoreCompareAndSwap { operation, m_key, m_version, std::move(value) };
}

bool OrderOwnership::onAnswer(const StoreAnswer& answer, TimePoint now)
{
    if (!m_inFlight || m_inFlight->operation != answer.operation)
        return false;
    const InFlight done = *std::exchange(m_inFlight, std::nullopt);
    switch (answer.kind) {
    case StoreAnswer::Kind::Ok:
        if (done.written) {
            see(answer.version, *done.written, now);
            own(done, now);
        } else if (const auto record = decodeOrderRecord(answer.value)) {
            see(answer.version, *record, now);
            if (m_unresolved && m_unresolved->written == record)
                own(*m_unresolved, now);
            m_unresolved.reset();
        } else {
            m_notBefore = now + m_options.retryPause;
        }
        break;
    case StoreAnswer::Kind::Missing:
        see(KeyVersion(), OrderRecord(), now);
        m_unresolved.reset();
        break;
    case StoreAnswer::Kind::Conflict:
        m_record.reset();
        break;
    case StoreAnswer::Kind::Lost:
        if (done.written)
            m_unresolved = done;
        [[fallthrough]];
    case StoreAnswer::Kind::Failed:
        m_record.reset();
        m_notBefore = now + m_options.retryPause;
        break;
    }
    return true;
}

void OrderOwnership::see(KeyVersion version, const OrderRecord& record, TimePoint now)
{
    if (version != m_version || m_seen == TimePoint())
        m_seen = now;
    m_version = version;
    m_record = record;
    if (!mine(record))
        m_validUntil.reset();
}

void OrderOwnership::own(const InFlight& write, TimePoint now)
{
    if (!mine(*write.written))
        return;
    m_raiseFence = m_raiseFence && write.written->fence == m_fence;
    m_fence = write.written->fence;
    m_validUntil = write.sent + m_options.lease;
    if (write.takesOver && m_options.fault != OrderFault::NoQuietTime)
        m_quietUntil = now + m_options.longestPause;
}

void OrderOwnership::lose()
{
    m_validUntil.reset();
    m_record.reset();
    m_raiseFence = false;
}

} // namespace fuchsialb::internal
