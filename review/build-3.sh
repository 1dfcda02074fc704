#!/usr/bin/env bash
# Checks the stand-ins of the cases from 11 on. They are Python programs, run
# by the interpreter and with the packages that the build of the deploy file
# uses, so that nothing is left to compile or to install.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 - <<'CHECK'
import importlib

for name in (
    'case', 'memory', 'platform', 'record', 'sampler', 'store', 'trainer',
):
    importlib.import_module(f'review.common_3.{name}')
print('the stand-ins are ready')
CHECK
