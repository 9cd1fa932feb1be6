#pragma once

/// \file
/// Runs the admission and routing logic of the core on one event loop, connected to callers, runners, the key-value
/// service and other hosts.

#include "src/Gateway/Gateway.h"
#include "src/Gateway/GatewaySettings.h"
#include "src/Gateway/Translator.h"
