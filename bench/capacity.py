"""Writes docs/CAPACITY.md from the measurements that are kept in bench/data: `python -m bench.capacity`.

`--check` compares the page with what would be written and ends with code 1 where they differ;
`--measure NAME` runs one measurement and keeps its JSON (`--list` names them); `requests` and `connections`
drive the deploy file's `run`, and take some two cores.
"""

from __future__ import annotations

import argparse
import importlib
import sys

from bench import capacity_scale
from bench.capacity_control import CONTROL_ROWS
from bench.capacity_page import number, page
from bench.capacity_path import PATH_ROWS
from bench.capacity_text import HEAD, UNKNOWNS
from bench.slopes import ROOT, load, store

PAGE = ROOT / "docs/CAPACITY.md"
ROWS = (*PATH_ROWS, *CONTROL_ROWS)
MEASUREMENTS = {
    "requests": "bench.slopes_requests:measure",
    "connections": "bench.slopes_connections:measure",
    "lists": "bench.slopes_lists:measure",
    "service": "bench.slopes_lists:measure_service",
    "view": "bench.slopes_view:measure",
    "aggregation": "bench.slopes_aggregation:measure",
    "slots": "bench.slopes_slots:measure",
    "keys": "bench.slopes_keys:measure",
    "limits": "bench.slopes_limits:measure",
    "membership": "bench.slopes_membership:measure",
    "failures": "bench.slopes_failures:measure",
    "regions": "bench.slopes_failures:measure_partition",
}
"""Where each measurement is; a module is loaded when it is asked for."""


def rendered() -> str:
    """The page as it is to be."""
    scale = capacity_scale.measured()
    rows = (*ROWS, *capacity_scale.rows(scale))
    return page(HEAD, rows, UNKNOWNS, load() | scale, capacity_scale.lines(number))


def measure(name: str) -> None:
    """Run a measurement and keep what it found."""
    module, function = MEASUREMENTS[name].split(":")
    store(getattr(importlib.import_module(module), function)())


def check() -> int:
    """Whether the page is what would be written; 0: it is."""
    if PAGE.exists() and PAGE.read_text() == rendered():
        return 0
    print("docs/CAPACITY.md is not what bench/data gives: run python -m bench.capacity", file=sys.stderr)
    return 1


def main() -> int:
    """The command line."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--check", action="store_true")
    words.add_argument("--list", action="store_true")
    words.add_argument("--measure", choices=sorted(MEASUREMENTS))
    told = words.parse_args()
    if told.check:
        return check()
    if told.list:
        print("\n".join(MEASUREMENTS))
    elif told.measure:
        measure(told.measure)
    else:
        PAGE.write_text(rendered())
    return 0


if __name__ == "__main__":
    sys.exit(main())
