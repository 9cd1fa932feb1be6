#pragma once

/// \file
/// Types shared by every module: ids, units, clock, random generator, ranks, outcomes and typed errors.

#include "src/Base/Clock.h"
#include "src/Base/Hash.h"
#include "src/Base/Ids.h"
#include "src/Base/MemoryBudget.h"
#include "src/Base/Outcome.h"
#include "src/Base/PromptPartId.h"
#include "src/Base/Random.h"
#include "src/Base/Rank.h"
#include "src/Base/Reason.h"
#include "src/Base/Units.h"
