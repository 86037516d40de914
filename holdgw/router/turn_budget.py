"""How much of one turn of the event loop clients' input may take. It does no I/O and reads no clock.

Timers and answers of endpoints wait for the end of a turn. What a turn costs beyond its input (attempts,
timeouts, dials that the input leads to) shows only in the turns after it, so the limit follows the length of
the turns: it grows by steps while they are short and is halved when one is too long (additive increase,
multiplicative decrease).
"""

from __future__ import annotations

ANSWER_DELAY_NS = 20_000_000
"""A request that is given up on is answered within this time."""
TURN_NS = ANSWER_DELAY_NS // 2
"""The longest a turn should take: what falls due in one turn is done in the next, and written at its end."""
MAX_SHARE_NS = TURN_NS // 2
"""The time in a turn for what falls due by itself, as timeouts; the rest follows in the next."""
MAX_INPUT_NS = TURN_NS // 2
MIN_INPUT_NS = MAX_INPUT_NS // 8
INPUT_STEP_NS = MAX_INPUT_NS // 32
"""By so much the limit grows after a turn that was short enough."""


class TurnBudget:
    """The time for clients' input in the current turn; all times are monotonic nanoseconds."""

    def __init__(self) -> None:
        self.limit_ns = MAX_INPUT_NS
        self.spent_ns = 0
        self._started_ns = 0  # 0: no turn of a backlog is under way

    @property
    def is_spent(self) -> bool:
        """Whether further input has to wait for the next turn."""
        return self.spent_ns >= self.limit_ns

    def start_turn(self, now_ns: int) -> None:
        """Note that a turn begins; if the one before it left a backlog, that one's length counts."""
        if self._started_ns:
            self._adapt(now_ns - self._started_ns)
        self._started_ns = now_ns
        self.spent_ns = 0

    def end_backlog(self) -> None:
        """Note that no input waits for the next turn: the event loop may wait for events before it."""
        self._started_ns = 0

    @property
    def is_large(self) -> bool:
        """Whether the input of this turn needs an end of the turn; less may be counted over several turns."""
        return self.spent_ns >= MIN_INPUT_NS

    def spend(self, duration_ns: int) -> None:
        """Count the time that some input has taken."""
        self.spent_ns += duration_ns

    def _adapt(self, turn_ns: int) -> None:
        if turn_ns > TURN_NS:
            self.limit_ns = max(self.limit_ns // 2, MIN_INPUT_NS)
        else:
            self.limit_ns = min(self.limit_ns + INPUT_STEP_NS, MAX_INPUT_NS)
