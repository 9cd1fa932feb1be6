#include "SharedRetryBudget.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    // A host learns of changes in the number of hosts with a delay, and hosts have unequal loads; the unused part keeps
    // the total below the limit.
    constexpr double usedFraction = 0.7;
    // The rest is kept for requests that fail.
    constexpr double spareFraction = 0.5;

} // namespace

void SharedRetryBudget::expire(TimePoint now)
{
    for (auto* times : { &m_requests, &m_retries }) {
        while (!times->empty() && now - times->front() >= m_limits.window)
            times->pop_front();
    }
}

void SharedRetryBudget::recordRequest(TimePoint now)
{
    expire(now);
    m_requests.push_back(now);
}

bool SharedRetryBudget::tryTake(TimePoint now, std::size_t hosts) { return tryTakeWithin(1, now, hosts); }

bool SharedRetryBudget::tryTakeSpare(TimePoint now, std::size_t hosts)
{
    return tryTakeWithin(spareFraction, now, hosts);
}

double SharedRetryBudget::allowedRetries(std::size_t hosts) const
{
    const double allowance = m_limits.allowance / static_cast<double>(std::max<std::size_t>(1, hosts));
    return usedFraction * (allowance + m_limits.ratio * static_cast<double>(m_requests.size()));
}

SharedRetryBudget::Usage SharedRetryBudget::usage(TimePoint now, std::size_t hosts)
{
    expire(now);
    return { static_cast<double>(m_retries.size()), allowedRetries(hosts) };
}

bool SharedRetryBudget::tryTakeWithin(double share, TimePoint now, std::size_t hosts)
{
    expire(now);
    if (static_cast<double>(m_retries.size()) + 1 > share * allowedRetries(hosts))
        return false;
    m_retries.push_back(now);
    return true;
}

void SharedRetryBudget::giveBack()
{
    if (!m_retries.empty())
        m_retries.pop_back();
}

} // namespace fuchsialb
