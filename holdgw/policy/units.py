"""Units of time: every clock time and duration of the routing policy is a whole number of nanoseconds."""

from __future__ import annotations

NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000
