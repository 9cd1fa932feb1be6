#pragma once

/// \file
/// Configuration in force and orders to endpoints.

#include "src/Control/ConfigurationSpread.h"
