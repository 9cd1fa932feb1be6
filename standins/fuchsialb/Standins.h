#pragma once

/// \file
/// Stand-ins of the systems around the router, for tests and trials: platform, engine, plain service and caller. They
/// hold state and faults and take no decisions of their own.

#include "src/Standins/Caller.h"
#include "src/Standins/Engine.h"
#include "src/Standins/Platform.h"
#include "src/Standins/Service.h"
