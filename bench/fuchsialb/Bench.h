#pragma once

/// \file
/// Replay of workloads against the decision core, and slopes of its cost.

#include "src/Bench/CapacityCommand.h"
#include "src/Bench/ReplayCommand.h"
