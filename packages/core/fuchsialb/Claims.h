#pragma once

/// \file
/// At-most-once claims of idempotency keys in the platform's key-value service.

#include "src/Claims/ClaimLog.h"
