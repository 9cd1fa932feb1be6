#include "BaselinePolicy.h"
#include "SchedulerPolicy.h"

namespace fuchsialb::bench {

const std::vector<std::string>& policyNames()
{
    static const std::vector<std::string> names { "fuchsialb", "round-robin", "least-outstanding", "two-choices",
        "fifo" };
    return names;
}

absl::StatusOr<std::unique_ptr<Policy>> makePolicy(const std::string& name, PolicyContext context)
{
    if (name == "fuchsialb")
        return SchedulerPolicy::create(std::move(context));
    if (name == "round-robin")
        return std::make_unique<BaselinePolicy>(BaselineKind::RoundRobin, std::move(context));
    if (name == "least-outstanding")
        return std::make_unique<BaselinePolicy>(BaselineKind::LeastOutstanding, std::move(context));
    if (name == "two-choices")
        return std::make_unique<BaselinePolicy>(BaselineKind::TwoChoices, std::move(context));
    return std::make_unique<BaselinePolicy>(BaselineKind::Fifo, std::move(context));
}

} // namespace fuchsialb::bench
