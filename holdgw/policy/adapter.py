"""The simulator's wire (one JSON value a line) to the library's interface and back. No decisions."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

from holdgw.policy import interface as api
from holdgw.policy.routing_policy import RoutingPolicy
from holdgw.policy.settings_reader import Fields, WireFormatError, choice, read_settings, typed

_OUTCOMES = {
    "completed": api.Outcome.OK,
    "errored": api.Outcome.ERROR,
    "saturated": api.Outcome.OVERLOADED,
    "overdue": api.Outcome.TIMEOUT,
    "refused_conn": api.Outcome.CONNECT_FAILED,
    "severed": api.Outcome.RESET,
    "recalled": api.Outcome.CANCELLED,
    "superseded": api.Outcome.NOT_SENT,
    "lookup_miss": api.Outcome.MISS,
}
_LIST_KINDS = (api.UpdateKind.DELTA, api.UpdateKind.FULL, api.UpdateKind.CACHED, api.UpdateKind.FAILED)
_STATES = (api.EndpointState.GONE, api.EndpointState.READY, api.EndpointState.DRAINING)
_NOTES = {1: api.CacheStatus.HIT, 2: api.CacheStatus.MISS, 3: api.CacheStatus.MISS_FETCH_PENDING}


def _indexed(where: str, table: tuple[Any, ...], value: Any) -> Any:
    if not 0 <= typed(where, value, int) < len(table):
        raise WireFormatError(f"{where}: unknown value {value!r}")
    return table[value]


def _server(entry: Fields) -> api.Endpoint:
    return api.Endpoint(
        id=entry["server"],
        kind=entry.get("type") or "",
        state=_indexed("lines.mode", _STATES, entry["mode"]),
        weight=1.0 if entry.get("weight") is None else entry["weight"],
        started_ns=entry.get("bornNs") or 0,
        zone=entry.get("campus") or "",
        cell=entry.get("stripe") or 0,
    )


def _servers_changed(fields: Fields) -> api.EndpointsChanged:
    kind = _indexed("backendsChanged.scope", _LIST_KINDS, fields["scope"])
    return api.EndpointsChanged(kind, tuple(_server(entry) for entry in fields.get("lines") or ()))


def _load(row: list[float] | None) -> tuple[float, ...] | None:
    return tuple(row) if row else None


def _request(fields: Fields) -> api.RequestArrived:
    return api.RequestArrived(
        request_id=typed("request.corr", fields["corr"], str),
        request_class=fields["category"],
        deadline_ns=typed("request.giveUpAtNs", fields["giveUpAtNs"], int),
        tenant=fields.get("clientGroup") or None,
        key=fields.get("pathKey"),
        is_write=bool(fields.get("mutates")),
        is_retry=bool(fields.get("repeat")),
    )


def _reply(fields: Fields) -> api.AttemptEnded:
    return api.AttemptEnded(
        request_id=fields["corr"],
        attempt=fields["copy"],
        endpoint_id=fields["server"],
        outcome=choice("reply.verdict", _OUTCOMES, fields["verdict"]),
        request_answered=fields["terminal"],
        latency_ns=fields["timeTakenNs"],
        cache_status=_NOTES.get(fields.get("note") or 0),
        load_report=_load(fields.get("feedback")),
    )


def _echo(fields: Fields) -> api.HealthCheckEnded:
    return api.HealthCheckEnded(
        endpoint_id=fields["server"],
        outcome=choice("echo.verdict", _OUTCOMES, fields["verdict"]),
        latency_ns=fields["timeTakenNs"],
        load_report=_load(fields.get("feedback")),
    )


_EVENTS: dict[str, Callable[[Fields], api.Event]] = {
    "backendsChanged": _servers_changed,
    "request": _request,
    "opened": lambda fields: api.StreamStarted(fields["corr"], fields["copy"]),
    "reply": _reply,
    "clientLeft": lambda fields: api.RequestCancelled(fields["corr"]),
    "fired": lambda fields: api.TimerFired(fields["handle"]),
    "echo": _echo,
}


def _send(action: api.SendAttempt) -> Fields:
    return {
        "transmit": {"corr": action.request_id, "server": action.endpoint_id, "patienceNs": action.timeout_ns}
    }


_ACTIONS: dict[type, Callable[[Any], Fields]] = {
    api.SendAttempt: _send,
    api.Reject: lambda a: {"sayNo": {"corr": a.request_id, "backoffNs": a.retry_after_ns}},
    api.Fail: lambda a: {"finishError": {"corr": a.request_id}},
    api.SetTimer: lambda a: {"setAlarm": {"fromNowNs": a.delay_ns, "handle": a.token}},
    api.Subscribe: lambda a: {"listen": {"want": True}},
    api.CheckHealth: lambda a: {"healthCheck": {"server": a.endpoint_id}},
}


class Adapter:
    """Hosts router instances by number and answers batches of wire events."""

    def __init__(self) -> None:
        self._routers: dict[int, RoutingPolicy] = {}

    def answer(self, line: bytes) -> bytes:
        """Answer one batch with one reply line; raises WireError on malformed input."""
        try:
            batch = typed("batch", orjson.loads(line), dict)
            now = typed("batch.nowNs", batch["nowNs"], int)
            groups = []
            for group in typed("batch.groups", batch["groups"], list):
                number = typed("group.router", typed("group", group, dict)["router"], int)
                orders: list[Fields] = []
                for event in typed("group.in", group["in"], list):
                    self._deliver(number, event, now, orders)
                if orders:
                    groups.append({"router": number, "orders": orders})
        except orjson.JSONDecodeError as error:
            raise WireFormatError(f"not JSON: {error}") from None
        except KeyError as error:
            raise WireFormatError(f"missing field {error.args[0]!r}") from None
        return orjson.dumps({"groups": groups}, option=orjson.OPT_APPEND_NEWLINE)

    def _deliver(self, number: int, message: Any, now: int, orders: list[Fields]) -> None:
        if len(typed("event", message, dict)) != 1:
            raise WireFormatError("event: expected an object with a single key, the event's name")
        ((name, fields),) = message.items()
        typed(name, fields, dict)
        if name == "create":
            seed, facts = typed("create.salt", fields["salt"], int), typed("facts", fields["facts"], dict)
            try:
                self._routers[number] = RoutingPolicy(read_settings(facts), seed)
            except (TypeError, ValueError) as error:
                raise WireFormatError(f"create: {error}") from None
            return
        router = self._routers.get(number)
        if router is None:
            raise WireFormatError(f"event {name!r} for unknown instance {number}")
        if name == "destroy":
            del self._routers[number]
            return
        if name == "inbox":  # routers share nothing: a peer's message is no observation of one's own
            return
        try:
            event = _EVENTS[name](fields)
        except KeyError as error:
            known = name in _EVENTS
            raise WireFormatError(
                f"{name}: missing field {error.args[0]!r}" if known else f"unknown event {name!r}"
            ) from None
        try:
            actions = router.handle(event, now)
        except Exception as error:  # a failure in the decisions is reported where the wire provides for it
            orders.append({"panic": {"message": f"{type(error).__name__}: {error}"}})
            return
        for action in actions:
            orders.append(_ACTIONS[type(action)](action))


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every line of `source` until it ends."""
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
