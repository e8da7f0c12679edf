#!/usr/bin/env bash
# All stand-ins are Python programs; checks that they can be read. Needs python3 only.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'CHECK'
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
    print("ok", path)
CHECK
