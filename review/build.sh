#!/bin/sh
# Builds the stand-ins of the cases: Python files, which need only a check.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
for script in */*.py; do
  python3 -m compileall -q "$script"
done
