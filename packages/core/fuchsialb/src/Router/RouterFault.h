#pragma once

namespace fuchsialb {

/// \brief Deliberate faults by which tests prove that their checkers work. Never set outside tests.
enum class RouterFault : unsigned char {
    None,
    /// Dispatches a non-idempotent request without a claim.
    SkipClaim,
    /// Releases the claim of a call whose outcome is unknown.
    ReleaseUnknown,
    /// Treats a submission to a lost scheduler as not run.
    ForgetLostSubmission,
    /// Delivers tokens although earlier ones are missing.
    IgnoreGap,
    /// Treats every failed call as not started.
    TrustEveryFailure,
    /// Delivers tokens of a submission that was replaced, wherever they belong.
    AcceptOldSubmission,
};

} // namespace fuchsialb
