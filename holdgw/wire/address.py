"""Addresses as the configuration and discovery write them."""

from __future__ import annotations

from typing import Any

Address = tuple[str, int]


def parse_address(where: str, text: Any) -> Address:
    """Split HOST:PORT; raises ValueError in one plain line."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{where}: expected HOST:PORT, got {text!r}")
    return host.strip("[]"), int(port)


def format_address(address: Address) -> str:
    """Write HOST:PORT."""
    return f"{address[0]}:{address[1]}"
