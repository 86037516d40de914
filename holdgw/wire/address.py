"""Parses and formats the HOST:PORT addresses of the configuration and of discovery."""

from __future__ import annotations

from typing import Any

Address = tuple[str, int]


def parse_address(where: str, text: Any) -> Address:
    """Split HOST:PORT.

    Args:
        where: The place of the address, for the error message.
        text: The address; an IPv6 host may stand in brackets.

    Raises:
        ValueError: `text` is no address; the message is one line.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{where}: expected HOST:PORT, got {text!r}")
    return host.strip("[]"), int(port)


def format_address(address: Address) -> str:
    """Format an address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"
