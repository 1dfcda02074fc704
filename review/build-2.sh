#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start, after the build of the deploy
# file: the stand-ins are Python, so that it compiles and imports them.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import pathlib
import sys

for folder in ('review/common_2', *(f'review/{n}' for n in range(6, 11))):
    for path in sorted(pathlib.Path(folder).glob('*.py')):
        compile(path.read_bytes(), str(path), 'exec')
sys.path.insert(0, 'review/common_2')
import play

assert play.deployment and play.upstream
PYTHON
echo 'the stand-ins of cases 6 to 10 are built'
