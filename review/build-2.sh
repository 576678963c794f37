#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python, so only bytecode is made, where that is possible.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -m compileall -q review/standins_2 || true
.venv/bin/python -c "import msgspec, uvloop, h11"
