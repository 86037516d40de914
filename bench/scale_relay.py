"""The process that all datagrams of a scale run pass: the laboratory's relay, and what each router says and
hears in each second.
"""

from __future__ import annotations

import asyncio
import sys
from collections import defaultdict
from collections.abc import Mapping
from typing import Any

from bench import scale_plan
from bench.scale_child import Handler, serve
from bench.scale_clock import Lag, SlowClock
from holdgw.emulators.relay import ALL, Relay
from holdgw.emulators.relay_model import PeerNetworkConditions, RelayModel


class CountedLines(RelayModel):
    """All lines, with a region that may be cut off from the others, and what passes counted by second.

    The relay has the machine's clock: its delays are stretched by as much as the rig's clock is slowed.
    """

    def __init__(self, seed: int, loss: float, clock: SlowClock) -> None:
        super().__init__(
            seed, lambda a, b: clock.real(scale_plan.line(int(a), int(b))), PeerNetworkConditions(loss=loss)
        )
        self.said: dict[str, dict[int, int]] = defaultdict(lambda: defaultdict(int))
        self.heard: dict[str, dict[int, int]] = defaultdict(lambda: defaultdict(int))
        self.clock = clock
        self._apart: frozenset[str] = frozenset()
        self._apart_until = 0.0

    def cut_off(self, names: frozenset[str], until: float) -> None:
        """Nothing passes between these and the others until that second of the rig's clock."""
        self._apart, self._apart_until = names, until

    def delivery_delays(self, now: float, a: str, b: str, size: int) -> list[float]:
        """As the relay's model; and counted."""
        at = self.clock.seconds()
        self.said[a][int(at)] += size
        if at < self._apart_until and (a in self._apart) != (b in self._apart):
            return []
        delays = super().delivery_delays(now, a, b, size)
        self.heard[b][int(at)] += size * len(delays)
        return delays


class RelayProcess:
    """What the process is asked to do."""

    def __init__(self) -> None:
        self.relay: Relay | None = None
        self.lines: CountedLines | None = None
        self.lag: Lag | None = None
        self.clock = SlowClock(0, 1.0)

    def handlers(self) -> Mapping[str, Handler]:
        """By verb."""
        return {"listen": self.listen, "begin": self.begin, "cut": self.cut, "report": self.report}

    async def listen(
        self, ip: str, listens: dict[str, list[Any]], seed: int, loss: float, base: int, slow: float
    ) -> dict[str, Any]:
        """Listen; returns the address each router is known by, by its number, and all under `all`."""
        self.clock = SlowClock(base, slow)
        loop = asyncio.get_running_loop()
        self.lines = CountedLines(seed, loss, self.clock)
        places = {name: (host, port) for name, (host, port) in listens.items()}
        self.relay = Relay(self.lines, places, loop.time, ip)
        found = await self.relay.start()
        self.lag = Lag(loop, self.clock)
        return {"all": found.pop(ALL), "each": found}

    async def begin(self, base: int) -> None:
        """The play begins: the clock's second 0 is at that reading of the monotonic clock."""
        assert self.lines is not None
        assert self.lag is not None
        self.clock = self.lines.clock = SlowClock(base, self.clock.slow)
        self.lines.said.clear()
        self.lines.heard.clear()
        self.lag.begin()

    async def cut(self, members: list[int], seconds: float) -> None:
        """Cut these off from all others."""
        assert self.lines is not None
        self.lines.cut_off(frozenset(map(str, members)), self.clock.seconds() + seconds)

    async def report(self) -> dict[str, Any]:
        """All that was counted."""
        assert self.lines is not None
        assert self.relay is not None
        assert self.lag is not None
        long = sum(counts.long for counts in self.lines.counts.values())
        return {
            "said": self.lines.said,
            "heard": self.lines.heard,
            "long": long,
            "unknown": self.relay.unknown,
            "lag": self.lag.told(),
        }


if __name__ == "__main__":
    sys.exit(serve(lambda: RelayProcess().handlers()))
