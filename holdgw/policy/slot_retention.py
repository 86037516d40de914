"""The fraction of its slots that an overloaded endpoint keeps, and which slots these are."""

from __future__ import annotations

import math

from holdgw.policy.units import NS_PER_S

DONOR_FAILURE_FRACTION = 0.25  # over it an endpoint releases slots with each request
RECEIVER_FAILURE_FRACTION = 0.1  # under it an endpoint may take slots, and gets its own back
RELEASE_PER_REQUEST = 1 / 16  # of the slots, times the failure fraction over DONOR_FAILURE_FRACTION
RELEASE_RATE_PER_S = 0.5  # of the slots a second, at twice the reported response time of overload
MAX_RELEASE_FACTOR = 2.0  # times RELEASE_RATE_PER_S, however slow an endpoint says that it is
MAX_REPORT_INTERVAL_NS = NS_PER_S  # for which one load report speaks
MIN_SLOT_RETENTION = 0.04
RETENTION_RECOVERY_NS = 20 * NS_PER_S  # in which all slots come back


class SlotRetention:
    """Which of its slots one endpoint keeps.

    Asked for each request whose slot ranks the endpoint, by `retains`: a slot that is not retained goes to
    the endpoint ranked next. The slots that are released first are the same ones at every router.
    """

    def __init__(self, seed: int) -> None:
        self.fraction = 1.0
        """Of its slots, 0 to 1."""
        self._seed = seed
        self._updated_at_ns = 0

    def retains(self, slot: int, failure_fraction: float, now_ns: int) -> bool:
        """Whether the endpoint keeps the slot; while it is well again its slots come back with time."""
        if self.fraction >= 1.0:
            return True
        if failure_fraction < RECEIVER_FAILURE_FRACTION:
            elapsed_ns = now_ns - self._updated_at_ns
            self.fraction = min(1.0, self.fraction + elapsed_ns / RETENTION_RECOVERY_NS)
        self._updated_at_ns = now_ns
        return not releases_slot(slot, self._seed, self.fraction)

    def release_by_reported_load(self, load_factor: float, since_report_ns: int, now_ns: int) -> None:
        """Release slots by time, not by answers, as a load report says that the endpoint is overloaded.

        `load_factor`: its reported response time over that of overload, above 1; `since_report_ns`: the time
        since the report before. Each of forty routers meets an endpoint twice a second or less, and would
        count late answers for ten seconds; a report tells all of them at once, and all release the same slots
        at the same rate. An endpoint that reports too long a response time loses slots for as long.
        """
        elapsed_s = min(since_report_ns, MAX_REPORT_INTERVAL_NS) / NS_PER_S
        exponent = -RELEASE_RATE_PER_S * min(load_factor - 1.0, MAX_RELEASE_FACTOR) * elapsed_s
        self.fraction = max(self.fraction * math.exp(exponent), MIN_SLOT_RETENTION)
        self._updated_at_ns = now_ns

    def release_by_failures(self, failure_fraction: float, now_ns: int) -> None:
        """Release a few slots, for one request that met the endpoint overloaded."""
        released = RELEASE_PER_REQUEST * (failure_fraction - DONOR_FAILURE_FRACTION)
        self.fraction = max(self.fraction * (1.0 - released), MIN_SLOT_RETENTION)
        self._updated_at_ns = now_ns

    def restore(self, fraction: float, now_ns: int) -> None:
        """Go on from what another process of this router has learnt."""
        self.fraction = fraction
        self._updated_at_ns = now_ns


def releases_slot(slot: int, seed: int, fraction: float) -> bool:
    """Whether an endpoint (by its `seed`) that keeps such a fraction of its slots releases this one."""
    return ((slot ^ seed >> 24) * 0x9E3779B1 >> 8 & 0xFFFF) >= fraction * 0x10000
