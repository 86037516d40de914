"""Draws a schedule from a scenario and a seed, without input or output."""

from __future__ import annotations

from holdgw.harness.arrivals import draw_arrivals, draw_prelude
from holdgw.harness.fault_schedule import draw_faults
from holdgw.harness.scenario import Scenario
from holdgw.harness.schedule import Schedule


def draw_schedule(scenario: Scenario, seed: int) -> Schedule:
    """Draw a run's requests and faults; the same scenario and seed give the same schedule."""
    requests = tuple(draw_prelude(scenario, seed)) + tuple(draw_arrivals(scenario, seed))
    steps, drawn_faults = draw_faults(scenario, seed)
    return Schedule(scenario, seed, requests, tuple(steps), tuple(drawn_faults))
