#pragma once

/// \file
/// Clients of the platform's key-value service and host list.

#include "src/Store/KeyValueService.h"
#include "src/Store/StoreClient.h"
