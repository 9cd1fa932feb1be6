#pragma once

#include "fuchsialb/Net.h"
#include "fuchsialb/Router.h"

#include <absl/status/statusor.h>

namespace fuchsialb {

/// \brief A caller's request with what only the front needs to answer it.
struct CallerRequest {
    Request request;
    bool stream = false;
};

/// \brief Reads completions and service calls of callers; see docs/calling.md.
class RequestReader {
public:
    /// \param request Its id is left for the caller of this function to set.
    /// \return `InvalidInput`, `OrganisationRequired` or `TargetUnknown` with what was read and what is accepted.
    static absl::StatusOr<CallerRequest> read(const ServerRequest& request, Rank defaultRank);
};

} // namespace fuchsialb
