#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start. All of them are Python and use its standard
# library only, so there is nothing to compile: this checks that they and the gateway can start.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else "Python 3.11 is needed")'
for file in review/standins-2/*.py review/{6,7,8,9,10}/case.py tests/process/platform_standins.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
[ -x target/bin/camphorlug-gateway ] ||
  { echo "target/bin/camphorlug-gateway is missing: run the build of deploy/system.toml" >&2; exit 1; }
