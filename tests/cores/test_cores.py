"""A router on several cores (`holdgw run --cores N`): real processes and sockets."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import orjson
import pytest

from tests.emulated_nodes import (
    HIT,
    LIMIT_S,
    SERVED,
    Cache,
    DiscoveryServer,
    entry,
    read,
    run,
    unused_address,
)
from tests.helpers import S
from tests.operation.admin_calls import call, get, put, until_serving

ROOT = Path(__file__).resolve().parents[2]
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class WatchedDiscovery(DiscoveryServer):
    """Discovery whose list can change: a watch is answered once there is a newer generation of the list."""

    def __init__(self, instances: list[dict[str, Any]]) -> None:
        super().__init__(instances)
        self.list_changed = asyncio.Condition()
        self.reachable = asyncio.Event()
        self.reachable.set()
        self.watched_generation = 0
        """The generation that the last watch continued from."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            await self.reachable.wait()
            if b"index=" in head:
                async with self.list_changed:
                    generation = self.watched_generation = int(head.split(b"index=")[1].split(b"&")[0])
                    while self.generation <= generation:
                        await self.list_changed.wait()
            self.send_endpoint_list(writer)

    async def change(self, instances: list[dict[str, Any]]) -> None:
        async with self.list_changed:
            self.instances, self.generation = instances, self.generation + 1
            self.list_changed.notify_all()


class MultiCoreRouter:
    """A supervisor with its workers, two cache servers and discovery."""

    def __init__(self, folder: Path, workers: int, sockets: int) -> None:
        self.folder, self.workers, self.limit = folder, workers, sockets
        self.answering = asyncio.Event()
        self.answering.set()
        self.caches = [Cache(self._answer), Cache(self._answer)]
        self.agent = WatchedDiscovery([])
        self.address, self.admin_address = unused_address(), unused_address()

    async def _answer(self, _: list[bytes]) -> bytes:
        await self.answering.wait()
        return HIT

    def endpoint_entries(self, state: str = "up") -> list[dict[str, Any]]:
        """The endpoint list, with the second cache server in this state."""
        first, second = self.caches
        return [entry("s0", first.port), entry("s1", second.port, state=state)]

    async def start(self) -> None:
        for cache in self.caches:
            await cache.start()
        self.agent.instances = self.endpoint_entries()
        await self.agent.start()
        self.config = self.folder / "config.json"
        classes = [{"name": "read", "aimNs": S, "giveUpNs": 5 * S, "semantics": "retryable"}]
        self.config.write_bytes(
            orjson.dumps(
                {
                    "name": "n1",
                    "listen": "{}:{}".format(*self.address),
                    "discovery": f"127.0.0.1:{self.agent.port}",
                    "ops": "{}:{}".format(*self.admin_address),
                    "limits": {"sockets": self.limit, "memory_mb": 512},
                    "settings": {"classes": classes},
                }
            )
        )
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "holdgw", "run", "--cores", str(self.workers)),
            env={**os.environ, "LB_CONFIG": str(self.config), "PYTHONPATH": str(ROOT)},
            cwd=ROOT,
        )

    async def wait_until_serving(self) -> None:
        """Wait until every worker can serve."""
        await until_serving(self.admin_address, self.process)
        while b"\nlb_workers %d\n" % self.workers not in await self.metrics():
            await asyncio.sleep(0.02)

    def worker_pids(self) -> list[int]:
        """The process ids of the workers."""
        children = Path(f"/proc/{self.process.pid}/task/{self.process.pid}/children").read_text()
        return [int(word) for word in children.split()]

    def socket_count(self, pid: int) -> int:
        """The number of sockets that a process holds."""
        count = 0
        with contextlib.suppress(OSError):
            for name in os.listdir(f"/proc/{pid}/fd"):
                with contextlib.suppress(OSError):
                    count += os.readlink(f"/proc/{pid}/fd/{name}").startswith("socket:")
        return count

    def client_ports(self, pid: int) -> set[int]:
        """The ports of the clients whose connections a process holds."""
        targets = {os.readlink(path) for path in Path(f"/proc/{pid}/fd").iterdir() if path.is_symlink()}
        rows = [line.split() for line in Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]]
        own_rows = [row for row in rows if f"socket:[{row[9]}]" in targets]
        return {int(row[2][-4:], 16) for row in own_rows if int(row[1][-4:], 16) == self.address[1]}

    async def connect(self) -> Connection:
        return await asyncio.open_connection(*self.address)

    async def connect_clients(self, count: int, id_prefix: str) -> list[Connection]:
        """Open connections one after the other; each has had a request answered."""
        connections = []
        for i in range(count):
            connections.append(await self.connect())
            await request_value(connections[-1], f"{id_prefix}{i}", f"k{i}")
        return connections

    async def metrics(self) -> bytes:
        return await call(self.admin_address, get("/status/metrics"))

    async def wait_for_end(self) -> int:
        return await asyncio.wait_for(self.process.wait(), LIMIT_S)

    async def stop(self) -> None:
        if self.process.returncode is None:
            pids = self.worker_pids()
            self.process.kill()
            await self.wait_for_end()
            for pid in pids:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGKILL)
        self.agent.stop()
        for cache in self.caches:
            cache.stop()


@contextlib.asynccontextmanager
async def running_router(
    folder: Path, workers: int = 2, sockets: int = 1024
) -> AsyncIterator[MultiCoreRouter]:
    router = MultiCoreRouter(folder, workers, sockets)
    await router.start()
    try:
        yield router
    finally:
        await router.stop()


async def request_value(connection: Connection, name: str, key: str = "k") -> None:
    connection[1].write(read(name, key, 4000))
    await expect_value(connection)


async def expect_value(connection: Connection) -> None:
    assert await asyncio.wait_for(connection[0].readexactly(len(SERVED)), LIMIT_S) == SERVED


def is_alive(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


async def wait_until_ended(pids: list[int]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while any(is_alive(pid) for pid in pids):
            await asyncio.sleep(0.02)


def test_connections_are_spread_evenly_and_a_duplicate_id_is_rejected_at_every_worker(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_router(tmp_path, 3) as router:
            await router.wait_until_serving()
            before = {pid: router.socket_count(pid) for pid in router.worker_pids()}
            connections = []
            async with asyncio.timeout(LIMIT_S):
                for count in range(1, 10):  # each is accepted before the next is opened
                    connections.append(await router.connect())
                    while sum(router.socket_count(pid) - before[pid] for pid in before) < count:
                        await asyncio.sleep(0.005)
            assert [router.socket_count(pid) - before[pid] for pid in before] == [3, 3, 3]
            router.answering.clear()
            connections[0][1].write(read("same", "k", 4000))
            async with asyncio.timeout(LIMIT_S):
                while not any(cache.seen for cache in router.caches):
                    await asyncio.sleep(0.01)
            for reader, writer in connections[1:]:  # in progress at one worker, repeated at every other
                writer.write(read("same", "k", 4000))
                assert await asyncio.wait_for(reader.readline(), LIMIT_S) == b"-ERR duplicate id\r\n"
            router.answering.set()
            await expect_value(connections[0])
            late_client = await router.connect()
            late_client[1].write(read("same", "k", 4000))
            assert await asyncio.wait_for(late_client[0].readline(), LIMIT_S) == b"-ERR duplicate id\r\n"
            assert sum(len(cache.seen) for cache in router.caches) == 1

    run(test)


def test_no_worker_serves_before_it_has_the_list_and_clients_wait_for_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_router(tmp_path) as router:
            router.agent.reachable.clear()
            connection: Connection | None = None
            while connection is None:
                with contextlib.suppress(OSError):
                    connection = await router.connect()
                await asyncio.sleep(0.02)
            connection[1].write(read("early", "k", 4000))
            await asyncio.sleep(0.3)
            router.agent.reachable.set()
            await expect_value(connection)

    run(test)


def test_a_killed_worker_loses_only_its_own_connections_and_is_restarted(tmp_path: Path) -> None:
    """A worker is killed. Its clients' connections close; clients of the other worker notice nothing, new
    clients are served, and another worker process is started in its place.
    """

    async def test() -> None:
        async with running_router(tmp_path) as router:
            await router.wait_until_serving()
            connections = await router.connect_clients(6, "a")
            old = router.worker_pids()
            # How the clients are divided depends on how soon each worker accepts its connections. Clients of
            # the other worker must not notice in any case.
            of_killed = [
                connection[1].get_extra_info("sockname")[1] in router.client_ports(old[0])
                for connection in connections
            ]
            assert len(router.client_ports(old[0])) == sum(of_killed)
            os.kill(old[0], signal.SIGKILL)
            still_served = await asyncio.gather(
                *(
                    asyncio.wait_for(is_still_served(connection, i), LIMIT_S)
                    for i, connection in enumerate(connections)
                )
            )
            assert still_served == [not killed for killed in of_killed]
            assert set(still_served) == {True, False}
            new_clients = await router.connect_clients(4, "c")
            while len(router.worker_pids()) < 2:
                await asyncio.sleep(0.02)
            assert old[1] in router.worker_pids()
            for i, connection in enumerate(new_clients):
                await request_value(connection, f"d{i}")

    async def is_still_served(connection: Connection, i: int) -> bool:
        """Whether the client is still answered."""
        try:
            connection[1].write(read(f"b{i}", "k", 4000))
            await connection[0].readexactly(len(SERVED))
        except (OSError, asyncio.IncompleteReadError):
            return False
        return True

    run(test)


def test_all_workers_are_replaced_under_load_and_no_client_sees_an_error(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_router(tmp_path) as router:
            await router.wait_until_serving()
            old, done, count = router.worker_pids(), asyncio.Event(), 0

            async def client(number: int) -> None:
                nonlocal count
                connection, i = await router.connect(), 0
                while not done.is_set():
                    await request_value(connection, f"c{number}-{i}", f"k{i % 7}")
                    count, i = count + 1, i + 1
                    if number % 2 and i % 20 == 0:
                        connection[1].close()
                        connection = await router.connect()

            clients = [asyncio.create_task(client(number)) for number in range(8)]
            router.process.send_signal(signal.SIGUSR2)
            async with asyncio.timeout(LIMIT_S):
                while set(old) & set(router.worker_pids()) or len(router.worker_pids()) != 2:
                    await asyncio.sleep(0.02)
                    assert not any(task.done() for task in clients), clients
            count_before = count
            async with asyncio.timeout(LIMIT_S):
                while count < count_before + 50:
                    await asyncio.sleep(0.02)
            done.set()
            await asyncio.wait_for(asyncio.gather(*clients), LIMIT_S)
            async with asyncio.timeout(LIMIT_S):  # until the workers' next reports
                while f'disposition="succeeded"}} {count}\n'.encode() not in await router.metrics():
                    await asyncio.sleep(0.02)

    run(test)


def test_a_new_version_that_does_not_start_leaves_the_old_workers_serving(tmp_path: Path) -> None:
    """The workers are to be replaced, and the new version ends at its start. The replacement is aborted, and
    the old processes keep serving.
    """

    async def test() -> None:
        async with running_router(tmp_path) as router:
            await router.wait_until_serving()
            connections, old = await router.connect_clients(4, "a"), router.worker_pids()
            valid_config = router.config.read_bytes()
            router.config.write_bytes(b"{}")  # invalid: a starting worker reads this configuration and ends
            router.process.send_signal(signal.SIGUSR2)
            async with asyncio.timeout(LIMIT_S):
                while set(router.worker_pids()) <= set(old):
                    await asyncio.sleep(0.005)
                while set(router.worker_pids()) != set(old):
                    await asyncio.sleep(0.02)
            await asyncio.sleep(0.3)
            assert router.worker_pids() == old  # no other worker is replaced, and no second attempt is made
            for i, connection in enumerate(connections):
                await request_value(connection, f"b{i}")
            router.config.write_bytes(valid_config)

    run(test)


def test_workers_whose_supervisor_dies_answer_their_requests_and_end(tmp_path: Path) -> None:
    """The supervisor is killed. Its workers answer open requests, close their connections and end."""

    async def test() -> None:
        async with running_router(tmp_path) as router:
            await router.wait_until_serving()
            connections, pids = await router.connect_clients(2, "a"), router.worker_pids()
            router.answering.clear()
            connections[0][1].write(read("open", "k", 4000))
            async with asyncio.timeout(LIMIT_S):
                while sum(len(cache.seen) for cache in router.caches) < 3:
                    await asyncio.sleep(0.01)
            router.process.kill()
            await router.wait_for_end()
            router.answering.set()
            await expect_value(connections[0])
            await wait_until_ended(pids)

    run(test)


def test_sigterm_drains_every_worker_and_sighup_changes_the_discovery_address(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_router(tmp_path) as router:
            await router.wait_until_serving()
            other = WatchedDiscovery(router.endpoint_entries())
            await other.start()
            old_config = orjson.loads(router.config.read_bytes())
            router.config.write_bytes(orjson.dumps({**old_config, "discovery": f"127.0.0.1:{other.port}"}))
            router.process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(LIMIT_S):
                while not other.connections:
                    await asyncio.sleep(0.02)
            assert b"lb_sighup_applied 1" in await router.metrics()
            connections, pids = await router.connect_clients(4, "a"), router.worker_pids()
            router.answering.clear()
            connections[0][1].write(read("open", "k", 4000))
            async with asyncio.timeout(LIMIT_S):
                while sum(len(cache.seen) for cache in router.caches) < 5:
                    await asyncio.sleep(0.01)
            router.process.send_signal(signal.SIGTERM)
            late_client = await router.connect()
            await asyncio.sleep(0.1)
            router.answering.set()
            await expect_value(connections[0])
            await request_value(late_client, "late")
            for connection in [*connections, late_client]:
                assert await asyncio.wait_for(connection[0].read(), LIMIT_S) == b""
            assert await router.wait_for_end() == 0
            await wait_until_ended(pids)
            other.stop()

    run(test)


def test_a_stalled_worker_sends_nothing_to_an_endpoint_that_began_draining_meanwhile(tmp_path: Path) -> None:
    """A worker is stopped while an endpoint begins to drain. When it resumes, commands and the endpoint
    update are both waiting; the shared table's revision makes it apply the update first.
    """

    async def test() -> None:
        async with running_router(tmp_path, 1) as router:
            await router.wait_until_serving()
            connections = await router.connect_clients(16, "a")
            (worker,) = router.worker_pids()
            os.kill(worker, signal.SIGSTOP)
            try:
                # The commands reach the kernel before the update, so the event loop sees them first.
                for i, (_, writer) in enumerate(connections):
                    writer.write(read(f"b{i}", f"k{i}", 4000))
                await asyncio.sleep(0.05)
                await router.agent.change(router.endpoint_entries("draining"))
                async with asyncio.timeout(LIMIT_S):
                    while router.agent.watched_generation < router.agent.generation:
                        await asyncio.sleep(0.02)
                seen = len(router.caches[1].seen)
            finally:
                os.kill(worker, signal.SIGCONT)
            for connection in connections:
                await expect_value(connection)
            assert seen
            assert len(router.caches[1].seen) == seen

    run(test)


def test_a_worker_without_cpu_time_does_not_delay_new_clients(tmp_path: Path) -> None:
    """A worker is stopped and accepts nothing. Clients assigned to it wait until it resumes; new clients go
    to the other workers once it counts as unresponsive.
    """

    async def test() -> None:
        async with running_router(tmp_path, 3) as router:
            await router.wait_until_serving()
            stopped = router.worker_pids()[1]
            os.kill(stopped, signal.SIGSTOP)
            try:
                # One of these clients is assigned to the stopped worker.
                early_clients = [await router.connect() for _ in range(3)]
                await asyncio.sleep(0.3)
                await router.connect_clients(20, "a")  # none is assigned to the stopped worker
            finally:
                os.kill(stopped, signal.SIGCONT)
            for i, connection in enumerate(early_clients):
                await request_value(connection, f"b{i}")

    run(test)


def test_sixteen_workers_serve_and_end_on_any_number_of_cores(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_router(tmp_path, 16, sockets=4096) as router:
            await router.wait_until_serving()
            connections, pids = await router.connect_clients(32, "a"), router.worker_pids()
            assert len(pids) == 16
            router.process.send_signal(signal.SIGTERM)
            for connection in connections:
                assert await asyncio.wait_for(connection[0].read(), LIMIT_S) == b""
            assert await router.wait_for_end() == 0
            await wait_until_ended(pids)

    run(test)


def test_an_override_holds_at_every_worker(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_router(tmp_path, 3) as router:
            await router.wait_until_serving()
            connections = await router.connect_clients(6, "a")
            assert (await call(router.admin_address, put("/maintenance/enter", "s1"))).startswith(
                b"HTTP/1.1 200"
            )
            seen = len(router.caches[1].seen)
            for i, connection in enumerate(connections):
                for j in range(8):
                    await request_value(connection, f"b{i}-{j}", f"k{j}")
            assert len(router.caches[1].seen) == seen
            assert b"\nlb_ejected 1\n" in await router.metrics()

    run(test)


@pytest.mark.parametrize(("cores", "text"), [("0", "--cores"), ("65", "--cores"), ("16", "need 408 MB")])
def test_limits_that_do_not_suffice_end_with_one_line_and_code_2(
    tmp_path: Path, cores: str, text: str
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        classes = [{"name": "read", "aimNs": S, "giveUpNs": 5 * S, "semantics": "retryable"}]
        config = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {"classes": classes}}
        path.write_bytes(orjson.dumps(config))
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "holdgw", "run", "--cores", cores),
            env={**os.environ, "LB_CONFIG": str(path)},
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )
        _, stderr = await asyncio.wait_for(process.communicate(), LIMIT_S)
        assert process.returncode == 2
        assert text in stderr.decode()
        assert stderr.count(b"\n") == 1

    run(test)
