#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python without dependencies, so
# this only checks that the interpreter of the deploy file can compile them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
print("stand-ins compile")
CHECK
