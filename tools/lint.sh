#!/usr/bin/env bash
# Formatter and linter over all files of ours; LINT_FILES limits the linter to a pattern.
set -eu
build=${1:-build}
git ls-files '*.cpp' '*.h' | grep -v '_generated.h' | xargs clang-format --dry-run --Werror
echo "format: clean"
pattern=${LINT_FILES:-'/(src|platform|standins|bench|tests)/'}
run-clang-tidy -quiet -p "$build" "$pattern" > "$build/lint.log" 2>&1 || { grep -E 'warning:|error:' "$build/lint.log" | sort -u; exit 1; }
echo "lint: clean"
