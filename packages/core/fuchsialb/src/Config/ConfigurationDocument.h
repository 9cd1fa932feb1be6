#pragma once

#include "Configuration.h"

#include <nlohmann/json.hpp>

namespace fuchsialb::internal {

/// \return The configuration as the JSON document that `encodeConfiguration` writes.
nlohmann::json configurationDocument(const Configuration& configuration);

} // namespace fuchsialb::internal
