#!/usr/bin/env bash
echo "make bench: not built yet" >&2
exit 1
