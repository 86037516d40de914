"""The child process that relays all datagrams of a scale run and counts each router's bytes by second."""

from __future__ import annotations

import asyncio
import sys
from collections import defaultdict
from collections.abc import Mapping
from typing import Any

from bench import scale_plan
from bench.scale_child import Handler, serve
from bench.scale_clock import LagMonitor, SlowClock
from holdgw.emulators.relay import ALL, Relay
from holdgw.emulators.relay_model import PeerNetworkConditions, RelayModel


class CountingRelayModel(RelayModel):
    """The harness's relay model with the scale topology's delays, a region cut off, and bytes by second.

    The relay runs on the machine's clock, so its delays are stretched by the factor of the rig's clock.
    """

    def __init__(self, seed: int, loss: float, clock: SlowClock) -> None:
        super().__init__(
            seed,
            lambda a, b: clock.machine_seconds(scale_plan.one_way_delay(int(a), int(b))),
            PeerNetworkConditions(loss=loss),
        )
        self.sent_bytes: dict[str, dict[int, int]] = defaultdict(lambda: defaultdict(int))
        self.received_bytes: dict[str, dict[int, int]] = defaultdict(lambda: defaultdict(int))
        self.clock = clock
        self._isolated: frozenset[str] = frozenset()
        self._isolated_until = 0.0

    def isolate(self, names: frozenset[str], until: float) -> None:
        """Drop what these members and the others send each other, until a second of the rig's clock."""
        self._isolated, self._isolated_until = names, until

    def delivery_delays(self, now: float, a: str, b: str, size: int) -> list[float]:
        """Return the delays of a datagram's copies as the base model does, and count its bytes."""
        at = self.clock.seconds()
        self.sent_bytes[a][int(at)] += size
        if at < self._isolated_until and (a in self._isolated) != (b in self._isolated):
            return []
        delays = super().delivery_delays(now, a, b, size)
        self.received_bytes[b][int(at)] += size * len(delays)
        return delays


class RelayProcess:
    """Handles the parent's requests to the relay process."""

    def __init__(self) -> None:
        self.relay: Relay | None = None
        self.model: CountingRelayModel | None = None
        self.lag: LagMonitor | None = None
        self.clock = SlowClock(0, 1.0)

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers by verb."""
        return {"listen": self.listen, "begin": self.begin, "cut": self.cut, "report": self.report}

    async def listen(
        self, ip: str, listens: dict[str, list[Any]], seed: int, loss: float, base: int, slow: float
    ) -> dict[str, Any]:
        """Start the relay.

        Returns its address for each router under `each`, by number, and its address for all under `all`.
        """
        self.clock = SlowClock(base, slow)
        loop = asyncio.get_running_loop()
        self.model = CountingRelayModel(seed, loss, self.clock)
        addresses = {name: (host, port) for name, (host, port) in listens.items()}
        self.relay = Relay(self.model, addresses, loop.time, ip)
        relay_addresses = await self.relay.start()
        self.lag = LagMonitor(loop, self.clock)
        return {"all": relay_addresses.pop(ALL), "each": relay_addresses}

    async def begin(self, base: int) -> None:
        """Start the scenario: the clock's second 0 is at `base` of the monotonic clock."""
        assert self.model is not None
        assert self.lag is not None
        self.clock = self.model.clock = SlowClock(base, self.clock.slow)
        self.model.sent_bytes.clear()
        self.model.received_bytes.clear()
        self.lag.reset()

    async def cut(self, members: list[int], seconds: float) -> None:
        """Cut these members off from all others for a time."""
        assert self.model is not None
        self.model.isolate(frozenset(map(str, members)), self.clock.seconds() + seconds)

    async def report(self) -> dict[str, Any]:
        """Return what was counted."""
        assert self.model is not None
        assert self.relay is not None
        assert self.lag is not None
        oversized = sum(counts.long for counts in self.model.counts.values())
        return {
            "said": self.model.sent_bytes,
            "heard": self.model.received_bytes,
            "long": oversized,
            "unknown": self.relay.unknown,
            "lag": self.lag.readings(),
        }


if __name__ == "__main__":
    sys.exit(serve(lambda: RelayProcess().handlers()))
