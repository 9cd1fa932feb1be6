#pragma once

/// \file
/// Admission, fair queueing, route planning and recovery for one group of endpoints.

#include "src/Sched/Admission.h"
#include "src/Sched/Effect.h"
#include "src/Sched/FairQueue.h"
#include "src/Sched/GroupScheduler.h"
#include "src/Sched/PrefixIndex.h"
#include "src/Sched/RankShares.h"
#include "src/Sched/RecoveryPlanner.h"
#include "src/Sched/RetryBudget.h"
#include "src/Sched/RoutePlanner.h"
#include "src/Sched/RunnerFleet.h"
#include "src/Sched/RunnerModel.h"
