#pragma once

/// \file
/// Configuration in force and orders to endpoints.

#include "src/Control/ConfigurationSpread.h"
#include "src/Control/Order.h"
#include "src/Control/OrderBook.h"
#include "src/Control/Rollout.h"
