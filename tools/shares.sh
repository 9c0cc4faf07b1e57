#!/usr/bin/env bash
# Prints how the lines of code are shared out: tests, and routing, limits, retries, membership, state and recovery.
set -eu
count() {
    git ls-files "$@" | grep -E '\.(cpp|h|scn|sh)$' | grep -v '_generated.h' | xargs cat | wc -l
}
all=$(count src standins bench tests tools .ci)
tests=$(count tests)
core=$(count src/config src/spread src/request src/node)
echo "lines of code: $all"
echo "tests: $tests ($((100 * tests / all))%)"
echo "routing, limits, retries, membership, state and recovery (src/config, src/spread, src/request, src/node): $core ($((100 * core / all))%)"
