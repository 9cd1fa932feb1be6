#pragma once

/// \file
/// Decisions for fleets of runners that each hold a range of a model's layers: routing table, layer placement, path
/// selection, admission and stall detection. Performs no input or output.

#include "src/Fleet/AdmissionQueue.h"
#include "src/Fleet/AnswerCounter.h"
#include "src/Fleet/BeatExchange.h"
#include "src/Fleet/ConfigurationInForce.h"
#include "src/Fleet/CrashEvidence.h"
#include "src/Fleet/CrashReport.h"
#include "src/Fleet/DirectoryView.h"
#include "src/Fleet/EngineProfile.h"
#include "src/Fleet/HostBeat.h"
#include "src/Fleet/HostCells.h"
#include "src/Fleet/HostDirectory.h"
#include "src/Fleet/HostPauseDetector.h"
#include "src/Fleet/LinkBudget.h"
#include "src/Fleet/LoadLedger.h"
#include "src/Fleet/PathFinder.h"
#include "src/Fleet/PathRepair.h"
#include "src/Fleet/PlacementDriver.h"
#include "src/Fleet/PlacementPlanner.h"
#include "src/Fleet/RequestRateAdmission.h"
#include "src/Fleet/RequestRateLimits.h"
#include "src/Fleet/RoutingTable.h"
#include "src/Fleet/RunHistory.h"
#include "src/Fleet/RunnerDirectory.h"
#include "src/Fleet/SharedRetryBudget.h"
#include "src/Fleet/StallControl.h"
#include "src/Fleet/StallDetector.h"
