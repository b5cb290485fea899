#!/bin/sh
# Writes record.txt beside it. Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: no disruption.
here="$(cd "$(dirname "$0")" && pwd)"
test -x "$here/../../.venv/bin/python" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here/.." exec "$here/../../.venv/bin/python" "$here/case.py"
