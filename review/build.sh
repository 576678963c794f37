#!/bin/sh
# Builds the stand-ins of the cases: they are Python files, run by the interpreter that the deploy file's build makes.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m compileall -q review/standins
