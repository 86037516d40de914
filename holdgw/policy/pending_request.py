"""A request that the policy still has to finish, and where its attempts may go."""

from __future__ import annotations

from holdgw.policy.interface import NS_PER_S, DedupScope, Idempotency, RequestArrived, RequestClass
from holdgw.policy.origin_limiter import OriginLimiter
from holdgw.policy.tracked_endpoint import TrackedEndpoint

ON_THE_WAY = NS_PER_S // 20  # from when a request is written until it is there, at most


class PendingRequest:
    """An open request; it lives on after its final answer until its attempt has ended."""

    def __init__(self, event: RequestArrived, cls: RequestClass, guard: OriginLimiter) -> None:
        self.id, self.key, self.deadline_ns, self.is_write = (
            event.request_id,
            event.key,
            event.deadline_ns,
            event.is_write,
        )
        self.cls, self.guard = cls, guard
        self.slot = self.sends = self.sent_at = 0
        self.slot_popularity = 0.0  # its slot's share of the requests here
        self.failed: list[TrackedEndpoint] = []
        self.node: TrackedEndpoint | None = None
        self.ran: tuple[TrackedEndpoint, int] | None = (
            None  # the first attempt that may have run: where, when sent
        )
        self.spared = False  # has been asked for again after an answer that stayed out
        self.warm_up_draw = 0.0  # by which it is one of those that cold servers bear; 0: not drawn yet
        self.patience = 0  # after which the attempt that is out counts as lost; 0: not at all
        self.fetching = self.out = self.leads = self.waiting = self.done = self.streams = False

    def may_send(self, node: TrackedEndpoint, now: int) -> bool:
        """Rule 2: what may have run goes out again only where and while its repeat is dropped."""
        if self.ran is None or self.cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        here, there = node.entry, self.ran[0].entry
        if self.cls.idempotency is Idempotency.NOT_IDEMPOTENT or self.write_within(now) <= 0:
            return False
        if self.cls.dedup_scope is DedupScope.ALL:
            return True
        return here.zone == there.zone and (
            self.cls.dedup_scope is DedupScope.ZONE or here.cell == there.cell
        )

    def write_within(self, now: int) -> int:
        """How long a repeat may still be written for: it must be there while the first one is remembered.

        Danger: a repeat that is decided on in time may wait for a connection, and comes when the first one is
        forgotten. It happens twice then. It costs a class whose window is as short as a dial its repeats.
        """
        assert self.ran is not None
        return self.ran[1] + self.cls.dedup_window_ns - ON_THE_WAY - now

    def may_refuse(self) -> bool:
        """Rule 2: a refusal says that a further try is harmless."""
        keyed_anywhere = (
            self.cls.idempotency is Idempotency.IDEMPOTENCY_KEY and self.cls.dedup_scope is DedupScope.ALL
        )
        return self.ran is None or self.cls.idempotency is Idempotency.IDEMPOTENT or keyed_anywhere
