# Every target sets up what it needs on a fresh clone.
.PHONY: rehearse test bench setup sites format types suite

PY := .venv/bin/python
SCENARIO ?= release-morning

rehearse: .venv/ready
	.venv/bin/holdgw rehearse $(SCENARIO) --html rehearsal.html

# The type check takes one core for a while, and the tests wait in part: side by side, each told whole.
test: .venv/ready
	$(MAKE) --no-print-directory -j 2 --output-sync=target format types suite

format: .venv/ready
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .

types: .venv/ready
	.venv/bin/mypy

suite: .venv/ready
	$(PY) -m pytest -q -n auto --dist loadgroup

bench: .venv/ready
	$(PY) -m bench.router_core

sites: .venv/ready
	$(PY) -m bench.site_variant

setup: .venv/ready

.venv/ready: requirements.txt requirements-tools.txt requirements-dev.txt pyproject.toml
	test -x $(PY) || python3 -m venv .venv
	.venv/bin/pip -q install --no-compile -r requirements-dev.txt
	.venv/bin/pip -q install --no-deps -e .
	touch $@
