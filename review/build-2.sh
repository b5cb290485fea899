#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Needs no network.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q whinpier/testbed whinpier/cli review/harness_2.py review/radius_2.py \
    review/http_2.py review/6 review/7 review/8 review/9 review/10
