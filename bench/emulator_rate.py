"""Measures the emulator's highest request rate on a machine: `python -m bench.emulator_rate [--routers N]`.

Runs the quiet scenario at rising rates, with the same load on each node, until the 99th percentile of the
emulator's own lag is over 5 ms, one reading is over 40 ms, or the run is void for another reason. Prints a
line for each rate.
"""

from __future__ import annotations

import argparse
from pathlib import Path

import uvloop
from msgspec.structs import replace

from holdgw.harness.deployment import build, run_command
from holdgw.harness.orchestrator import play
from holdgw.harness.report import make_report
from holdgw.harness.scenario import load_scenario
from holdgw.harness.schedule_drawing import draw_schedule

ROOT = Path(__file__).resolve().parent.parent
NODE_RATE = 11.0  # requests a second for each node


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rates", type=float, nargs="*", default=[1000, 2000, 3000, 4000, 5000, 6000, 8000])
    parser.add_argument("--routers", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=10.0)
    args = parser.parse_args()
    deploy = ROOT / "deploy/balancer.toml"
    build(deploy)
    base = load_scenario("quiet").cut(args.seconds)
    for rate in args.rates:
        fleet = replace(base.fleet, nodes=int(rate / NODE_RATE), routers=args.routers)
        store = replace(base.store, per_s=rate / 3)
        keys = replace(base.keys, count=4000)
        scenario = replace(base, fleet=fleet, store=store, keys=keys, load=replace(base.load, rate=rate))
        result = uvloop.run(play(draw_schedule(scenario, 1), run_command(deploy), ROOT))
        body = make_report(result).body
        lag, rules = body["emulator"], body["rules"]
        busiest = max(lag["cpu_s"].items(), key=lambda pair: pair[1])
        print(
            f"{rate:.0f} a second, {fleet.nodes} nodes, {args.routers} routers: "
            f"lag p99 {lag['p99_ms']:g} ms, worst {lag['worst_ms']:g} ms ({lag['worker']}); "
            f"busiest {busiest[0]} {busiest[1]:.1f} CPU s; service {body['service']:.3f}, "
            f"rules {rules}, void {body['void'] or 'no'}",
            flush=True,
        )
        if body["void"]:
            break


if __name__ == "__main__":
    main()
