#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start, after the build of deploy/system.toml. Their
# stand-ins are Python programs, so that they are only checked here.
set -eu
cd "$(dirname "$0")/.."
test -x target/bin/camphorlug-gateway || {
  echo "target/bin/camphorlug-gateway is missing: run the build of deploy/system.toml first" >&2
  exit 2
}
for file in review/standins-3/*.py review/1[1-5]/*.py; do
  test -e "$file" || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
echo "the stand-ins are ready"
