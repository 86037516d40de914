"""Adapter to the simulator's wire format, one JSON value a line: reads events and writes orders."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

from holdgw.policy.actions import CheckHealth, Fail, Reject, SendAttempt, SetTimer, Subscribe
from holdgw.policy.endpoints import Endpoint, EndpointsChanged, EndpointState, UpdateKind
from holdgw.policy.events import (
    AttemptEnded,
    CacheStatus,
    Event,
    HealthCheckEnded,
    Outcome,
    RequestArrived,
    RequestCancelled,
    StreamStarted,
    TimerFired,
)
from holdgw.policy.routing_policy import RoutingPolicy
from holdgw.policy.settings_reader import (
    Fields,
    WireFormatError,
    lookup_word,
    read_settings,
    require_type,
)

_OUTCOME_BY_VERDICT = {
    "completed": Outcome.OK,
    "errored": Outcome.ERROR,
    "saturated": Outcome.OVERLOADED,
    "overdue": Outcome.TIMEOUT,
    "refused_conn": Outcome.CONNECT_FAILED,
    "severed": Outcome.RESET,
    "recalled": Outcome.CANCELLED,
    "superseded": Outcome.NOT_SENT,
    "lookup_miss": Outcome.MISS,
}
_UPDATE_KINDS = (UpdateKind.DELTA, UpdateKind.FULL, UpdateKind.CACHED, UpdateKind.FAILED)
_ENDPOINT_STATES = (EndpointState.GONE, EndpointState.READY, EndpointState.DRAINING)
_CACHE_STATUSES = {1: CacheStatus.HIT, 2: CacheStatus.MISS, 3: CacheStatus.MISS_FETCH_PENDING}


def _lookup_index(where: str, table: tuple[Any, ...], value: Any) -> Any:
    if not 0 <= require_type(where, value, int) < len(table):
        raise WireFormatError(f"{where}: unknown value {value!r}")
    return table[value]


def _endpoint(entry: Fields) -> Endpoint:
    return Endpoint(
        id=entry["server"],
        kind=entry.get("type") or "",
        state=_lookup_index("lines.mode", _ENDPOINT_STATES, entry["mode"]),
        weight=1.0 if entry.get("weight") is None else entry["weight"],
        started_ns=entry.get("bornNs") or 0,
        zone=entry.get("campus") or "",
        cell=entry.get("stripe") or 0,
    )


def _endpoints_changed(fields: Fields) -> EndpointsChanged:
    kind = _lookup_index("backendsChanged.scope", _UPDATE_KINDS, fields["scope"])
    return EndpointsChanged(kind, tuple(_endpoint(entry) for entry in fields.get("lines") or ()))


def _load_report(row: list[float] | None) -> tuple[float, ...] | None:
    return tuple(row) if row else None


def _request_arrived(fields: Fields) -> RequestArrived:
    return RequestArrived(
        request_id=require_type("request.corr", fields["corr"], str),
        request_class=fields["category"],
        deadline_ns=require_type("request.giveUpAtNs", fields["giveUpAtNs"], int),
        tenant=fields.get("clientGroup") or None,
        key=fields.get("pathKey"),
        is_write=bool(fields.get("mutates")),
        is_retry=bool(fields.get("repeat")),
    )


def _attempt_ended(fields: Fields) -> AttemptEnded:
    return AttemptEnded(
        request_id=fields["corr"],
        attempt=fields["copy"],
        endpoint_id=fields["server"],
        outcome=lookup_word("reply.verdict", _OUTCOME_BY_VERDICT, fields["verdict"]),
        request_answered=fields["terminal"],
        latency_ns=fields["timeTakenNs"],
        cache_status=_CACHE_STATUSES.get(fields.get("note") or 0),
        load_report=_load_report(fields.get("feedback")),
    )


def _health_check_ended(fields: Fields) -> HealthCheckEnded:
    return HealthCheckEnded(
        endpoint_id=fields["server"],
        outcome=lookup_word("echo.verdict", _OUTCOME_BY_VERDICT, fields["verdict"]),
        latency_ns=fields["timeTakenNs"],
        load_report=_load_report(fields.get("feedback")),
    )


_EVENT_READERS: dict[str, Callable[[Fields], Event]] = {
    "backendsChanged": _endpoints_changed,
    "request": _request_arrived,
    "opened": lambda fields: StreamStarted(fields["corr"], fields["copy"]),
    "reply": _attempt_ended,
    "clientLeft": lambda fields: RequestCancelled(fields["corr"]),
    "fired": lambda fields: TimerFired(fields["handle"]),
    "echo": _health_check_ended,
}


def _transmit_order(action: SendAttempt) -> Fields:
    return {
        "transmit": {"corr": action.request_id, "server": action.endpoint_id, "patienceNs": action.timeout_ns}
    }


_ORDER_WRITERS: dict[type, Callable[[Any], Fields]] = {
    SendAttempt: _transmit_order,
    Reject: lambda a: {"sayNo": {"corr": a.request_id, "backoffNs": a.retry_after_ns}},
    Fail: lambda a: {"finishError": {"corr": a.request_id}},
    SetTimer: lambda a: {"setAlarm": {"fromNowNs": a.delay_ns, "handle": a.token}},
    Subscribe: lambda _: {"listen": {"want": True}},
    CheckHealth: lambda a: {"healthCheck": {"server": a.endpoint_id}},
}


class Adapter:
    """Runs the routing policies of many simulated routers, by number, and answers batches of events."""

    def __init__(self) -> None:
        self._policies: dict[int, RoutingPolicy] = {}

    def answer(self, line: bytes) -> bytes:
        """Answer one batch of events with one line of orders.

        Raises:
            WireFormatError: the line is malformed.
        """
        try:
            batch = require_type("batch", orjson.loads(line), dict)
            now = require_type("batch.nowNs", batch["nowNs"], int)
            groups = []
            for group in require_type("batch.groups", batch["groups"], list):
                number = require_type("group.router", require_type("group", group, dict)["router"], int)
                orders: list[Fields] = []
                for message in require_type("group.in", group["in"], list):
                    orders += self._handle_message(number, message, now)
                if orders:
                    groups.append({"router": number, "orders": orders})
        except orjson.JSONDecodeError as error:
            raise WireFormatError(f"not JSON: {error}") from None
        except KeyError as error:
            raise WireFormatError(f"missing field {error.args[0]!r}") from None
        return orjson.dumps({"groups": groups}, option=orjson.OPT_APPEND_NEWLINE)

    def _handle_message(self, number: int, message: Any, now: int) -> list[Fields]:
        if len(require_type("event", message, dict)) != 1:
            raise WireFormatError("event: expected an object with a single key, the event's name")
        ((name, fields),) = message.items()
        require_type(name, fields, dict)
        if name == "create":
            self._create(number, fields)
            return []
        policy = self._policies.get(number)
        if policy is None:
            raise WireFormatError(f"event {name!r} for unknown instance {number}")
        if name == "destroy":
            del self._policies[number]
            return []
        if name == "inbox":  # simulated routers exchange no gossip, so messages of peers are ignored
            return []
        return _orders(policy, _read_event(name, fields), now)

    def _create(self, number: int, fields: Fields) -> None:
        seed = require_type("create.salt", fields["salt"], int)
        facts = require_type("facts", fields["facts"], dict)
        try:
            self._policies[number] = RoutingPolicy(read_settings(facts), seed)
        except (TypeError, ValueError) as error:
            raise WireFormatError(f"create: {error}") from None


def _read_event(name: str, fields: Fields) -> Event:
    reader = _EVENT_READERS.get(name)
    if reader is None:
        raise WireFormatError(f"unknown event {name!r}")
    try:
        return reader(fields)
    except KeyError as error:
        raise WireFormatError(f"{name}: missing field {error.args[0]!r}") from None


def _orders(policy: RoutingPolicy, event: Event, now: int) -> list[Fields]:
    """Return the policy's actions as orders; an exception in the policy becomes the order `panic`."""
    try:
        actions = policy.handle(event, now)
    except Exception as error:
        return [{"panic": {"message": f"{type(error).__name__}: {error}"}}]
    return [_ORDER_WRITERS[type(action)](action) for action in actions]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every line of `source` until the end of the input."""
    adapter = Adapter()
    for line in source:
        sink.write(adapter.answer(line))
        sink.flush()


def main() -> int:
    """Run the adapter on standard input and output."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireFormatError as error:
        print(f"holdgw: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
