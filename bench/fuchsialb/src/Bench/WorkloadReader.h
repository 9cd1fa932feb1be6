#pragma once

#include "Workload.h"

#include <absl/status/statusor.h>

namespace fuchsialb::bench {

/// \brief Reads a workload file.
/// \return `InvalidInput` with the file and the field that is missing or wrong.
absl::StatusOr<Workload> readWorkload(const std::string& file);

} // namespace fuchsialb::bench
