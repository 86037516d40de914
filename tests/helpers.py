"""Builders of settings, endpoints, policy events and scenario files that the tests share."""

from __future__ import annotations

import orjson
from hypothesis import strategies as st

from holdgw.policy import (
    Action,
    AttemptEnded,
    DedupScope,
    Endpoint,
    EndpointsChanged,
    Fail,
    Idempotency,
    Outcome,
    Reject,
    RequestArrived,
    RequestClass,
    RoutingPolicy,
    SendAttempt,
    Settings,
    Tenant,
    UpdateKind,
)

MS = 1_000_000
S = 1_000 * MS
ORIGIN = Endpoint("origin:1", kind="origin")


def settings(**changes: object) -> Settings:
    """Return settings with four request classes and two tenants; `changes` replace fields."""
    base: dict[str, object] = {
        "classes": (
            RequestClass("read", latency_objective_ns=300 * MS, deadline_ns=S),
            RequestClass(
                "edit",
                latency_objective_ns=500 * MS,
                deadline_ns=S,
                idempotency=Idempotency.IDEMPOTENCY_KEY,
                dedup_window_ns=2 * S,
            ),
            RequestClass(
                "order", latency_objective_ns=500 * MS, deadline_ns=S, idempotency=Idempotency.NOT_IDEMPOTENT
            ),
            RequestClass(
                "zonal",
                latency_objective_ns=500 * MS,
                deadline_ns=S,
                idempotency=Idempotency.IDEMPOTENCY_KEY,
                dedup_scope=DedupScope.ZONE,
                dedup_window_ns=2 * S,
            ),
        ),
        "tenants": (Tenant("a", 0.6, 60.0), Tenant("b", 0.4, 40.0)),
        "origin_kind": "origin",
    }
    return Settings(**{**base, **changes})  # type: ignore[arg-type]


def fleet(count: int, **changes: object) -> tuple[Endpoint, ...]:
    """Return `count` cache servers; `changes` are fields that all of them get."""
    return tuple(Endpoint(f"10.0.0.{i}:80", kind="std", **changes) for i in range(count))  # type: ignore[arg-type]


def started(
    config: Settings, servers: tuple[Endpoint, ...], origin: bool = True, now: int = 0, seed: int = 7
) -> RoutingPolicy:
    """Return a routing policy that has received its first endpoint list, a cached one."""
    router = RoutingPolicy(config, seed)
    router.handle(EndpointsChanged(UpdateKind.CACHED, servers + ((ORIGIN,) if origin else ())), now)
    return router


def request(name: str, now: int = 0, cls: str = "read", **changes: object) -> RequestArrived:
    """Return the event of an arriving request; its deadline is one second after `now`."""
    fields: dict[str, object] = {
        "request_id": name,
        "request_class": cls,
        "deadline_ns": now + S,
        "tenant": "a",
        "key": "k",
        "is_write": cls != "read",
    }
    return RequestArrived(**{**fields, **changes})  # type: ignore[arg-type]


def ended(
    send: SendAttempt, outcome: Outcome, attempt: int = 0, closed: bool | None = None, latency: int = 20 * MS
) -> AttemptEnded:
    """Return the event that ends an attempt; `closed` is whether its request is answered (default: if OK)."""
    return AttemptEnded(
        request_id=send.request_id,
        attempt=attempt,
        endpoint_id=send.endpoint_id,
        outcome=outcome,
        request_answered=outcome is Outcome.OK if closed is None else closed,
        latency_ns=latency,
    )


def sends(actions: list[Action]) -> list[SendAttempt]:
    """Return the attempts to send among the actions."""
    return [action for action in actions if isinstance(action, SendAttempt)]


def only_send(actions: list[Action]) -> SendAttempt:
    """Return the one attempt to send among the actions; fail if there is none or more than one."""
    (send,) = sends(actions)
    return send


def finals(actions: list[Action]) -> list[Reject | Fail]:
    """Return the actions that end a request without an answer of an endpoint."""
    return [action for action in actions if isinstance(action, Reject | Fail)]


def trouble(kind: str, at: float, **fields: object) -> str:
    """Return the `[[trouble]]` table of a scenario file: one fault, `at` seconds into the run."""
    lines = [f"{name} = {orjson.dumps(value).decode()}" for name, value in fields.items()]
    return "\n".join(["[[trouble]]", f'kind = "{kind}"', f"at = {at}", *lines, ""])


def damaged(whole: bytes, data: st.DataObject) -> bytes:
    """Return a copy with one byte changed; hypothesis draws the position and the new value."""
    found = bytearray(whole)
    found[data.draw(st.integers(0, len(whole) - 1))] ^= data.draw(st.integers(1, 255))
    return bytes(found)
