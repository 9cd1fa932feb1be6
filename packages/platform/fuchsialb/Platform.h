#pragma once

/// \file
/// Client of the platform's key-value service and host list.

#include "src/Platform/StoreClient.h"
