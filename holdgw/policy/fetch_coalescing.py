"""Coalesced fetches: one fetch from the origin for all requests of a key."""

from __future__ import annotations

from holdgw.policy.pending_request import PendingRequest


class FetchCoalescing:
    """Which keys are being fetched, by which leader, and which requests wait for the fetch.

    Asked when a cache server misses a key (`join`), when a fetch is sent (`lead`) and when it is over
    (`complete`). The leader is the request whose attempt fetches.

    The fetch is over when the leader has its answer, when the streamed answer has begun, and also when the
    leader gives up or its client leaves. Then it no longer counts as the key's: an attempt that is already
    written goes on at the origin, and its end serves no waiter. The waiters are treated as if they had just
    missed: the first one that the origin limiter admits leads a new fetch, one that it denies is rejected.
    """

    def __init__(self) -> None:
        self._waiters: dict[str, list[PendingRequest]] = {}

    def __len__(self) -> int:
        """How many keys are being fetched."""
        return len(self._waiters)

    def join(self, request: PendingRequest) -> bool:
        """Let a request wait for the fetch of its key; False: none is out, or it may not share one."""
        waiters = None if request.key is None else self._waiters.get(request.key)
        if waiters is None or request.is_write:
            return False
        waiters.append(request)
        return True

    def lead(self, request: PendingRequest) -> None:
        """Note that a request is about to fetch its key; nothing for a write or a request without a key."""
        if request.key is not None and not request.is_write and not request.leads_fetch:
            self._waiters[request.key] = []
            request.leads_fetch = True

    def complete(self, leader: PendingRequest) -> list[PendingRequest]:
        """End the leader's fetch; returns the requests that wait for it, in the order of their arrival."""
        leader.leads_fetch = False
        return self._waiters.pop(leader.key or "", [])
