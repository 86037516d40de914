"""Slot retention: the fraction of its slots that an overloaded endpoint keeps, and which slots these are."""

from __future__ import annotations

import math

from holdgw.policy.units import NS_PER_S

DONOR_FAILURE_FRACTION = 0.25  # above it an endpoint releases slots with each request
RECEIVER_FAILURE_FRACTION = 0.1  # below it an endpoint may receive slots, and gets its own back
RELEASE_PER_REQUEST = 1 / 16  # of the slots, times the excess of failures over DONOR_FAILURE_FRACTION
RELEASE_RATE_PER_S = 0.5  # of the slots a second, at twice the response time from which it is overloaded
MAX_RELEASE_FACTOR = 2.0  # bounds the multiple of RELEASE_RATE_PER_S, whatever response time is reported
MAX_REPORT_INTERVAL_NS = NS_PER_S  # longest time that one load report accounts for
MIN_SLOT_RETENTION = 0.04
RETENTION_RECOVERY_NS = 20 * NS_PER_S  # recovery ramp of the retention from 0 to 1


class SlotRetention:
    """Decides which of its slots one endpoint keeps.

    The policy calls `retains` for each request whose slot ranks the endpoint; a slot that is not retained
    goes to the next-ranked endpoint. Every router releases the same slots first.
    """

    def __init__(self, seed: int) -> None:
        self.fraction = 1.0
        """Fraction of its slots that the endpoint keeps, 0 to 1."""
        self._seed = seed
        self._updated_at_ns = 0

    def retains(self, slot: int, failure_fraction: float, now_ns: int) -> bool:
        """Whether the endpoint keeps the slot; released slots return over time while few attempts fail."""
        if self.fraction >= 1.0:
            return True
        if failure_fraction < RECEIVER_FAILURE_FRACTION:
            elapsed_ns = now_ns - self._updated_at_ns
            self.fraction = min(1.0, self.fraction + elapsed_ns / RETENTION_RECOVERY_NS)
        self._updated_at_ns = now_ns
        return not releases_slot(slot, self._seed, self.fraction)

    def release_by_reported_load(self, load_factor: float, since_report_ns: int, now_ns: int) -> None:
        """Release slots because a load report states that the endpoint is overloaded, at a rate per second.

        Each of forty routers sends an endpoint two requests a second or fewer, and would need ten seconds to
        count enough late answers. A report informs all of them at once, and all release the same slots at the
        same rate. An endpoint that reports too long a response time loses slots for as long as it does.

        Args:
            load_factor: the reported response time over that from which the endpoint is overloaded; above 1.
            since_report_ns: the time since the previous report.
            now_ns: the clock time.
        """
        elapsed_s = min(since_report_ns, MAX_REPORT_INTERVAL_NS) / NS_PER_S
        exponent = -RELEASE_RATE_PER_S * min(load_factor - 1.0, MAX_RELEASE_FACTOR) * elapsed_s
        self.fraction = max(self.fraction * math.exp(exponent), MIN_SLOT_RETENTION)
        self._updated_at_ns = now_ns

    def release_by_failures(self, failure_fraction: float, now_ns: int) -> None:
        """Release a few slots, for one request to the overloaded endpoint."""
        released = RELEASE_PER_REQUEST * (failure_fraction - DONOR_FAILURE_FRACTION)
        self.fraction = max(self.fraction * (1.0 - released), MIN_SLOT_RETENTION)
        self._updated_at_ns = now_ns

    def restore(self, fraction: float, now_ns: int) -> None:
        """Continue from the state of another process of this router."""
        self.fraction = fraction
        self._updated_at_ns = now_ns


def releases_slot(slot: int, seed: int, fraction: float) -> bool:
    """Whether an endpoint (by its `seed`) that keeps this fraction of its slots releases the slot."""
    return ((slot ^ seed >> 24) * 0x9E3779B1 >> 8 & 0xFFFF) >= fraction * 0x10000
