#!/bin/sh
# Builds the stand-ins of the cases: they are Python and use the standard library only, so this checks them.
cd "$(dirname "$0")" || exit 2
exec ../.venv/bin/python -m compileall -q standins.py 1 2 3
