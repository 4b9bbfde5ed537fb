#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python of the standard library, compiled here ahead of the runs.
# Run after the build of the deploy file, with no network.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || exit 2
for each in review/peers_2.py review/server_2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    test ! -e "$each" || .venv/bin/python -m compileall -q "$each" || exit 1
done
