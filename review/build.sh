#!/bin/sh
# The stand-ins of the cases are Python scripts and need only the standard library: building is compiling them.
set -e
cd "$(dirname "$0")"
../.venv/bin/python -m py_compile standins.py ./*/case.py
