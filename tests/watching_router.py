"""A router that also logs its observations and the load snapshots that it applies, for tests."""

from __future__ import annotations

import sys
import time

import orjson

from holdgw.peers.heavy_hitters import COUNTERS
from holdgw.peers.load_view import LoadSnapshot, Observations
from holdgw.router import __main__ as program
from holdgw.router.program import Program

OBSERVED, SNAPSHOT = "observed ", "snapshot "
"""Prefixes of the log lines; JSON follows."""


class _Recorder:
    """Logs the calls that the router's peer-to-peer part makes to its program, and passes them on."""

    def __init__(self) -> None:
        self._take, self._apply = Program.take_observations, Program.apply_load_snapshot

    def take_observations(self, router: Program) -> Observations:
        """Log and return the router's observations."""
        observations = self._take(router)
        response_times = {
            name: sampled.response_time for name, sampled in observations.response_times.items()
        }
        _write(OBSERVED, {"waits": response_times, "slots": dict(observations.slot_requests)})
        return observations

    def apply_load_snapshot(self, router: Program, snapshot: LoadSnapshot) -> None:
        """Log a load snapshot with the router's own samples and guaranteed slot counts, and apply it."""
        assert router.peers is not None
        assert router.peers.exchange is not None
        assert router.peers.exchange.client is not None
        now = time.monotonic_ns()
        views, load_view = router.peers.exchange.client.views, router.peers.load_view
        record = {
            "waits": {name: one.response_time for name, one in snapshot.response_times.items()},
            "shares": dict(snapshot.slot_shares),
            "requests": snapshot.requests,
            "own_requests": snapshot.own_requests,
            "own_slots": load_view.slot_counts.guaranteed(COUNTERS),
            "own_waits": [load_view.names[server] for server in load_view.own_response_times(now)],
            "fresh": [number for number, held in views._views.items() if held.is_fresh(now)],
        }
        _write(SNAPSHOT, record)
        self._apply(router, snapshot)


def _write(prefix: str, record: dict[str, object]) -> None:
    line = orjson.dumps({"at": time.monotonic(), **record}, option=orjson.OPT_NON_STR_KEYS)
    sys.stderr.write(f"{prefix}{line.decode()}\n")
    sys.stderr.flush()


if __name__ == "__main__":
    recorder = _Recorder()
    setattr(Program, "take_observations", lambda router: recorder.take_observations(router))  # noqa: B010
    setattr(Program, "apply_load_snapshot", lambda router, load: recorder.apply_load_snapshot(router, load))  # noqa: B010
    sys.exit(program.main())
