"""A streamed value of which the client has a part, so that only the same value can complete its answer.

If such a value breaks off, another endpoint may give the value once more. Its beginning is not passed on but
compared with what the client has, by length and digest; if they are equal, its rest completes the answer.
"""

from __future__ import annotations

import xxhash

from holdgw.router.timer_wheel import Timer


class BegunValue:
    """What has been passed on of one streamed value."""

    __slots__ = ("digest", "length", "passed_bytes", "resume_timer")

    def __init__(self, length: int) -> None:
        """Create the state of a value of `length` bytes of which nothing is passed on yet."""
        self.length = length
        self.passed_bytes = 0
        self.digest = xxhash.xxh3_128()
        self.resume_timer: Timer | None = None
        """Fires if no other value has caught up in time with the one that broke off."""

    def add(self, data: bytes) -> None:
        """Note that a part is passed on."""
        self.passed_bytes += len(data)
        self.digest.update(data)


class ValueDiffersError(Exception):
    """A value is not the one that was begun."""


class BeginningCheck:
    """Compares the beginning of another endpoint's value with what is passed on of a begun one."""

    __slots__ = ("_begun", "_digest", "_remaining_bytes")

    def __init__(self, begun: BegunValue, length: int) -> None:
        """Start with a value of `length` bytes.

        Raises:
            ValueDiffersError: The begun value has another length.
        """
        if length != begun.length:
            raise ValueDiffersError
        self._begun = begun
        self._digest = xxhash.xxh3_128()
        self._remaining_bytes = begun.passed_bytes

    @property
    def is_complete(self) -> bool:
        """Whether the whole beginning was compared, and is the same."""
        return not self._remaining_bytes

    def feed(self, data: bytes) -> bytes:
        """Take a part of the value; returns what of it lies behind the beginning.

        Raises:
            ValueDiffersError: The beginning is complete, and differs.
        """
        beginning = data[: self._remaining_bytes]
        self._digest.update(beginning)
        self._remaining_bytes -= len(beginning)
        if self._remaining_bytes:
            return b""
        if self._digest.digest() != self._begun.digest.digest():
            raise ValueDiffersError
        return data[len(beginning) :]
