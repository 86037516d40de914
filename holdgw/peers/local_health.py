"""Lifeguard's local health multiplier: how far a router trusts its own observations; pure.

Source: Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection",
2018.
"""

from __future__ import annotations

MAX_SCORE = 8


class LocalHealth:
    """A score from 0, healthy, to MAX_SCORE: probes and suspicions take longer the higher it is."""

    def __init__(self) -> None:
        self.score = 0

    def degrade(self) -> None:
        """A sign that this router receives late or not at all."""
        self.score = min(self.score + 1, MAX_SCORE)

    def improve(self) -> None:
        """A probe was acknowledged in time."""
        self.score = max(self.score - 1, 0)

    @property
    def probe_multiplier(self) -> int:
        """Of a probe's interval and timeouts."""
        return 1 + self.score

    @property
    def suspicion_multiplier(self) -> float:
        """Of a suspicion's time, 1 to 2."""
        return 1 + self.score / MAX_SCORE
