"""The loopback addresses of a run's processes.

A connection to a loopback address leaves from 127.0.0.1, at a port that the kernel picks. Listeners that are
closed and opened again have other addresses, so that no connection takes their port meanwhile.
"""

from __future__ import annotations

import os

NETWORKS = 128
FIRST_NETWORK = 64
SUBNETS = 250
ROUTERS_PER_SUBNET = 200
EMULATOR_HOST = 2
FIRST_ROUTER_HOST = 10
FIRST_AGGREGATOR_HOST = 230


def _subnet(index: int = 0) -> str:
    """Return the first three numbers of an address in one of this process's subnets."""
    pid = os.getpid()
    return f"127.{FIRST_NETWORK + pid % NETWORKS}.{pid // NETWORKS % SUBNETS + index}"


def emulator_ip() -> str:
    """Return the address on which a run's emulators listen."""
    return f"{_subnet()}.{EMULATOR_HOST}"


def router_ip(index: int) -> str:
    """Return the address of a run's router by its index; each router has one of its own."""
    return f"{_subnet(index // ROUTERS_PER_SUBNET)}.{FIRST_ROUTER_HOST + index % ROUTERS_PER_SUBNET}"


def aggregator_ip(index: int, router_count: int) -> str:
    """Return the address of a run's dedicated aggregator by its index, beside `router_count` routers."""
    return f"{_subnet(router_count // ROUTERS_PER_SUBNET)}.{FIRST_AGGREGATOR_HOST + index}"
