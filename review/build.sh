#!/usr/bin/env bash
# Prepares what the scripts start besides the product. All of it is Python and
# runs on the packages of the deploy file's build, so compiling shows that it
# is complete.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    echo 'build deploy/system.toml first: target/deps is missing' >&2
    exit 2
fi
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONPYCACHEPREFIX="$PWD/target/review"
python3 -m compileall -q review standins
python3 -c 'import review.common.harness, review.common.client'
