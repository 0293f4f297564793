#!/bin/sh
# Builds the stand-ins of review/4 to review/8.  They are plain Python and use
# the standard library only, so there is nothing to build: this checks that they
# compile and that the build of the deploy file is there.
cd "$(dirname "$0")/.." || exit 2
python3 - <<'PYTHON' || exit 2
import pathlib
files = [pathlib.Path('review/harness2.py'), *pathlib.Path('review').glob('[4-8]/*.py')]
for file in files:
    compile(file.read_text(), str(file), 'exec')
PYTHON
[ -d target/deps/wigeonreach ] || { echo 'target/deps is missing: run the build of deploy/system.toml' >&2; exit 2; }
