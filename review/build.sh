#!/usr/bin/env bash
# Prepares the stand-ins that the scripts start. They are Python programs of the standard library, so
# that there is nothing to compile; this checks that they can be read. The gate comes from the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import ast, glob, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for name in sorted(glob.glob("stand_ins/*.py") + glob.glob("[0-9]/*.py")):
    ast.parse(open(name, encoding="utf-8").read(), name)
    print(f"{name}: readable")
P
