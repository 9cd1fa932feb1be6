#pragma once

/// \file
/// Runs the fleet decisions of the core on one event loop: callers, runners, the key-value service and other hosts.

#include "src/Gateway/Gateway.h"
#include "src/Gateway/GatewaySettings.h"
#include "src/Gateway/Translator.h"
