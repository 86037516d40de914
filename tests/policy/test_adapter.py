"""The adapter over a pipe: batches in, orders out, and one-line errors for malformed input."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parent.parent.parent
FACTS: dict[str, Any] = {
    "balancers": 2,
    "ceilings": {"mostTries": 4, "retryAfter": True, "maxRetryAfterNs": 1000, "mayProbe": None},
    "classes": [
        {"name": "get", "aimNs": 10**8, "giveUpNs": 10**9, "semantics": "retryable", "group": None},
        {"name": "put", "aimNs": 10**8, "giveUpNs": 10**9, "semantics": "dedup", "dedupWindowNs": 10**9},
    ],
    "familyInfo": {"mode": "aside", "originKind": 1},
    "kinds": ["std", "origin"],
    "membershipMode": "subscribe",
    "somethingNew": {"ignored": True},
    "tenants": None,
}
LINES = [
    {
        "server": f"10.0.0.{i}:80",
        "type": "std",
        "mode": 1,
        "weight": 1,
        "stripe": 0,
        "bornNs": None,
        "campus": "z",
    }
    for i in range(4)
] + [{"server": "10.1.0.0:80", "type": "origin", "mode": 1, "weight": 1}]


def batch(now: int, *events: dict[str, Any], router: int = 3) -> dict[str, Any]:
    return {"nowNs": now, "groups": [{"router": router, "in": list(events)}]}


def create(router: int = 3) -> dict[str, Any]:
    endpoint_list = {"backendsChanged": {"index": 1, "scope": 2, "lines": LINES}}
    return batch(1, {"create": {"salt": 5, "facts": FACTS}}, endpoint_list, router=router)


def request_event(corr: str, key: str | None = "k", category: str = "get") -> dict[str, Any]:
    fields = {"corr": corr, "category": category, "clientGroup": None, "pathKey": key, "giveUpAtNs": 10**9}
    return {"request": {**fields, "mutates": category == "put", "repeat": False}}


def reply(corr: str, server: str, verdict: str, copy: int = 0, terminal: bool = False) -> dict[str, Any]:
    fields = {"corr": corr, "server": server, "verdict": verdict, "copy": copy, "terminal": terminal}
    return {"reply": {**fields, "timeTakenNs": 1000, "note": 2, "feedback": None}}


def run(*lines: object, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    text = "".join(line if isinstance(line, str) else json.dumps(line) + "\n" for line in lines)
    return subprocess.run(
        [sys.executable, "-m", "holdgw.policy.adapter"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        timeout=60,
        check=False,
    )


def orders(result: subprocess.CompletedProcess[str], line: int) -> list[dict[str, Any]]:
    groups = json.loads(result.stdout.splitlines()[line])["groups"]
    return groups[0]["orders"] if groups else []


def test_hit_miss_and_write_over_a_pipe() -> None:
    first = run(create(), batch(10, request_event("r"), request_event("w", category="put")))
    assert (first.returncode, first.stderr) == (0, "")
    (timer,) = orders(first, 0)
    assert set(timer) == {"setAlarm"}
    read, write = orders(first, 1)
    assert write["transmit"]["server"] == "10.1.0.0:80"
    cache = read["transmit"]["server"]
    second = run(
        create(),
        batch(10, request_event("r"), request_event("w", category="put")),
        batch(20, reply("r", cache, "lookup_miss"), reply("w", "10.1.0.0:80", "completed", terminal=True)),
        batch(30, reply("r", "10.1.0.0:80", "completed", 1, True), {"fired": {"handle": "subscribe"}}),
    )
    (fetch,) = orders(second, 2)
    assert (fetch["transmit"]["corr"], fetch["transmit"]["server"]) == ("r", "10.1.0.0:80")
    assert orders(second, 3) == [{"listen": {"want": True}}]


def test_every_event_of_the_wire_format_is_accepted() -> None:
    result = run(
        create(),
        batch(10, request_event("r", key=None)),
        batch(
            11,
            {"opened": {"corr": "r", "copy": 0, "server": "10.0.0.0:80", "timeTakenNs": 1}},
            {"echo": {"server": "10.0.0.0:80", "verdict": "completed", "timeTakenNs": 1, "feedback": [1.5]}},
            {"inbox": {"originPeer": 0, "bytes": "hi"}},
            {"clientLeft": {"corr": "r"}},
            {"fired": {"handle": "unknown"}},
            {"backendsChanged": {"index": 2, "scope": 3, "lines": None}},
        ),
        batch(12, {"destroy": {}}),
        {"nowNs": 13, "groups": []},
    )
    assert (result.returncode, result.stderr) == (0, "")
    assert len(result.stdout.splitlines()) == 5


def test_actions_are_the_same_for_any_hash_seed_and_any_split_over_processes() -> None:
    events = [batch(10 + i, request_event(f"r{i}", key=f"k{i % 7}")) for i in range(40)]
    plain = run(create(), *events)
    assert plain.stdout == run(create(), *events, hash_seed="77").stdout
    with_other_router = run(create(8), create(), *events)
    assert plain.stdout.splitlines()[1:] == with_other_router.stdout.splitlines()[2:]


@pytest.mark.parametrize(
    ("line", "words"),
    [
        ("{nonsense\n", "not JSON"),
        ("[]\n", "expected object"),
        ({"groups": []}, "missing field 'nowNs'"),
        ({"nowNs": True, "groups": []}, "batch.nowNs: expected integer"),
        ({"nowNs": 1, "groups": {}}, "batch.groups: expected array"),
        ({"nowNs": 1, "groups": [{"in": []}]}, "missing field 'router'"),
        (batch(1, {"fired": {"handle": "x"}}, router=9), "unknown instance 9"),
        (batch(1, {"novelty": {}}), "unknown event 'novelty'"),
        (batch(1, {"fired": {}}), "fired: missing field 'handle'"),
        (batch(1, {"fired": None}), "fired: expected object"),
        (batch(1, {"fired": {}, "echo": {}}), "single key"),
        (batch(1, reply("r", "s", "vanished")), "unknown value 'vanished'"),
        (batch(1, {"backendsChanged": {"index": 1, "scope": 7, "lines": []}}), "scope: unknown value 7"),
        (batch(1, {"request": {"corr": 5, "category": "get", "giveUpAtNs": 1}}), "request.corr"),
        (batch(1, {"create": {"salt": 1, "facts": {"classes": []}}}), "create: settings: classes"),
        (batch(1, {"create": {"salt": 1, "facts": {}}}), "missing field 'classes'"),
    ],
)
def test_malformed_input_is_reported_in_one_line_and_ends_the_process(line: object, words: str) -> None:
    result = run(create(), line)
    assert result.returncode == 2
    assert words in result.stderr
    assert len(result.stderr.splitlines()) == 1
    assert len(result.stdout.splitlines()) == 1  # the valid batch was answered, the malformed one was not


def test_exception_in_the_policy_is_reported_as_a_panic() -> None:
    result = run(create(), batch(10, request_event("r", category="unheard-of")))
    assert result.returncode == 0
    (order,) = orders(result, 1)
    assert "unheard-of" in order["panic"]["message"]
