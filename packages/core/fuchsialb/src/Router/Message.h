#pragma once

#include "../Control/ConfigurationSpread.h"
#include "../Member/Membership.h"
#include "Request.h"

#include <string>
#include <variant>
#include <vector>

namespace fuchsialb {

/// \brief An entry daemon hands a request to the scheduler of `group`.
struct Submit {
    GroupId group;
    Request request;
};

/// \brief Tokens for the caller, in order from `position` on.
struct TokensDelivered {
    RequestId request;
    std::uint32_t position = 0;
    std::vector<std::string> tokens;
};

/// \brief The one final answer of a submitted request.
struct Finished {
    RequestId request;
    Result result;
};

/// \brief The request was not started; the entry daemon may submit it elsewhere.
struct Returned {
    RequestId request;
    Reason reason = Reason::OwnershipMoved;
};

/// \brief The caller of a submitted request went away.
struct CancelRequest {
    RequestId request;
};

using PeerMessage = std::variant<Probe, ProbeReply, ConfigPull, ConfigChunk, Submit, TokensDelivered, Finished,
    Returned, CancelRequest>;

} // namespace fuchsialb
