"""What the package store decides: one slow service that all share, reads and writes, repeats
dropped; pure.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from holdgw.emulators.processor_sharing import ProcessorSharingQueue, QueueSpec

REMEMBERED = 100_000  # keyed writes, the oldest go first


@dataclass(frozen=True, slots=True)
class OriginSpec:
    """The package store."""

    slots: int = 12
    """Requests in work at a time, each at full speed."""
    queue: int = 120
    read_s: float = 0.05
    write_s: float = 0.08
    cv: float = 0.5
    connections: int = 1000


class Answer(Enum):
    """How a request ended at the store."""

    SERVED = "served"
    REPEAT = "repeat"
    """A keyed write whose first copy is remembered: dropped, and answered with its receipt."""
    FAILED = "failed"
    BUSY = "busy"
    """Turned away, and told so: it never ran."""


@dataclass(slots=True, eq=False)
class Order:
    """One request to the store. `idempotency`: a keyed write's; `window`: how long repeats are dropped."""

    id: bytes
    key: bytes
    write: bool = False
    idempotency: bytes = b""
    window: float = 0.0
    work: float = 0.0
    fails: bool = False
    probe: bool = False
    owner: Any = None


class Filled(NamedTuple):
    """The end of an order; `effect`: it changed something now."""

    at: float
    order: Order
    answer: Answer
    effect: bool = False


class OriginModel:
    """The package store's process."""

    def __init__(self, spec: OriginSpec, now: float) -> None:
        self.spec = spec
        self._work: ProcessorSharingQueue[Order] = ProcessorSharingQueue(
            QueueSpec(cores=spec.slots, slots=spec.slots, queue=spec.queue), now
        )
        self._remembered: OrderedDict[bytes, float] = OrderedDict()  # idempotency key -> until

    def advance(self, now: float) -> list[Filled]:
        """Bring it up to `now`; returns what ended, in order."""
        return [self._end(at, order) for at, _, order in self._work.advance(now)]

    def next_due(self) -> float | None:
        """When `advance` will have something to tell, as things stand."""
        return self._work.next_due()

    def _end(self, at: float, order: Order) -> Filled:
        if order.probe:
            return Filled(at, order, Answer.SERVED)
        if order.fails:
            return Filled(at, order, Answer.FAILED, effect=order.write)
        return Filled(at, order, Answer.SERVED, effect=order.write)

    def arrive(self, now: float, order: Order) -> list[Filled]:
        """Take an order; returns what has ended by now, this order among it if it needs no work."""
        done = self.advance(now)
        keyed = order.write and bool(order.idempotency)
        # A repeat is known by its key from when the first copy came, whether that one is done or not.
        if keyed and self._remembered.get(order.idempotency, now) > now:
            return [*done, Filled(now, order, Answer.REPEAT)]
        if not self._work.submit(order, order.work):
            return [*done, Filled(now, order, Answer.BUSY)]
        if keyed:
            self._remembered[order.idempotency] = now + order.window
            self._remembered.move_to_end(order.idempotency)
            if len(self._remembered) > REMEMBERED:
                self._remembered.popitem(last=False)
        return done

    def slow(self, now: float, factor: float) -> list[Filled]:
        """From now on everything takes `factor` times as long; returns what had ended."""
        if factor <= 0:
            raise ValueError("factor must be above 0")
        done = self.advance(now)
        self._work.speed = 1.0 / factor
        return done

    def pause(self, now: float, seconds: float) -> list[Filled]:
        """Stand still; returns what had ended."""
        done = self.advance(now)
        self._work.pause(now + seconds)
        return done

    @property
    def held(self) -> int:
        """Orders in work and waiting."""
        return self._work.held

    def die(self) -> list[Order]:
        """The process is gone with all it held; what it remembers is on its disk. Returns what it held."""
        return self._work.drop_all()
