#!/bin/sh
# Installs the pinned libraries and links the packages into target/deps.
set -eu
stamp=target/deps.stamp
if [ ! "$stamp" -nt deploy/requirements.txt ] || [ ! "$stamp" -nt constraints.txt ]; then
  rm -rf target/deps
  python3 -m pip install -q -t target/deps -r deploy/requirements.txt -c constraints.txt
  touch "$stamp"
fi
ln -sfn ../../packages/dogwoodhinge/src/dogwoodhinge target/deps/dogwoodhinge
ln -sfn ../../packages/dogwoodhinge/src/_dogwoodhinge target/deps/_dogwoodhinge
ln -sfn ../../platform/dogwoodhinge_platform target/deps/dogwoodhinge_platform
python3 -m compileall -q target/deps packages/dogwoodhinge/src platform/dogwoodhinge_platform || true
