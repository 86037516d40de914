#!/bin/sh
# Builds the stand-ins of the second review's cases, after the build of the deploy file. They are Python sources
# that need nothing but the interpreter of .venv: they are compiled to byte code, and loaded once.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins_2.py review/deployment_2.py review/clients_2.py \
    review/6 review/7 review/8 review/9 review/10
PYTHONPATH=review .venv/bin/python -c "import clients_2, deployment_2, standins_2"
