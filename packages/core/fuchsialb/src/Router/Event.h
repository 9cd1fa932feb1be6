#pragma once

#include "../Claims/ClaimLog.h"
#include "../Member/Membership.h"
#include "Message.h"

#include <variant>

namespace fuchsialb {

struct RequestArrived {
    Request request;
};

struct CallerGone {
    RequestId request;
};

struct PeerReceived {
    HostId from;
    PeerMessage message;
};

struct TokenReceived {
    RequestId request;
    AttemptId attempt;
    Epoch epoch;
    std::uint32_t position = 0;
    std::string text;
};

struct RunFinished {
    RequestId request;
    AttemptId attempt;
    Epoch epoch;
    std::string finishReason;
};

struct RunFailed {
    RequestId request;
    AttemptId attempt;
    Epoch epoch;
    std::uint32_t stage = 0;
    FailureProof proof = FailureProof::MayHaveRun;
    Reason reason = Reason::StageFailed;
};

struct StateMoved {
    RequestId request;
    AttemptId attempt;
    Epoch epoch;
    bool succeeded = false;
};

struct ServiceReplied {
    RequestId request;
    AttemptId attempt;
    std::uint32_t httpStatus = 0;
    std::string contentType;
    std::string body;
};

struct ServiceFailed {
    RequestId request;
    AttemptId attempt;
    FailureProof proof = FailureProof::MayHaveRun;
    Reason reason = Reason::EndpointFailed;
};

struct CacheChanged {
    EndpointId endpoint;
    std::uint64_t prefixHash = 0;
    bool held = false;
};

struct HostsListed {
    std::vector<ListedHost> hosts;
};

struct DrainRequested { };

/// \brief Time passed; delivered at least every 10 ms.
struct Tick { };

using Event = std::variant<RequestArrived, CallerGone, PeerReceived, TokenReceived, RunFinished, RunFailed, StateMoved,
    ServiceReplied, ServiceFailed, LoadReport, CacheChanged, StoreAnswer, HostsListed, DrainRequested, Tick>;

} // namespace fuchsialb
