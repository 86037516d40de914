"""The trace of a simulated run: a running digest of all events, and on request the events themselves."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import IO, Any

import orjson

FLUSH_EVENTS = 512  # events that are added to the digest at a time


class Trace:
    """The events of one run. Two runs of one seed have the same digest, in any process on any machine."""

    def __init__(self, on_event: Callable[[dict[str, Any]], None] | None = None) -> None:
        self.events = 0
        self.on_event = on_event
        """Called with each event; with None, only the digest is kept."""
        self._hash = hashlib.blake2b(digest_size=16)
        self._lines: list[str] = []

    def add(self, at: int, who: str, what: str, about: str = "", data: bytes = b"") -> None:
        """Add an event: its time (ns), its process or host, its kind, a detail, and the bytes transferred."""
        self.events += 1
        self._lines.append(f"{at} {who} {what} {about} {len(data)}")
        if data:
            self._hash.update(data)
        if len(self._lines) >= FLUSH_EVENTS:
            self._flush()
        if self.on_event is not None:
            self.on_event({"at": at, "who": who, "what": what, "about": about, "data": data})

    def _flush(self) -> None:
        self._hash.update("\n".join(self._lines).encode())
        self._lines.clear()

    def digest(self) -> str:
        """Return the digest of all events so far, in hexadecimal."""
        self._flush()
        return self._hash.hexdigest()


class TraceFile:
    """Writes events as JSON lines, with up to `max_data_bytes` of their data as escaped text."""

    def __init__(self, file: IO[bytes], start_ns: int, max_data_bytes: int = 400) -> None:
        self._file, self._start_ns, self._max_data_bytes = file, start_ns, max_data_bytes

    def __call__(self, event: dict[str, Any]) -> None:
        """Write one event; `s` is its time in seconds since the simulated time `start_ns`."""
        data = event["data"]
        line = {
            "s": round((event["at"] - self._start_ns) / 1e9, 6),
            "who": event["who"],
            "what": event["what"],
            "about": event["about"],
        }
        if data:
            line["bytes"] = len(data)
            line["data"] = readable(data, self._max_data_bytes)
        self._file.write(orjson.dumps(line) + b"\n")


def readable(data: bytes, max_bytes: int) -> str:
    """Return the first `max_bytes` bytes as one line of text; longer data ends in an ellipsis."""
    text = data[:max_bytes].decode("ascii", "backslashreplace").replace("\r\n", " ")
    text = "".join(character if character.isprintable() else repr(character)[1:-1] for character in text)
    return text + (" ..." if len(data) > max_bytes else "")
