#!/usr/bin/env bash
# Runs every experiment in under ten minutes and writes the report; for larger fleets call the program itself.
set -eu
build=${1:-build}
export FESCUENOTCH_BUILD=$PWD/$build
bench=$build/fescuenotch-bench
report=$build/report
experiment_limit=280 # s; for each experiment
failed=0
for name in $("$bench" list); do
    timeout "$experiment_limit" "$bench" "$name" --out "$report" || { echo "bench: $name failed or passed ${experiment_limit} s" >&2; failed=1; }
done
"$bench" report --out "$report"
exit $failed
