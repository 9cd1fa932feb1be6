#pragma once

#include "../Control/ConfigurationSpread.h"
#include "../Fleet/Beats/HostBeat.h"
#include "../Member/Membership.h"
#include "Request.h"

#include <string>
#include <variant>
#include <vector>

namespace fuchsialb {

/// \brief An entry daemon hands a request to the scheduler of `group`.
///
/// Sent again until it is accepted; a scheduler that knows the submission answers as to `Inquire`.
struct Submit {
    GroupId group;
    Request request;
    /// Number of tokens of this submission that the entry daemon has.
    std::uint32_t received = 0;

    bool operator==(const Submit&) const = default;
};

/// \brief The scheduler has taken the request over.
struct Accepted {
    RequestId request;
    std::uint32_t submission = 1;

    bool operator==(const Accepted&) const = default;
};

/// \brief The entry daemon has heard nothing for a while or has missed a message.
///
/// Answered with `Accepted` and everything from `received` on, so that a message lost on a broken connection is made
/// good, or with `NotKnown`.
struct Inquire {
    RequestId request;
    std::uint32_t submission = 1;
    /// Number of tokens of this submission that the entry daemon has.
    std::uint32_t received = 0;

    bool operator==(const Inquire&) const = default;
};

/// \brief The scheduler does not know the submission, for instance because it was restarted.
struct NotKnown {
    RequestId request;
    std::uint32_t submission = 1;

    bool operator==(const NotKnown&) const = default;
};

/// \brief Tokens for the caller, in order from `position` on.
struct TokensDelivered {
    RequestId request;
    std::uint32_t submission = 1;
    std::uint32_t position = 0;
    std::vector<std::string> tokens;

    bool operator==(const TokensDelivered&) const = default;
};

/// \brief The one final answer of a submission.
struct Finished {
    RequestId request;
    std::uint32_t submission = 1;
    Result result;

    bool operator==(const Finished&) const = default;
};

/// \brief The request was not started; the entry daemon may submit it elsewhere.
struct Returned {
    RequestId request;
    std::uint32_t submission = 1;
    Reason reason = Reason::OwnershipMoved;

    bool operator==(const Returned&) const = default;
};

/// \brief The entry daemon no longer wants the answer of a submission.
struct CancelRequest {
    RequestId request;
    std::uint32_t submission = 1;

    bool operator==(const CancelRequest&) const = default;
};

using PeerMessage = std::variant<Probe, ProbeReply, ConfigPull, ConfigChunk, Submit, Accepted, Inquire, NotKnown,
    TokensDelivered, Finished, Returned, CancelRequest, HostBeat>;

} // namespace fuchsialb
