#pragma once

/// \file
/// Admission, fair queueing, route planning and recovery for one group of endpoints.

#include "src/Sched/Effect.h"
#include "src/Sched/GroupScheduler.h"
