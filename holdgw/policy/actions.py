"""Actions, which `RoutingPolicy.handle` returns for its dispatcher to carry out."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class AttemptPurpose(Enum):
    """The purpose of an attempt; the values are names of the interval counters."""

    FIRST = "first"
    """The request's first attempt."""
    NEXT_ENDPOINT = "next"
    """A retry at another endpoint, because the previous one failed."""
    SAME_ENDPOINT = "again"
    """A retry at the same endpoint, because the previous attempt was lost in transit."""
    RESUME = "resume"
    """A read of a value that broke off at another endpoint after the client got a part of it."""
    TRIAL = "trial"
    """A trial request, which finds out whether an ejected endpoint has recovered."""
    FETCH = "fetch"
    """A read from the origin after a cache miss."""
    WRITE = "write"
    """A write to the origin."""


class SendAttempt(Struct, frozen=True, gc=False):
    """Start an attempt at an endpoint."""

    request_id: str
    endpoint_id: str
    timeout_ns: int = 0
    """Attempt timeout; 0: the attempt may take until the request's deadline."""
    write_within_ns: int = 0
    """If the request can't be written within this time, it must not be written at all; 0: no bound."""
    purpose: AttemptPurpose = AttemptPurpose.FIRST


class Reject(Struct, frozen=True, gc=False):
    """Final answer: rejected. The client may retry: the request had no effect that a retry would repeat."""

    request_id: str
    retry_after_ns: int = 0
    """Retry-After for the client; 0: none."""


class Fail(Struct, frozen=True, gc=False):
    """Final answer: failed. The request may have taken effect."""

    request_id: str


class SetTimer(Struct, frozen=True, gc=False):
    """Deliver `TimerFired` with this token after the delay."""

    delay_ns: int
    token: str


class Subscribe(Struct, frozen=True, gc=False):
    """Request the endpoint list and all further updates from discovery."""


class CheckHealth(Struct, frozen=True, gc=False):
    """Run a health check of an endpoint; this policy never returns it, as it relies on attempts alone."""

    endpoint_id: str


Action = SendAttempt | Reject | Fail | SetTimer | Subscribe | CheckHealth
