"""Measures how well a rehearsal repeats: `python -m bench.rehearsal_repeat [SCENARIO] [--times N]`.

Runs the same schedule several times; prints each run's figures and the emulator's lag, and the largest
deviation from the mean.
"""

from __future__ import annotations

import argparse
import json
from pathlib import Path
from typing import Any

import uvloop

from holdgw.harness.deployment import build, run_command
from holdgw.harness.orchestrator import play
from holdgw.harness.report import make_report
from holdgw.harness.scenario import load_scenario
from holdgw.harness.schedule_drawing import draw_schedule

ROOT = Path(__file__).resolve().parent.parent
REPORT_FIELDS = (
    *("service", "asked", "served", "in_aim", "refused", "failed", "p50_ms", "p99_ms"),
    *("origin_fetches", "attempts", "rules", "void"),
)


def play_once(deploy: Path, scenario: str, seed: int | None, seconds: float | None) -> dict[str, Any]:
    """Run a scenario once and return its figures."""
    loaded = load_scenario(scenario)
    if seconds is not None:
        loaded = loaded.cut(seconds)
    schedule = draw_schedule(loaded, loaded.seed if seed is None else seed)
    result = uvloop.run(play(schedule, run_command(deploy), ROOT))
    body = make_report(result).body
    lag = {"lag_p99_ms": body["emulator"]["p99_ms"], "lag_worst_ms": body["emulator"]["worst_ms"]}
    return {name: body[name] for name in REPORT_FIELDS} | lag


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("scenario", nargs="?", default="incident-130")
    parser.add_argument("--times", type=int, default=5)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--for", dest="seconds", type=float)
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    deploy = ROOT / "deploy/balancer.toml"
    build(deploy)
    runs = []
    for i in range(args.times):
        runs.append(play_once(deploy, args.scenario, args.seed, args.seconds))
        print(i + 1, *(f"{name}={value}" for name, value in runs[-1].items()), flush=True)
    for name in ("service", "served", "in_aim", "p50_ms", "p99_ms", "origin_fetches"):
        values = [run[name] for run in runs]
        mean = sum(values) / len(values)
        max_deviation = max(abs(value - mean) for value in values) / mean
        print(f"{name}: mean {mean:.4f}, farthest from it {max_deviation:.2%}")
    if args.json is not None:
        args.json.write_text(json.dumps(runs, indent=1))


if __name__ == "__main__":
    main()
