"""Shrinks a failing scenario while it fails alike: fewer faults, a shorter schedule, a smaller fleet."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from math import ceil
from typing import Any

import msgspec
import tomli_w

from holdgw.harness.scenario import Scenario, ScenarioError, read_scenario
from holdgw.simulation.fleet_run import Outcome

MARGIN_S = 0.5  # of the schedule, kept after the violation

Replay = Callable[[Scenario], Outcome]


def _fewer_faults(scenario: Scenario) -> Iterator[Scenario]:
    """Leave out halves of the faults, then smaller parts (delta debugging: Zeller and Hildebrandt, 2002)."""
    count = len(scenario.trouble)
    size = count
    while size >= 1:
        for start in range(0, count, size):
            remaining = scenario.trouble[:start] + scenario.trouble[start + size :]
            if len(remaining) < count:
                yield msgspec.structs.replace(scenario, trouble=remaining)
        size = size // 2


def _shorter(scenario: Scenario, outcome: Outcome) -> Iterator[Scenario]:
    """End the schedule shortly after the first violation, then at half and at four fifths of its length."""
    ends = [max(violation.at - outcome.begun, 0.0) + MARGIN_S for violation in outcome.broken[:1]]
    ends += [scenario.length_s / 2, scenario.length_s * 0.8]
    for end in ends:
        length = ceil(end * 10) / 10
        if 0 < length < scenario.length_s:
            yield scenario.cut(length)


def _smaller_load_and_fleet(scenario: Scenario) -> Iterator[Scenario]:
    """Reduce the request rate or the fleet, or leave out the emulator's prelude."""
    for share in (0.25, 0.5, 0.75):
        load = msgspec.structs.replace(scenario.load, rate=round(scenario.load.rate * share, 1))
        if load.rate >= 1:
            yield msgspec.structs.replace(scenario, load=load)
    fleet = scenario.fleet
    for nodes, routers in ((fleet.nodes // 2, fleet.routers), (fleet.nodes, fleet.routers - 1)):
        if nodes >= 1 and routers >= 1:
            smaller_fleet = msgspec.structs.replace(fleet, nodes=nodes, routers=routers)
            with contextlib.suppress(ValueError):  # a fault names more than this fleet has
                yield msgspec.structs.replace(scenario, fleet=smaller_fleet)
    if scenario.emulator.prelude_s:
        emulator = msgspec.structs.replace(scenario.emulator, prelude_s=0.0)
        yield msgspec.structs.replace(scenario, emulator=emulator)


def _valid(scenario: Scenario) -> bool:
    """Whether a file with this scenario loads: a smaller fleet may lack servers that a fault names."""
    try:
        read_scenario(as_toml(scenario), "shrunk")
    except ScenarioError:
        return False
    return True


def shrink(
    scenario: Scenario,
    outcome: Outcome,
    replay: Replay,
    on_progress: Callable[[Scenario, int], None] = lambda _scenario, _runs: None,
    max_runs: int = 200,
) -> tuple[Scenario, Outcome]:
    """Find the smallest scenario for which `replay` breaks the same rule first.

    `on_progress` is called after each smaller scenario that still fails, with that scenario and the number of
    runs so far.
    """
    runs, broken_rule = 0, outcome.first
    progress = True
    while progress and runs < max_runs:
        progress = False
        for candidates in (
            _fewer_faults(scenario),
            _shorter(scenario, outcome),
            _smaller_load_and_fleet(scenario),
        ):
            for smaller in candidates:
                if runs >= max_runs:
                    break
                if not _valid(smaller):
                    continue
                runs += 1
                smaller_outcome = replay(smaller)
                if smaller_outcome.first == broken_rule:
                    scenario, outcome, progress = smaller, smaller_outcome, True
                    on_progress(scenario, runs)
                    break
    return scenario, outcome


def _differences(value: Any, defaults: Any) -> Any:
    if isinstance(value, dict) and isinstance(defaults, dict):
        nested = {
            name: _differences(nested_value, defaults.get(name)) for name, nested_value in value.items()
        }
        return {
            name: nested_value for name, nested_value in nested.items() if nested_value is not None
        } or None
    return None if value == defaults else value


def as_toml(scenario: Scenario) -> str:
    """Return the scenario as a TOML file that replays it; settings at their defaults are left out."""
    values = msgspec.to_builtins(scenario)
    defaults = msgspec.to_builtins(
        Scenario(name=scenario.name, length_s=scenario.length_s, load=scenario.load)
    )
    always = {
        "name": values["name"],
        "length_s": values["length_s"],
        "seed": values["seed"],
        "load": values["load"],
    }
    rest = {name: _differences(value, defaults[name]) for name, value in values.items() if name not in always}
    return tomli_w.dumps({**always, **{name: value for name, value in rest.items() if value is not None}})
