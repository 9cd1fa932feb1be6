#pragma once

#include "CoreLoop.h"
#include "DecisionLog.h"
#include "Metrics.h"
#include "fuchsialb/Net.h"

#include <functional>
#include <memory>
#include <string>

namespace fuchsialb {

/// \brief Operators' side of a daemon: status, explain, drain and metrics.
class AdminFront {
public:
    struct Parts {
        const CoreLoop* core = nullptr;
        const DecisionLog* decisions = nullptr;
        const Metrics* metrics = nullptr;
        std::function<void()> drain;
        std::function<std::pair<std::uint64_t, std::uint64_t>()> peerBytes;
    };

    explicit AdminFront(Parts parts);

    void handle(const ServerRequest& request, const std::shared_ptr<HttpReply>& reply) const;

private:
    std::string statusJson() const;
    std::string explainJson(const ServerRequest& request) const;

    Parts m_parts;
};

} // namespace fuchsialb
