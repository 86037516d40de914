"""Lifeguard's local health multiplier: how far a router trusts its own failure detection; pure.

Source: Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection",
2018.
"""

from __future__ import annotations

MAX_SCORE = 8


class LocalHealth:
    """A score from 0 (healthy) to MAX_SCORE; a higher score lengthens probes and suspicions."""

    def __init__(self) -> None:
        self.score = 0

    def degrade(self) -> None:
        """Note a sign that this router receives messages late or not at all."""
        self.score = min(self.score + 1, MAX_SCORE)

    def improve(self) -> None:
        """Note a probe that was acknowledged in time."""
        self.score = max(self.score - 1, 0)

    @property
    def probe_multiplier(self) -> int:
        """Factor on the probe interval and the ack timeouts, 1 to 1 + MAX_SCORE."""
        return 1 + self.score

    @property
    def suspicion_multiplier(self) -> float:
        """Factor on the duration of a suspicion, 1 to 2."""
        return 1 + self.score / MAX_SCORE
