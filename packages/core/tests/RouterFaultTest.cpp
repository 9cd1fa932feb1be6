#include "support/ClusterScenario.h"

#include <catch2/catch.hpp>

using namespace fuchsialb;

// Guards against a checker that can't fail: each deliberate fault must be found.
TEST_CASE("The checker finds deliberate faults of the router")
{
    const auto fault = GENERATE(RouterFault::SkipClaim, RouterFault::ReleaseUnknown, RouterFault::ForgetLostSubmission,
        RouterFault::IgnoreGap, RouterFault::TrustEveryFailure, RouterFault::AcceptOldSubmission);
    constexpr std::uint64_t mostSeeds = 3000;
    std::uint64_t found = 0;
    for (std::uint64_t seed = 1; seed <= mostSeeds && found == 0; ++seed) {
        if (!playScenario(seed, fault).empty())
            found = seed;
    }
    INFO("fault " << static_cast<int>(fault) << " found at seed " << found);
    CHECK(found > 0);
}
