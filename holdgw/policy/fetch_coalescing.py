"""Coalesced fetches: one fetch from the origin serves all requests for a key."""

from __future__ import annotations

from holdgw.policy.pending_request import PendingRequest


class FetchCoalescing:
    """The keys that are being fetched, each with its leader and the requests that wait for the fetch.

    The policy calls `join` when a cache server misses a key, `lead` when a fetch is sent, and `complete` when
    it is over. The leader is the request whose attempt fetches.

    The fetch is over when the leader has its answer, when the streamed answer has begun, and also when the
    leader is rejected or its client leaves. In the last two cases an attempt that is already written goes on
    at the origin, but its end serves no waiter. The waiters are treated as if they had just missed: the first
    one that the origin limiter admits leads a new fetch, and those that it denies are rejected.
    """

    def __init__(self) -> None:
        self._waiters: dict[str, list[PendingRequest]] = {}

    def __len__(self) -> int:
        """Return the number of keys that are being fetched."""
        return len(self._waiters)

    def join(self, request: PendingRequest) -> bool:
        """Let a request wait for the fetch of its key; False: there is none, or it may not be shared."""
        waiters = None if request.key is None else self._waiters.get(request.key)
        if waiters is None or request.is_write:
            return False
        waiters.append(request)
        return True

    def lead(self, request: PendingRequest) -> None:
        """Record that a request is about to fetch its key; ignored for a write or a request without a key."""
        if request.key is not None and not request.is_write and not request.leads_fetch:
            self._waiters[request.key] = []
            request.leads_fetch = True

    def complete(self, leader: PendingRequest) -> list[PendingRequest]:
        """End the leader's fetch; return the requests that wait for it, in the order of their arrival."""
        leader.leads_fetch = False
        return self._waiters.pop(leader.key or "", [])
