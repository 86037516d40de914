"""What a router is told at its start: the file named by LB_CONFIG and the variables beside it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from holdgw.peers.gossip import PeerConfig
from holdgw.peers.update_budget import MIN_BYTES_PER_S, UPDATE_BYTES_PER_S
from holdgw.policy import NS_PER_S, Settings, WireFormatError, read_settings, require_type
from holdgw.router.platform import read_file
from holdgw.wire.address import Address, parse_address

DEFAULT_MAX_OPEN = 20_000
DEFAULT_DIAL_TIMEOUT_NS = 250_000_000
DEFAULT_IDLE_CLOSE_NS = 10_000_000_000
DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKETS = 1024


class ConfigError(Exception):
    """The configuration can't be used; the text is one plain line."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration in the router's own terms; times are nanoseconds."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    max_open: int
    """Most requests open at a time."""
    dial_timeout: int
    copies: bool
    """Whether a request may have two attempts out at a time."""
    idle_close: int
    """After so long at the latest a cache server closes an idle connection."""
    memory: int
    """Bytes; over this the router is killed."""
    sockets: int
    ops: Address | None
    """Where operators call; None: nowhere."""
    passed: int | None
    """The descriptor of the clients' listening socket, where the platform holds it."""
    peers: PeerConfig | None
    """The other routers, where the settings allow speaking to them."""
    known: dict[str, Any] | None
    """The list of servers as last held, in discovery's form; it may be old."""

    @property
    def longest_s(self) -> float:
        """Seconds for which a client waits at most."""
        return max(cls.deadline_ns for cls in self.settings.classes) / NS_PER_S


def load_config(
    environ: Mapping[str, str], again: bool = False, read: Callable[[str], bytes] = read_file
) -> Config:
    """Read the configuration; the variables go before what the file says, but not when it is read again."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        told = require_type("the file", orjson.loads(read(path)), dict)
        # Danger: the variables are as old as the process, and would hide what a new file names.
        return _config(told, {} if again else environ)
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: {error}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: missing field {error.args[0]!r}") from None
    except (WireFormatError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _positive(where: str, value: Any, default: int) -> int:
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 1:
        raise ValueError(f"{where}: expected a number of at least 1, got {value!r}")
    return int(value)


def _descriptor(where: str, text: str | None) -> int | None:
    if not text:
        return None
    if not text.isdecimal() or len(text) > 6:
        raise ValueError(f"{where}: expected a descriptor's number, got {text!r}")
    return int(text)


def _config(told: dict[str, Any], environ: Mapping[str, str]) -> Config:
    facts = require_type("settings", told["settings"], dict)
    ceilings = facts.get("ceilings") or {}
    limits = require_type("limits", told.get("limits") or {}, dict)
    known = told.get("known")
    ops = environ.get("LB_OPS") or told.get("ops")
    return Config(
        name=environ.get("LB_NAME") or str(told.get("name") or "router"),
        listen=parse_address("listen", environ.get("LB_LISTEN") or told["listen"]),
        discovery=parse_address("discovery", environ.get("LB_DISCOVERY") or told["discovery"]),
        seed=int(str(told.get("seed") or "0"), 16),
        settings=read_settings(facts),
        max_open=_positive("ceilings.maxOpen", ceilings.get("maxOpen"), DEFAULT_MAX_OPEN),
        dial_timeout=_positive(
            "ceilings.dialTimeoutNs", ceilings.get("dialTimeoutNs"), DEFAULT_DIAL_TIMEOUT_NS
        ),
        copies=bool(ceilings.get("secondCopies")),
        idle_close=_positive("ceilings.idleCloseNs", ceilings.get("idleCloseNs"), DEFAULT_IDLE_CLOSE_NS),
        memory=_positive("limits.memory_mb", limits.get("memory_mb"), DEFAULT_MEMORY_MB) << 20,
        sockets=_positive("limits.sockets", limits.get("sockets"), DEFAULT_SOCKETS),
        ops=parse_address("ops", ops) if ops else None,
        passed=_descriptor("LB_PASSED_SOCKET", environ.get("LB_PASSED_SOCKET")),
        peers=_peers(told, facts) if ceilings.get("peers") and told.get("peer_listen") else None,
        known=require_type("known", known, dict) if known is not None else None,
    )


def _peers(told: dict[str, Any], facts: dict[str, Any]) -> PeerConfig | None:
    """This router's place among its peers; None where the file names no other router."""
    addresses = tuple(
        parse_address("peers", one) for one in require_type("peers", told.get("peers") or [], list)
    )
    me = facts.get("me", 0)
    if len(addresses) < 2:
        return None
    if isinstance(me, bool) or not isinstance(me, int) or not 0 <= me < len(addresses):
        raise ValueError(f"settings.me: expected a place in the {len(addresses)} peers, got {me!r}")
    zones = facts.get("failureDomains") or []
    zone = zones.index(facts["zone"]) if facts.get("zone") in zones else 0
    listen = parse_address("peer_listen", told["peer_listen"])
    return PeerConfig(
        me,
        listen,
        addresses,
        zone,
        _aggregators(told, addresses),
        update_bytes_per_s=_update_bytes(told.get("peer_update_bytes")),
    )


def _update_bytes(value: Any) -> float:
    """What membership's updates may cost, bytes a second; the default where the file names nothing."""
    if value is None:
        return UPDATE_BYTES_PER_S
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not value >= MIN_BYTES_PER_S:
        raise ValueError(
            f"peer_update_bytes: expected a number of at least {MIN_BYTES_PER_S:g}, got {value!r}"
        )
    return float(value)


def _aggregators(told: dict[str, Any], addresses: tuple[Address, ...]) -> tuple[int, ...]:
    """The numbers of the members that aggregate load reports; none where the file names none."""
    named = require_type("peer_aggregators", told.get("peer_aggregators") or [], list)
    found = []
    for one in named:
        address = parse_address("peer_aggregators", one)
        if address not in addresses:
            raise ValueError(f"peer_aggregators: {one} is none of the {len(addresses)} peers")
        found.append(addresses.index(address))
    return tuple(sorted(set(found)))
