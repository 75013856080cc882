#!/usr/bin/env bash
# Prepares the stand-ins that the scripts start. They are Python programs without
# dependencies, so they are only checked for errors of syntax.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py [1-5]/*.py <<'EOS'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
EOS
