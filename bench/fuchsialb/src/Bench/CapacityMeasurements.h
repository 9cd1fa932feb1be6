#pragma once

#include "CapacityReport.h"

#include <cstdint>

namespace fuchsialb::bench {

// Each function measures one part of the daemon at several sizes and adds the series to the report. `quick` takes
// fewer sizes and shorter runs; repeatable quantities stay repeatable.

/// Membership, advertised loads and bridges; store calls of the configuration's watchers.
void measureMembership(CapacityReport& report, bool quick);
void measureWatchers(CapacityReport& report, bool quick);
/// Decisions of a group scheduler and of an entry daemon.
void measureDecisions(CapacityReport& report, bool quick);
/// Takes 1,600 decisions of a scheduler with `runners` runners and measures nothing; for a run under callgrind.
void takeDecisions(std::uint32_t runners);
/// Tokens through scheduler and entry tables, and what finished requests keep.
void measureTokens(CapacityReport& report, bool quick);
/// Store writes, bytes and memory of claims.
void measureClaims(CapacityReport& report, bool quick);
/// Encoding, decoding and memory of a configuration.
void measureConfiguration(CapacityReport& report, bool quick);

/// Works out the figures at the size to design for from the lines.
void addCapacityFigures(CapacityReport& report);

} // namespace fuchsialb::bench
