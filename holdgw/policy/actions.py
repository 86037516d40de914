"""Actions: what the routing policy asks its dispatcher to do, as the return value of `handle`."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class AttemptPurpose(Enum):
    """What an attempt is made for; the values are the words of the interval counters."""

    FIRST = "first"
    """The request's first attempt."""
    NEXT_ENDPOINT = "next"
    """A retry at another endpoint: the one before failed."""
    SAME_ENDPOINT = "again"
    """A retry where the attempt before was lost in transit."""
    TRIAL = "trial"
    """To find out whether an ejected endpoint is well again."""
    FETCH = "fetch"
    """A read at the origin, of what a cache missed."""
    WRITE = "write"
    """A write at the origin."""


class SendAttempt(Struct, frozen=True, gc=False):
    """Start an attempt at an endpoint."""

    request_id: str
    endpoint_id: str
    timeout_ns: int = 0
    """Attempt timeout; 0: until the request's deadline."""
    write_within_ns: int = 0
    """A request that can't be written within this time must not be written at all; 0: no bound."""
    purpose: AttemptPurpose = AttemptPurpose.FIRST


class Reject(Struct, frozen=True, gc=False):
    """Final answer: the request had no effect that a retry could double, so the client may retry it."""

    request_id: str
    retry_after_ns: int = 0
    """Retry-After; 0: none is stated."""


class Fail(Struct, frozen=True, gc=False):
    """Final answer: failed. The request may have taken effect."""

    request_id: str


class SetTimer(Struct, frozen=True, gc=False):
    """Deliver `TimerFired` with this token after the delay."""

    delay_ns: int
    token: str


class Subscribe(Struct, frozen=True, gc=False):
    """Ask discovery for the endpoint list and for all further updates."""


class CheckHealth(Struct, frozen=True, gc=False):
    """Run a health check of an endpoint; not returned by this policy, which learns from attempts alone."""

    endpoint_id: str


Action = SendAttempt | Reject | Fail | SetTimer | Subscribe | CheckHealth
