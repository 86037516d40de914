"""What discovery decides: which router has been told what, and when; pure.

One log of changes; each router has a view of it that lags. Views may be held late, held still (stale) or be
out altogether (down). A view never goes back, and changes reach it in order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import Enum

MAX_CHANGES = 4096  # kept for watches; an older version gets the whole list


class State(Enum):
    """A mirror node's state as the list words it."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class Entry:
    """One line of the list. `started_ms`: Unix time, 0 for long ago; `zone` also says which listener
    it has.
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
    """A change as it stands in a view: its version, and since when the view has had it."""

    version: int
    entry: Entry
    at: float


class View:
    """One router's view."""

    def __init__(self, entries: Iterable[Entry], version: int, now: float) -> None:
        self.entries = {entry.id: entry for entry in entries}
        self.version = version
        self.since = dict.fromkeys(self.entries, now)  # when the view had the present state
        self.changes: deque[Change] = deque(maxlen=MAX_CHANGES)
        self.oldest = version  # watches from an older version get the whole list
        self._pending: deque[tuple[float, int, Entry]] = deque()
        self._frozen_until = float("-inf")

    def schedule(self, due: float, version: int, entry: Entry) -> None:
        """A change will come at `due`, or behind the one before it."""
        if self._pending:
            due = max(due, self._pending[-1][0])
        self._pending.append((due, version, entry))

    def freeze(self, until: float) -> None:
        """Nothing comes in before `until`."""
        self._frozen_until = max(self._frozen_until, until)

    def advance(self, now: float) -> list[Change]:
        """Take in what is due; returns it."""
        came = []
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
            came.append(change)
        return came

    def next_due(self) -> float | None:
        """When the next change is due."""
        return max(self._pending[0][0], self._frozen_until) if self._pending else None

    def newer_than(self, version: int) -> tuple[bool, list[Entry]]:
        """What a watch from `version` gets: (whole list or not, entries), each server once."""
        if version < self.oldest or version > self.version:
            return True, list(self.entries.values())
        latest: dict[str, Entry] = {}
        for change in self.changes:
            if change.version > version:
                latest.pop(change.entry.id, None)
                latest[change.entry.id] = change.entry
        return False, list(latest.values())


class DiscoveryModel:
    """The list, and every router's view of it. `delay(view, version)` is how late a change comes there."""

    def __init__(
        self, entries: Iterable[Entry], views: Iterable[str], delay: Callable[[str, int], float], now: float
    ) -> None:
        self.version = 1
        self._delay = delay
        self._entries = {entry.id: entry for entry in entries}
        self._extra, self._extra_until = 0.0, float("-inf")
        self.views = {name: View(self._entries.values(), self.version, now) for name in views}

    def change(self, now: float, entry: Entry) -> None:
        """The list changes now; views hear of it each in its time."""
        self.version += 1
        if entry.state is State.REMOVED:
            self._entries.pop(entry.id, None)
        else:
            self._entries[entry.id] = entry
        extra = self._extra if now < self._extra_until else 0.0
        for name, view in self.views.items():
            view.schedule(now + self._delay(name, self.version) + extra, self.version, entry)

    def set_state(self, now: float, server: str, state: State) -> bool:
        """A listed server changes its state; False: it is not listed."""
        entry = self._entries.get(server)
        if entry is None:
            return False
        self.change(now, replace(entry, state=state))
        return True

    def late(self, now: float, extra: float, seconds: float) -> None:
        """Changes made from now on, for so many seconds, come `extra` seconds later than usual."""
        self._extra, self._extra_until = extra, now + seconds

    def stale(self, now: float, seconds: float, views: Iterable[str]) -> None:
        """Those views stand still for so many seconds."""
        for name in views:
            self.views[name].freeze(now + seconds)

    def advance(self, now: float) -> dict[str, list[Change]]:
        """Bring all views up to `now`; returns the views in which something came."""
        came = {name: view.advance(now) for name, view in self.views.items()}
        return {name: changes for name, changes in came.items() if changes}

    def next_due(self) -> float | None:
        """When the next change is due in any view."""
        return min(
            (due for view in self.views.values() if (due := view.next_due()) is not None), default=None
        )
