#!/usr/bin/env bash
# Regenerates the FlatBuffers headers; needs Debian's flatbuffers-compiler. The result is committed.
set -eu
cd "$(dirname "$0")/../src/wire"
for schema in *.fbs; do
    flatc --cpp --scoped-enums "$schema"
    header=${schema%.fbs}_generated.h
    # The linter holds our names, not those of the generator.
    { echo "// NOLINTBEGIN"; cat "$header"; echo "// NOLINTEND"; } > "$header.new"
    mv "$header.new" "$header"
done
