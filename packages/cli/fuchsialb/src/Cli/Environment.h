#pragma once

#include "Transport.h"

#include "fuchsialb/Base.h"

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief The client's whole input and output, as hooks.
struct Environment {
    Transport transport;
    std::function<absl::StatusOr<std::string>(const std::string& path)> readFile;
    std::function<void(std::string_view text)> out;
    std::function<void(std::string_view text)> err;
    std::function<void(Duration)> sleep;
    /// \return The value of an environment variable, if it is set.
    std::function<std::optional<std::string>(const std::string& name)> variable;
    const Clock* clock = nullptr;
};

} // namespace fuchsialb
