"""`holdgw aggregate`: an aggregator of load reports on a machine of its own."""

from __future__ import annotations

import typer

from holdgw.router.aggregator_program import main as run_aggregator


def aggregate() -> None:
    """Aggregate routers' load reports, configured by LB_CONFIG, on a machine named in `peer_aggregators`."""
    raise typer.Exit(run_aggregator())
