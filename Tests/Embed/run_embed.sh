#!/usr/bin/env bash
# Installs a build, then builds and runs a program that uses the installed
# package.
# Usage: run_embed.sh BUILD_FOLDER SOURCE_FOLDER COMPILER_FLAGS
set -euo pipefail
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cmake --install "$1" --prefix "$work/prefix" >/dev/null
cmake -S "$2/Tests/Embed" -B "$work/build" -G Ninja \
  -DCMAKE_PREFIX_PATH="$work/prefix" -DCMAKE_CXX_FLAGS="$3" >/dev/null
cmake --build "$work/build" >/dev/null
"$work/build/embed"
# A lower layer must not be able to include the headers of a higher layer.
if echo '#include "Node/Node.h"' | c++ -std=c++20 -fsyntax-only -x c++ \
  -I"$1/include/Rules" -I"$1/include/Base" - 2>/dev/null; then
  echo "Layering error: Rules can include Node/Node.h"
  exit 1
fi
