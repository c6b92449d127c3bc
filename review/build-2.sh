#!/bin/sh
# Builds the stand-ins that the scripts of this review start: they are Python,
# and need what the build line of deploy/system.toml puts into target/deps.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:. python3 -c 'import h11, tests.gateway.deployment' &&
    python3 -m compileall -q jacinthfold tests/gateway tools review/rig_2
