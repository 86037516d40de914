"""Makes a router's configuration from a scenario, and reads the deploy file.

The configuration's form is that of DEPLOY, "What a router is told".
"""

from __future__ import annotations

import subprocess
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from holdgw.emulators.node import REPORT_FIELDS
from holdgw.emulators.seeded_draws import unit
from holdgw.harness.scenario import Scenario, member_names, zone_of
from holdgw.wire.address import Address, format_address

NODE_KIND, STORE_KIND = "std-1c", "origin"
_EFFECTS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
_NS_PER_MS = 1_000_000
MAX_RETRY_AFTER_MS = 1200


@dataclass(frozen=True, slots=True)
class Peers:
    """Addresses for a router's datagrams: its own, and those of its peers in the order of their numbers."""

    listen: Address
    each: tuple[Address, ...]
    all: Address
    aggregators: tuple[Address, ...] = ()
    """Those of `each` that are dedicated aggregators of load reports; they come after the routers."""


class DeployError(Exception):
    """The deploy file cannot be used; the text is one line that names the file and the field."""


def run_command(path: Path) -> str:
    """Return the command that starts one router; raises DeployError."""
    return _command(path, "run")


def build(path: Path) -> None:
    """Run the deploy file's `build` command, if it has one, as a deployment does before `run`.

    Without the build, `run` may start the result of an earlier build instead of the current sources.

    Raises:
        DeployError: The build failed.
    """
    if "build" not in _read(path):
        return
    result = subprocess.run(
        ["/bin/sh", "-c", _command(path, "build")],
        cwd=path.absolute().parent.parent,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        check=False,
    )
    if result.returncode:
        last_line = result.stdout.decode(errors="replace").strip().rpartition("\n")[2]
        raise DeployError(f"{path}: build ended with {result.returncode}: {last_line}")


def _read(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else str(error)
        raise DeployError(f"{path}: {reason}") from None


def _command(path: Path, key: str) -> str:
    command = _read(path).get(key)
    if not isinstance(command, str) or not command.strip():
        raise DeployError(f"{path}: {key}: expected a command, got {command!r}")
    return command


def settings(scenario: Scenario, number: int) -> dict[str, Any]:
    """Return the settings of the router with this number, in the names and units of its configuration."""
    node, router = scenario.node, scenario.router
    total_share = sum(one.share for one in scenario.tenants)
    ceilings = {
        "cancel": True,
        "dialTimeoutNs": 120 * _NS_PER_MS,
        "idleCloseNs": int(node.idle_s * 1e9),
        "maxOpen": 20_000,
        "maxRetryAfterNs": MAX_RETRY_AFTER_MS * _NS_PER_MS,
        "mayProbe": router.probes,
        "mostTries": router.attempts,
        "peers": scenario.peers.allowed,
        "retryAfter": router.retry_after,
        "secondCopies": True,
        "streamsPerConn": 32,
    }
    return {
        "balancers": scenario.fleet.routers,
        "me": number,
        "ceilings": ceilings,
        "classes": [
            {
                "name": one.name,
                "aimNs": int(one.aim_ms * _NS_PER_MS),
                "giveUpNs": int(one.give_up_ms * _NS_PER_MS),
                "dedupWindowNs": int(one.window_ms * _NS_PER_MS),
                "group": "all",
                "semantics": _EFFECTS[one.effect],
                "streamed": False,
                "worth": one.worth,
                "lateValue": one.late_worth,
            }
            for one in scenario.classes
        ],
        "tenants": [
            {"name": one.name, "portion": one.share / total_share, "quotaPerS": one.quota_per_s}
            for one in scenario.tenants
        ],
        "failureDomains": list(scenario.fleet.zones),
        "zone": zone_of(scenario.fleet.zones, number),
        "familyInfo": {"mode": "aside", "originKind": 1},
        "feedback": {"fields": list(REPORT_FIELDS), "how": "answers"},
        "kinds": [NODE_KIND, STORE_KIND],
        "membershipMode": "automatic" if scenario.discovery.mode == "push" else "subscribe",
        "weightKind": "none",
        "rules": {
            "askWithinNs": 10_000_000_000,
            "coldNs": int(node.warm_s * 1e9),
            "coldShare": node.cold_share,
            "drainGraceNs": int(router.drain_grace_ms * _NS_PER_MS),
            "fallMultiple": node.fall_multiple,
            "fallNs": int(node.fall_s * 1e9),
        },
    }


def configuration(
    scenario: Scenario,
    seed: int,
    name: str,
    start: int,
    listen: Address,
    discovery: Address,
    known: Any,
    ops: Address | None = None,
    peers: Peers | None = None,
) -> dict[str, Any]:
    """Return the content of a router's configuration file (LB_CONFIG).

    Args:
        scenario: The scenario of the run.
        seed: The seed of the run.
        name: The router's name.
        start: The number of this start of the router, which changes the router's own seed.
        listen: Where the router listens for clients.
        discovery: Where discovery listens for this router.
        known: The endpoint list as discovery has it now; None if there is none to tell.
        ops: Where the router's admin endpoint listens; None: it has none.
        peers: Addresses for datagrams of peers; None: peers are not allowed.
    """
    among: dict[str, Any] = {"peers": []}
    if peers is not None:
        among = {
            "peer_listen": format_address(peers.listen),
            "peers": [format_address(one) for one in peers.each],
            "peers_all": format_address(peers.all),
            "peer_aggregators": [format_address(one) for one in peers.aggregators],
        }
    return {
        "name": name,
        "listen": format_address(listen),
        "discovery": format_address(discovery),
        "seed": f"{int(unit(seed, 'router', name, start) * (1 << 60)):016x}",
        "limits": {
            "cores": scenario.router.cores,
            "memory_mb": scenario.router.memory_mb,
            "sockets": scenario.router.sockets,
        },
        **({"ops": format_address(ops)} if ops is not None else {}),
        **among,
        "known": known,
        "settings": settings(scenario, member_names(scenario).index(name)),
    }
