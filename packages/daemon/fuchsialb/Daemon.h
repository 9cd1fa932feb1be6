#pragma once

/// \file
/// The daemon fuchsialbd: settings, callers' and operators' HTTP, core thread, metrics and spans.

#include "src/Daemon/AdminFront.h"
#include "src/Daemon/Answers.h"
#include "src/Daemon/CallerFront.h"
#include "src/Daemon/CoreLoop.h"
#include "src/Daemon/Daemon.h"
#include "src/Daemon/Metrics.h"
#include "src/Daemon/RequestReader.h"
#include "src/Daemon/RequestTracer.h"
#include "src/Daemon/Settings.h"
#include "src/Daemon/TraceContext.h"
