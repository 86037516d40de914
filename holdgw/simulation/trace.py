"""What happened, as a running digest that is always on, and as lines where somebody wants to read them."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import IO, Any

import orjson

FLUSH_EVENTS = 512  # events that are put into the digest at a time


class Trace:
    """The events of one run. Two runs of one seed have the same digest, in any process on any machine."""

    def __init__(self, keep: Callable[[dict[str, Any]], None] | None = None) -> None:
        self.events = 0
        self.keep = keep
        """Takes each event as it happens; None: only the digest is kept."""
        self._hash = hashlib.blake2b(digest_size=16)
        self._lines: list[str] = []

    def add(self, at: int, who: str, what: str, about: str = "", data: bytes = b"") -> None:
        """One event: when, where, what; `data` are the bytes it is about."""
        self.events += 1
        self._lines.append(f"{at} {who} {what} {about} {len(data)}")
        if data:
            self._hash.update(data)
        if len(self._lines) >= FLUSH_EVENTS:
            self._flush()
        if self.keep is not None:
            self.keep({"at": at, "who": who, "what": what, "about": about, "data": data})

    def _flush(self) -> None:
        self._hash.update("\n".join(self._lines).encode())
        self._lines.clear()

    def digest(self) -> str:
        """Of all events so far."""
        self._flush()
        return self._hash.hexdigest()


class TraceFile:
    """Writes events as JSON lines. Bytes are max_data_bytes as text, odd ones escaped, at most so many."""

    def __init__(self, file: IO[bytes], start_ns: int, max_data_bytes: int = 400) -> None:
        self._file, self._start_ns, self._max_data_bytes = file, start_ns, max_data_bytes

    def __call__(self, event: dict[str, Any]) -> None:
        """Write one event; `s` is seconds from `start_ns`, nanoseconds of the world."""
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


def readable(data: bytes, most: int) -> str:
    """Bytes as one line of text."""
    text = data[:most].decode("ascii", "backslashreplace").replace("\r\n", " ")
    text = "".join(one if one.isprintable() else repr(one)[1:-1] for one in text)
    return text + (" ..." if len(data) > most else "")
