"""The configuration: the JSON file named by LB_CONFIG, and the environment variables that override it.

No other module knows the names of the file's keys.
"""

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

DEFAULT_MAX_OPEN_REQUESTS = 20_000
DEFAULT_DIAL_TIMEOUT_NS = 250_000_000
DEFAULT_IDLE_TIMEOUT_NS = 10_000_000_000
DEFAULT_MEMORY_MIB = 192
DEFAULT_MAX_DESCRIPTORS = 1024
MAX_DESCRIPTOR_DIGITS = 6
MIB_SHIFT = 20


class ConfigError(Exception):
    """The configuration is invalid; the message is one line."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a router or an aggregator, checked and with defaults filled in."""

    name: str
    """The name in each log line."""
    listen_address: Address
    """The address at which clients connect, unless `passed_descriptor` is set."""
    discovery_address: Address
    seed: int
    """The seed of the routing policy's random choices."""
    settings: Settings
    """The routing policy's settings."""
    max_open_requests: int
    """The most requests open at a time; further ones are rejected."""
    dial_timeout_ns: int
    """Timeout for establishing a connection to an endpoint."""
    hedging_allowed: bool
    """Whether a request may have two attempts in flight at a time."""
    idle_timeout_ns: int
    """The longest time after which cache servers close an idle connection."""
    memory_bytes: int
    """Memory limit above which the system kills the process."""
    max_descriptors: int
    """The process's limit of file descriptors."""
    admin_address: Address | None
    """The admin endpoint's address; None if there is no admin endpoint."""
    passed_descriptor: int | None
    """Descriptor of a listening socket for clients that the system passes to the process, if any."""
    peers: PeerConfig | None
    """This router's place among its peers; None without peers or where the settings allow none."""
    known_endpoints: dict[str, Any] | None
    """An endpoint list in discovery's format to start with, possibly outdated."""

    @property
    def max_deadline_s(self) -> float:
        """The longest deadline of any request class, seconds."""
        return max(cls.deadline_ns for cls in self.settings.classes) / NS_PER_S


def load_config(
    environ: Mapping[str, str], is_reload: bool = False, read: Callable[[str], bytes] = read_file
) -> Config:
    """Read the configuration; raises ConfigError.

    Environment variables override the file's keys, except on a reload: the variables date from the start of
    the process, and would hide values that have changed in the file.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        document = require_type("the file", orjson.loads(read(path)), dict)
        return _read_config(document, {} if is_reload else environ)
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: {error}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: missing field {error.args[0]!r}") from None
    except (WireFormatError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _read_config(document: dict[str, Any], environ: Mapping[str, str]) -> Config:
    settings = require_type("settings", document["settings"], dict)
    ceilings = settings.get("ceilings") or {}
    limits = require_type("limits", document.get("limits") or {}, dict)
    known = document.get("known")
    admin_address = environ.get("LB_OPS") or document.get("ops")
    has_peers = ceilings.get("peers") and document.get("peer_listen")
    return Config(
        name=environ.get("LB_NAME") or str(document.get("name") or "router"),
        listen_address=parse_address("listen", environ.get("LB_LISTEN") or document["listen"]),
        discovery_address=parse_address("discovery", environ.get("LB_DISCOVERY") or document["discovery"]),
        seed=int(str(document.get("seed") or "0"), 16),
        settings=read_settings(settings),
        max_open_requests=_read_positive_int(
            "ceilings.maxOpen", ceilings.get("maxOpen"), DEFAULT_MAX_OPEN_REQUESTS
        ),
        dial_timeout_ns=_read_positive_int(
            "ceilings.dialTimeoutNs", ceilings.get("dialTimeoutNs"), DEFAULT_DIAL_TIMEOUT_NS
        ),
        hedging_allowed=bool(ceilings.get("secondCopies")),
        idle_timeout_ns=_read_positive_int(
            "ceilings.idleCloseNs", ceilings.get("idleCloseNs"), DEFAULT_IDLE_TIMEOUT_NS
        ),
        memory_bytes=_read_positive_int("limits.memory_mb", limits.get("memory_mb"), DEFAULT_MEMORY_MIB)
        << MIB_SHIFT,
        max_descriptors=_read_positive_int("limits.sockets", limits.get("sockets"), DEFAULT_MAX_DESCRIPTORS),
        admin_address=parse_address("ops", admin_address) if admin_address else None,
        passed_descriptor=_read_descriptor("LB_PASSED_SOCKET", environ.get("LB_PASSED_SOCKET")),
        peers=_read_peers(document, settings) if has_peers else None,
        known_endpoints=require_type("known", known, dict) if known is not None else None,
    )


def _is_number(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def _read_positive_int(setting_name: str, value: Any, default: int) -> int:
    if value is None:
        return default
    if not _is_number(value) or value < 1:
        raise ValueError(f"{setting_name}: expected a number of at least 1, got {value!r}")
    return int(value)


def _read_descriptor(setting_name: str, text: str | None) -> int | None:
    if not text:
        return None
    if not text.isdecimal() or len(text) > MAX_DESCRIPTOR_DIGITS:
        raise ValueError(f"{setting_name}: expected the number of a descriptor, got {text!r}")
    return int(text)


def _read_peers(document: dict[str, Any], settings: dict[str, Any]) -> PeerConfig | None:
    """This router's place among its peers; None if the file names no other router."""
    named = require_type("peers", document.get("peers") or [], list)
    addresses = tuple(parse_address("peers", address) for address in named)
    number = settings.get("me", 0)
    if len(addresses) < 2:
        return None
    if isinstance(number, bool) or not isinstance(number, int) or not 0 <= number < len(addresses):
        raise ValueError(f"settings.me: expected an index into the {len(addresses)} peers, got {number!r}")
    zones = settings.get("failureDomains") or []
    zone = zones.index(settings["zone"]) if settings.get("zone") in zones else 0
    return PeerConfig(
        number,
        parse_address("peer_listen", document["peer_listen"]),
        addresses,
        zone,
        _read_aggregators(document, addresses),
        update_bytes_per_s=_read_update_rate(document.get("peer_update_bytes")),
    )


def _read_update_rate(value: Any) -> float:
    """The bandwidth limit of membership updates in bytes per second; the default if the file sets none."""
    if value is None:
        return UPDATE_BYTES_PER_S
    if not _is_number(value) or not value >= MIN_BYTES_PER_S:
        raise ValueError(
            f"peer_update_bytes: expected a number of at least {MIN_BYTES_PER_S:g}, got {value!r}"
        )
    return float(value)


def _read_aggregators(document: dict[str, Any], addresses: tuple[Address, ...]) -> tuple[int, ...]:
    """The numbers of the members that aggregate load reports; empty if the file names none."""
    numbers = set[int]()
    for named in require_type("peer_aggregators", document.get("peer_aggregators") or [], list):
        address = parse_address("peer_aggregators", named)
        if address not in addresses:
            raise ValueError(f"peer_aggregators: {named} is none of the {len(addresses)} peers")
        numbers.add(addresses.index(address))
    return tuple(sorted(numbers))
