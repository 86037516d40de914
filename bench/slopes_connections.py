"""Measures a router's connections to its endpoints: their number, and the memory and descriptors of each.

The number is measured in steady state, by response time and after starts. Routers run with emulated endpoints
over loopback (bench.slopes_run) and serve 934 requests a second each; connections are counted in the kernel's
table.
"""

from __future__ import annotations

import asyncio
import os
import time
from multiprocessing.connection import Connection

import uvloop

from bench.capacity_model import Measurement, Scale
from bench.router_core import CONTEXT, Children, bind_to
from bench.slopes import REPEATS, Readings, build_measurement
from bench.slopes_run import connections_to, running_rig, serve_endpoints
from holdgw.harness.routers import resident_bytes
from holdgw.router.cache_connection import CacheConnection
from holdgw.router.connection_pool import ConnectionPool
from holdgw.router.endpoint_pool import EndpointPool
from holdgw.wire.address import Address

REQUESTS_PER_S = 934.0
ENDPOINTS = 96
ENDPOINT_COUNTS = (12, 24, 48, 96)
RESPONSE_MS = (5.0, 20.0, 50.0, 100.0)
STARTED_ROUTERS = (1, 2, 3, 4)
CONNECTION_COUNTS = (250, 500, 1000, 2000, 4000)
STEADY_S, START_S, SETTLE_S = 6.0, 1.0, 0.5
CLIENTS = 256
VALUE_BYTES = 1_000
USUAL_RESPONSE_S = 0.02


def steady_state(endpoints: int, response_s: float) -> float:
    """Return the mean number of connections of an endpoint after a router has served for `STEADY_S`."""
    with running_rig(endpoints, VALUE_BYTES, response_s) as rig:
        rig.measure_load(rig.add_router(), CLIENTS, REQUESTS_PER_S, STEADY_S)
        return sum(connections_to(rig.addresses).values()) / endpoints


def after_start(routers: int) -> tuple[float, int]:
    """Return the mean and the largest number of connections of an endpoint, 1 s after the first requests.

    All routers are new and get their first requests at the same time.
    """
    with running_rig(ENDPOINTS, VALUE_BYTES, USUAL_RESPONSE_S) as rig:
        targets = [rig.add_router()[1] for _ in range(routers)]
        pipes = rig.start_clients("s", targets, CLIENTS * routers, REQUESTS_PER_S * routers, START_S)
        for pipe in pipes:
            assert pipe.recv() == "warm"
        counts = connections_to(rig.addresses)
        return sum(counts.values()) / ENDPOINTS, max(counts.values())


def open_connections(pipe: Connection, address: Address, count: int) -> None:
    """Open `count` connections to an endpoint as a router does; the pipe gets their bytes and descriptors."""
    bind_to(set(os.sched_getaffinity(0)))

    async def open_all() -> None:
        loop = asyncio.get_running_loop()
        pool = ConnectionPool(loop, count, 1.0, 60.0)
        endpoint = EndpointPool(pool, "held", address, CacheConnection)
        memory_before, descriptors_before = resident_bytes(os.getpid()), len(os.listdir("/proc/self/fd"))
        connections = [CacheConnection(endpoint) for _ in range(count)]
        for i in range(0, count, 100):
            batch = connections[i : i + 100]
            await asyncio.gather(*(loop.create_connection(lambda c=c: c, *address) for c in batch))  # type: ignore[misc]
        await asyncio.sleep(SETTLE_S)
        memory = resident_bytes(os.getpid()) - memory_before
        pipe.send((memory, len(os.listdir("/proc/self/fd")) - descriptors_before))
        for connection in connections:
            connection.close()
        pool.close()

    uvloop.run(open_all())


def connection_cost(count: int) -> tuple[int, int]:
    """Return the resident bytes and the descriptors that `count` connections take in a separate process."""
    children = Children()
    try:
        ((host, port),) = children.start(serve_endpoints, 1, set(os.sched_getaffinity(0)), VALUE_BYTES, 0.0)
        parent_end, child_end = CONTEXT.Pipe()
        child = CONTEXT.Process(target=open_connections, args=(child_end, (host, port), count))
        child.start()
        memory, descriptors = parent_end.recv()
        child.join()
        return memory, descriptors
    finally:
        children.kill()


def measure() -> Measurement:
    """Run the whole measurement, which takes six minutes and about two cores."""
    readings = Readings()
    readings.declare_series("at rest by servers", "servers", "connections a server", Scale.INVERSE)
    readings.declare_series("at rest by answer time", "ms", "connections a server")
    readings.declare_series("after a start", "routers", "connections at the mean server")
    readings.declare_series("after a start, busiest", "routers", "connections at the busiest server")
    readings.declare_series("memory of connections", "connections", "KB")
    readings.declare_series("descriptors of connections", "connections", "descriptors")
    for count in CONNECTION_COUNTS:
        for _ in range(REPEATS):
            memory, descriptors = connection_cost(count)
            readings.add("memory of connections", count, memory / 1e3)
            readings.add("descriptors of connections", count, descriptors)
            time.sleep(SETTLE_S)
    for _ in range(REPEATS):
        for endpoints in ENDPOINT_COUNTS:
            readings.add("at rest by servers", endpoints, steady_state(endpoints, USUAL_RESPONSE_S))
        for response_ms in RESPONSE_MS:
            readings.add("at rest by answer time", response_ms, steady_state(ENDPOINTS, response_ms / 1e3))
        for routers in STARTED_ROUTERS:
            mean, largest = after_start(routers)
            readings.add("after a start", routers, mean)
            readings.add("after a start, busiest", routers, largest)
    return build_measurement("connections", readings)
