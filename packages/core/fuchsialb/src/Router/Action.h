#pragma once

#include "../Control/ConfigurationSpread.h"
#include "../Sched/Effect.h"
#include "Message.h"

#include <variant>

namespace fuchsialb {

struct SendPeer {
    HostId to;
    std::string address;
    PeerMessage message;
};

/// \brief `CallService` with the call itself.
struct ServiceCall {
    CallService call;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    std::string traceParent;
};

/// \brief Tells the endpoint clients which endpoints to poll for load and cache events.
struct PollEndpoints {
    struct Entry {
        EndpointId endpoint;
        TargetKind kind = TargetKind::Model;
        std::string address;

        bool operator==(const Entry&) const = default;
    };

    std::vector<Entry> endpoints;
};

/// \brief Everything in progress is finished after a drain; the process may exit.
struct SafeToStop { };

using Action = std::variant<DeliverToken, Finish, StartRun, CancelRun, ImportState, ReplayState, ServiceCall, StoreRead,
    StoreCompareAndSwap, StoreWatch, SendPeer, PollEndpoints, Decision, SafeToStop>;

} // namespace fuchsialb
