#!/usr/bin/env bash
# Counts the instructions of one scheduler decision (GroupScheduler::submit up to StartRun) in groups of 4, 8 and 16
# runners: bench/CapacityInstructions.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
decisions=1600
out=$(mktemp)
trap 'rm -f "$out"' EXIT
for runners in 4 8 16; do
    total=$(valgrind --tool=callgrind --callgrind-out-file="$out" \
        --toggle-collect='fuchsialb::internal::SchedulerBase::submit(fuchsialb::Request)' \
        "${1:-build}/bin/fuchsialb-bench" capacity --decisions-of "$runners" 2>&1 | sed -n 's/.*Collected : \([0-9]*\).*/\1/p')
    echo "$runners runners: $((total / decisions)) instructions a decision"
done
