"""Generates docs/CAPACITY.md from the measurements stored in bench/data: `python -m bench.capacity`.

`--check` compares the page with the text that would be written, and exits with code 1 if they differ.
`--measure NAME` runs one measurement and stores its JSON; `--list` prints the names. The measurements
`requests` and `connections` drive the deploy file's `run`, and take about two cores.
"""

from __future__ import annotations

import argparse
import importlib
import sys

from bench import capacity_scale
from bench.capacity_control import CONTROL_ROWS
from bench.capacity_page import format_number, render
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
"""Module and function of each measurement; the module is imported only when the measurement is run."""


def render_page() -> str:
    """Return the text of the page for the stored measurements."""
    scale = capacity_scale.load_measurements()
    rows = (*ROWS, *capacity_scale.rows(scale))
    return render(HEAD, rows, UNKNOWNS, load() | scale, capacity_scale.run_tables(format_number))


def measure(name: str) -> None:
    """Run a measurement and store its result in bench/data."""
    module, function = MEASUREMENTS[name].split(":")
    store(getattr(importlib.import_module(module), function)())


def check() -> int:
    """Compare the page with the text that would be written; return 0 if they are equal, otherwise 1."""
    if PAGE.exists() and PAGE.read_text() == render_page():
        return 0
    print("docs/CAPACITY.md differs from bench/data: run python -m bench.capacity", file=sys.stderr)
    return 1


def main() -> int:
    """Run the command line and return its exit code."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--measure", choices=sorted(MEASUREMENTS))
    options = parser.parse_args()
    if options.check:
        return check()
    if options.list:
        print("\n".join(MEASUREMENTS))
    elif options.measure:
        measure(options.measure)
    else:
        PAGE.write_text(render_page())
    return 0


if __name__ == "__main__":
    sys.exit(main())
