#!/usr/bin/env bash
# Installs a build, and builds and runs a program against what was installed.
# Usage: run_embed.sh BUILD_FOLDER SOURCE_FOLDER COMPILER_FLAGS
set -euo pipefail
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cmake --install "$1" --prefix "$work/prefix" >/dev/null
cmake -S "$2/Tests/Embed" -B "$work/build" -G Ninja \
  -DCMAKE_PREFIX_PATH="$work/prefix" -DCMAKE_CXX_FLAGS="$3" >/dev/null
cmake --build "$work/build" >/dev/null
"$work/build/embed"
# A lower layer must not see a higher one.
if echo '#include "Node/Node.h"' | c++ -std=c++20 -fsyntax-only -x c++ \
  -I"$1/include/Rules" -I"$1/include/Base" - 2>/dev/null; then
  echo "Rules can include Node"
  exit 1
fi
