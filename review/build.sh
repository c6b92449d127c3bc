#!/usr/bin/env bash
# The stand-ins are Python and use the libraries of the deploy file's build:
# compiling shows that all of them are there.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q review tests/gateway/http_server.py \
    tests/gateway/store_standin.py tests/gateway/target_standin.py
PYTHONPATH=target/deps:. python3 -c 'import tests.gateway.target_standin'
