#include "OrderLane.h"

#include <algorithm>
#include <utility>

namespace fuchsialb::internal {

OrderLane::OrderLane(const std::string& owner, EndpointId endpoint, bool checksFencing, const OrderOptions& options)
    : m_endpoint(std::move(endpoint))
    , m_checksFencing(checksFencing)
    , m_options(options)
    , m_ownership(owner, m_endpoint, options)
{
}

void OrderLane::add(Order order)
{
    if (!order.idempotent && !m_checksFencing) {
        m_done.push_back({ order.id, m_endpoint, Reason::InvalidInput });
        return;
    }
    m_queue.push_back(std::move(order));
}

std::optional<OrderOperation> OrderLane::next(TimePoint now, StoreOperationId operation)
{
    if (m_inFlight) {
        if (now < m_inFlight->until)
            return std::nullopt;
        EndpointAnswer lost;
        lost.operation = m_inFlight->operation;
        onAnswer(lost, now);
    }
    if (m_queue.empty())
        return m_ownership.release(now, operation);
    if (auto step = m_ownership.acquire(now, m_options.orderTimeout, operation))
        return step;
    if (!m_ownership.holds(now + m_options.orderTimeout) || m_ownership.raisesFence() || now < m_notBefore)
        return std::nullopt;
    if (!m_checksFencing && now < std::max(m_quietUntil, m_ownership.quietUntil()))
        return std::nullopt;
    const bool mustRead = m_stateKnown != m_ownership.fence();
    m_inFlight = InFlight { operation, now + m_options.orderTimeout, mustRead };
    if (mustRead)
        return EndpointRead { operation, m_endpoint };
    return EndpointOrder { operation, m_queue.front(), m_ownership.fence() };
}

bool OrderLane::onAnswer(const EndpointAnswer& answer, TimePoint now)
{
    if (!m_inFlight || m_inFlight->operation != answer.operation)
        return false;
    const bool read = std::exchange(m_inFlight, std::nullopt)->read;
    if (read)
        onState(answer, now);
    else
        onOrder(answer, now);
    return true;
}

bool OrderLane::applied(const EndpointAnswer& state) const
{
    const Order& order = m_queue.front();
    if (std::find(state.applied.begin(), state.applied.end(), order.id) != state.applied.end())
        return true;
    const auto setting = state.settings.find(order.kind);
    return order.idempotent && setting != state.settings.end() && setting->second == order.argument;
}

void OrderLane::onState(const EndpointAnswer& answer, TimePoint now)
{
    if (answer.kind != EndpointAnswer::Kind::Ok) {
        m_notBefore = now + m_options.retryPause;
        return;
    }
    m_stateKnown = m_ownership.fence();
    const bool mayRepeat = m_queue.front().idempotent || m_options.fault == OrderFault::RepeatLost;
    if (applied(answer))
        finish(Reason::Ok);
    else if (m_lost && !mayRepeat)
        finish(Reason::ConnectionLost);
}

void OrderLane::onOrder(const EndpointAnswer& answer, TimePoint now)
{
    switch (answer.kind) {
    case EndpointAnswer::Kind::Ok:
        finish(Reason::Ok);
        break;
    case EndpointAnswer::Kind::OldFence:
        m_ownership.lose();
        finish(Reason::OldFence);
        break;
    case EndpointAnswer::Kind::Refused:
        finish(Reason::EndpointRefused);
        break;
    case EndpointAnswer::Kind::NotSent:
        m_notBefore = now + m_options.retryPause;
        break;
    case EndpointAnswer::Kind::Lost:
        m_lost = true;
        m_stateKnown.reset();
        if (m_checksFencing)
            m_ownership.raiseFence();
        else
            m_quietUntil = now + m_options.longestPause;
        break;
    }
}

void OrderLane::finish(Reason reason)
{
    m_done.push_back({ m_queue.front().id, m_endpoint, reason });
    m_queue.pop_front();
    m_lost = false;
    // An endpoint that ignores fencing may have been changed by someone else since.
    if (!m_checksFencing)
        m_stateKnown.reset();
}

std::vector<OrderDone> OrderLane::takeDone() { return std::exchange(m_done, {}); }

} // namespace fuchsialb::internal
