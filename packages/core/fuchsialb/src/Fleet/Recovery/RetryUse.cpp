#include "RetryUse.h"

namespace fuchsialb {

ServiceRetries& ServiceRetries::operator+=(const ServiceRetries& other)
{
    requests += other.requests;
    retries += other.retries;
    waiting += other.waiting;
    return *this;
}

ServiceRetries RetryUse::of(const TargetId& service) const
{
    const auto found = services.find(service);
    return found == services.end() ? ServiceRetries() : found->second;
}

RetryUse& RetryUse::operator+=(const RetryUse& other)
{
    hosts += other.hosts;
    shares += other.shares;
    for (const auto& [service, use] : other.services)
        services[service] += use;
    return *this;
}

} // namespace fuchsialb
