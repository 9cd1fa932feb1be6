#pragma once

#include "Configuration.h"
#include "Inventory.h"
#include "Rules.h"

namespace fuchsialb {

/// \brief Joins inventory and rules and checks them against each other, for example for an unknown accelerator, layers
/// that don't cover a model, or an address that two endpoints share.
/// \return The configuration, with version 0: the version is given when it is applied.
Parsed<Configuration> buildConfiguration(const Inventory& inventory, const Rules& rules);

} // namespace fuchsialb
