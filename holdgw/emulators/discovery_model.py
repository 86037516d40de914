"""The model of discovery: which changes each router can see, and from when; pure.

All changes form one sequence, and each router has a view that follows it with a delay. Faults add to the
delay or freeze views. A view never moves backwards, and changes reach it in order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import Enum

MAX_CHANGES = 4096  # kept for watches; a watch from an older version gets the full list


class State(Enum):
    """Lifecycle state of an endpoint, as in the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the endpoint list.

    `started_ms` is the Unix time at which the endpoint started, 0 if it started long ago.
    """

    id: str
    state: State
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """A change in a view: its version, and when the view received it."""

    version: int
    entry: Entry
    at: float


class View:
    """The view that one router has of the endpoint list."""

    def __init__(self, entries: Iterable[Entry], version: int, now: float) -> None:
        self.entries = {entry.id: entry for entry in entries}
        self.version = version
        self.since = dict.fromkeys(self.entries, now)  # when the view received each current state
        self.changes: deque[Change] = deque(maxlen=MAX_CHANGES)
        self.oldest = version  # watches from an older version get the full list
        self._pending: deque[tuple[float, int, Entry]] = deque()
        self._frozen_until = float("-inf")

    def schedule(self, due: float, version: int, entry: Entry) -> None:
        """Schedule a change for `due`, or for the time of its predecessor if that is later."""
        if self._pending:
            due = max(due, self._pending[-1][0])
        self._pending.append((due, version, entry))

    def freeze(self, until: float) -> None:
        """Apply no change before `until`."""
        self._frozen_until = max(self._frozen_until, until)

    def advance(self, now: float) -> list[Change]:
        """Apply the changes that are due; return them."""
        applied = []
        while self._pending and max(self._pending[0][0], self._frozen_until) <= now:
            due, version, entry = self._pending.popleft()
            change = Change(version, entry, max(due, self._frozen_until))
            if entry.state is State.REMOVED:
                self.entries.pop(entry.id, None)
            else:
                self.entries[entry.id] = entry
            self.since[entry.id] = change.at
            self.version = version
            if len(self.changes) == MAX_CHANGES:
                self.oldest = self.changes[0].version
            self.changes.append(change)
            applied.append(change)
        return applied

    def next_due(self) -> float | None:
        """Return when the next change is due, or None."""
        return max(self._pending[0][0], self._frozen_until) if self._pending else None

    def newer_than(self, version: int) -> tuple[bool, list[Entry]]:
        """Return the answer to a watch from `version`: (whether it is a full list, entries), each server
        once.
        """
        if version < self.oldest or version > self.version:
            return True, list(self.entries.values())
        latest: dict[str, Entry] = {}
        for change in self.changes:
            if change.version > version:
                latest.pop(change.entry.id, None)
                latest[change.entry.id] = change.entry
        return False, list(latest.values())


class DiscoveryModel:
    """The endpoint list and the view of each router.

    `delay(view, version)` returns the seconds after which a change reaches a view.
    """

    def __init__(
        self, entries: Iterable[Entry], views: Iterable[str], delay: Callable[[str, int], float], now: float
    ) -> None:
        self.version = 1
        self._delay = delay
        self._entries = {entry.id: entry for entry in entries}
        self._extra, self._extra_until = 0.0, float("-inf")
        self.views = {name: View(self._entries.values(), self.version, now) for name in views}

    def change(self, now: float, entry: Entry) -> None:
        """Change the list now, and schedule the change in each view."""
        self.version += 1
        if entry.state is State.REMOVED:
            self._entries.pop(entry.id, None)
        else:
            self._entries[entry.id] = entry
        extra = self._extra if now < self._extra_until else 0.0
        for name, view in self.views.items():
            view.schedule(now + self._delay(name, self.version) + extra, self.version, entry)

    def set_state(self, now: float, server: str, state: State) -> bool:
        """Change the state of a listed server; return False if it is not listed."""
        entry = self._entries.get(server)
        if entry is None:
            return False
        self.change(now, replace(entry, state=state))
        return True

    def late(self, now: float, extra: float, seconds: float) -> None:
        """Delay changes that are made within the next `seconds` by `extra` seconds more than usual."""
        self._extra, self._extra_until = extra, now + seconds

    def stale(self, now: float, seconds: float, views: Iterable[str]) -> None:
        """Freeze those views for `seconds`."""
        for name in views:
            self.views[name].freeze(now + seconds)

    def advance(self, now: float) -> dict[str, list[Change]]:
        """Advance all views to `now`; return the changes by view, without views that received none."""
        applied = {name: view.advance(now) for name, view in self.views.items()}
        return {name: changes for name, changes in applied.items() if changes}

    def next_due(self) -> float | None:
        """Return when the next change is due in any view, or None."""
        return min(
            (due for view in self.views.values() if (due := view.next_due()) is not None), default=None
        )
