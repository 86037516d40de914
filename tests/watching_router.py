"""A test double: the router as it is, which writes what it observes and what it goes by to its log."""

from __future__ import annotations

import sys
import time

import orjson

from holdgw.peers.heavy_hitters import COUNTERS
from holdgw.peers.load_view import LoadSnapshot, Observations
from holdgw.router import __main__ as program
from holdgw.router.program import Program

OBSERVED, SNAPSHOT = "observed ", "snapshot "
"""What its lines begin with; JSON follows."""


class _Watch:
    """Stands between the router's program and its peers."""

    def __init__(self) -> None:
        self._take, self._apply = Program.take_observations, Program.apply_load_snapshot

    def take_observations(self, router: Program) -> Observations:
        """What the router observed."""
        found = self._take(router)
        waits = {name: sampled.response_time for name, sampled in found.response_times.items()}
        _write(OBSERVED, {"waits": waits, "slots": dict(found.slot_requests)})
        return found

    def apply_load_snapshot(self, router: Program, snapshot: LoadSnapshot) -> None:
        """What the router goes by, and its own certain counts beside it."""
        assert router.peers is not None
        assert router.peers.exchange is not None
        assert router.peers.exchange.client is not None
        now = time.monotonic_ns()
        views, load_view = router.peers.exchange.client.views, router.peers.load_view
        told = {
            "waits": {name: one.response_time for name, one in snapshot.response_times.items()},
            "shares": dict(snapshot.slot_shares),
            "requests": snapshot.requests,
            "own_requests": snapshot.own_requests,
            "own_slots": load_view.slot_counts.guaranteed(COUNTERS),
            "own_waits": [load_view.names[server] for server in load_view.own_response_times(now)],
            "fresh": [number for number, held in views._views.items() if held.is_fresh(now)],
        }
        _write(SNAPSHOT, told)
        self._apply(router, snapshot)


def _write(what: str, told: dict[str, object]) -> None:
    line = orjson.dumps({"at": time.monotonic(), **told}, option=orjson.OPT_NON_STR_KEYS)
    sys.stderr.write(f"{what}{line.decode()}\n")
    sys.stderr.flush()


if __name__ == "__main__":
    watch = _Watch()
    setattr(Program, "take_observations", lambda router: watch.take_observations(router))  # noqa: B010
    setattr(Program, "apply_load_snapshot", lambda router, told: watch.apply_load_snapshot(router, told))  # noqa: B010
    sys.exit(program.main())
