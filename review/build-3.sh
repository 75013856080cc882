#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python programs without dependencies: there is
# nothing to compile. Checks that they can be read and that the programs are built.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'END'
import pathlib
for path in sorted(pathlib.Path("review").glob("standins-3/*.py")) + \
        sorted(pathlib.Path("review").glob("1[1-5]/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
test -x target/Source/Commands/filbertwall
