#!/bin/sh
# Builds what the cases start besides the balancer. The stand-ins are Python of the standard library,
# run by the interpreter that the build of the deploy file made: they are only checked to compile.
set -e
cd "$(dirname "$0")/.."
exec .venv/bin/python - <<'PY'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
