"""Several worker processes behind one address, over sockets: `holdgw run --cores N`."""

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
Line = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Watched(DiscoveryServer):
    """Discovery whose list changes: a watch is answered once there is news."""

    def __init__(self, instances: list[dict[str, Any]]) -> None:
        super().__init__(instances)
        self.news = asyncio.Condition()
        self.there = asyncio.Event()
        self.there.set()
        self.heard = 0
        """The version that the last watch went on from."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            await self.there.wait()
            if b"index=" in head:
                async with self.news:
                    held = self.heard = int(head.split(b"index=")[1].split(b"&")[0])
                    while self.generation <= held:
                        await self.news.wait()
            self.send_endpoint_list(writer)

    async def change(self, instances: list[dict[str, Any]]) -> None:
        async with self.news:
            self.instances, self.generation = instances, self.generation + 1
            self.news.notify_all()


class Stage:
    """A supervisor with its workers, two caches and discovery."""

    def __init__(self, folder: Path, workers: int, sockets: int) -> None:
        self.folder, self.workers, self.limit = folder, workers, sockets
        self.go = asyncio.Event()
        self.go.set()
        self.caches = [Cache(self._answer), Cache(self._answer)]
        self.agent = Watched([])
        self.address, self.ops = unused_address(), unused_address()

    async def _answer(self, _: list[bytes]) -> bytes:
        await self.go.wait()
        return HIT

    def entries(self, state: str = "up") -> list[dict[str, Any]]:
        """The list, with the second cache in this state."""
        first, second = self.caches
        return [entry("s0", first.port), entry("s1", second.port, state=state)]

    async def begin(self) -> None:
        for cache in self.caches:
            await cache.start()
        self.agent.instances = self.entries()
        await self.agent.start()
        self.config = self.folder / "config.json"
        classes = [{"name": "read", "aimNs": S, "giveUpNs": 5 * S, "semantics": "retryable"}]
        self.config.write_bytes(
            orjson.dumps(
                {
                    "name": "n1",
                    "listen": "{}:{}".format(*self.address),
                    "discovery": f"127.0.0.1:{self.agent.port}",
                    "ops": "{}:{}".format(*self.ops),
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

    async def serving(self) -> None:
        """Wait until every worker serves."""
        await until_serving(self.ops, self.process)
        while b"\nlb_workers %d\n" % self.workers not in await self.figures():
            await asyncio.sleep(0.02)

    def pids(self) -> list[int]:
        """The workers' processes."""
        told = Path(f"/proc/{self.process.pid}/task/{self.process.pid}/children").read_text()
        return [int(word) for word in told.split()]

    def sockets(self, pid: int) -> int:
        """How many sockets a process holds."""
        count = 0
        with contextlib.suppress(OSError):
            for name in os.listdir(f"/proc/{pid}/fd"):
                with contextlib.suppress(OSError):
                    count += os.readlink(f"/proc/{pid}/fd/{name}").startswith("socket:")
        return count

    def clients(self, pid: int) -> set[int]:
        """The ports of the clients whose connections a process holds."""
        held = {os.readlink(path) for path in Path(f"/proc/{pid}/fd").iterdir() if path.is_symlink()}
        rows = [line.split() for line in Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]]
        mine = [row for row in rows if f"socket:[{row[9]}]" in held]
        return {int(row[2][-4:], 16) for row in mine if int(row[1][-4:], 16) == self.address[1]}

    async def dial(self) -> Line:
        return await asyncio.open_connection(*self.address)

    async def lines(self, count: int, mark: str) -> list[Line]:
        """So many connections, one after the other, each with an answer."""
        found = []
        for i in range(count):
            found.append(await self.dial())
            await ask(found[-1], f"{mark}{i}", f"k{i}")
        return found

    async def figures(self) -> bytes:
        return await call(self.ops, get("/status/metrics"))

    async def ended(self) -> int:
        return await asyncio.wait_for(self.process.wait(), LIMIT_S)

    async def end(self) -> None:
        if self.process.returncode is None:
            pids = self.pids()
            self.process.kill()
            await self.ended()
            for pid in pids:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGKILL)
        self.agent.stop()
        for cache in self.caches:
            cache.stop()


@contextlib.asynccontextmanager
async def stage(folder: Path, workers: int = 2, sockets: int = 1024) -> AsyncIterator[Stage]:
    play = Stage(folder, workers, sockets)
    await play.begin()
    try:
        yield play
    finally:
        await play.end()


async def ask(line: Line, name: str, key: str = "k") -> None:
    line[1].write(read(name, key, 4000))
    await served(line)


async def served(line: Line) -> None:
    assert await asyncio.wait_for(line[0].readexactly(len(SERVED)), LIMIT_S) == SERVED


def alive(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


async def until_gone(pids: list[int]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while any(alive(pid) for pid in pids):
            await asyncio.sleep(0.02)


def test_long_connections_are_spread_evenly_and_an_id_is_taken_at_every_worker(tmp_path: Path) -> None:
    async def test() -> None:
        async with stage(tmp_path, 3) as play:
            await play.serving()
            before = {pid: play.sockets(pid) for pid in play.pids()}
            lines = []
            async with asyncio.timeout(LIMIT_S):
                for count in range(1, 10):  # each is taken before the next
                    lines.append(await play.dial())
                    while sum(play.sockets(pid) - before[pid] for pid in before) < count:
                        await asyncio.sleep(0.005)
            assert [play.sockets(pid) - before[pid] for pid in before] == [3, 3, 3]
            play.go.clear()
            lines[0][1].write(read("same", "k", 4000))
            async with asyncio.timeout(LIMIT_S):
                while not any(cache.seen for cache in play.caches):
                    await asyncio.sleep(0.01)
            for reader, writer in lines[1:]:  # open at one worker, and asked for at every other
                writer.write(read("same", "k", 4000))
                assert await asyncio.wait_for(reader.readline(), LIMIT_S) == b"-ERR duplicate id\r\n"
            play.go.set()
            await served(lines[0])
            late = await play.dial()
            late[1].write(read("same", "k", 4000))
            assert await asyncio.wait_for(late[0].readline(), LIMIT_S) == b"-ERR duplicate id\r\n"
            assert sum(len(cache.seen) for cache in play.caches) == 1

    run(test)


def test_no_worker_serves_before_it_has_the_list_and_clients_wait_for_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with stage(tmp_path) as play:
            play.agent.there.clear()
            line: Line | None = None
            while line is None:
                with contextlib.suppress(OSError):
                    line = await play.dial()
                await asyncio.sleep(0.02)
            line[1].write(read("early", "k", 4000))
            await asyncio.sleep(0.3)
            play.agent.there.set()
            await served(line)

    run(test)


def test_a_killed_worker_costs_its_own_connections_alone_and_comes_back(tmp_path: Path) -> None:
    """A worker is killed. Its clients' connections close; clients of the other worker notice nothing, new
    clients are served, and another worker process is started in its place.
    """

    async def test() -> None:
        async with stage(tmp_path) as play:
            await play.serving()
            lines = await play.lines(6, "a")
            old = play.pids()
            # Which client is whose depends on how soon each worker takes what it is dealt; what must hold is
            # that no client of the other one notices.
            theirs = [line[1].get_extra_info("sockname")[1] in play.clients(old[0]) for line in lines]
            assert len(play.clients(old[0])) == sum(theirs)
            os.kill(old[0], signal.SIGKILL)
            ends = await asyncio.gather(
                *(asyncio.wait_for(still(line, i), LIMIT_S) for i, line in enumerate(lines))
            )
            assert ends == [not killed for killed in theirs]
            assert set(ends) == {True, False}
            fresh = await play.lines(4, "c")
            while len(play.pids()) < 2:
                await asyncio.sleep(0.02)
            assert old[1] in play.pids()
            for i, line in enumerate(fresh):
                await ask(line, f"d{i}")

    async def still(line: Line, i: int) -> bool:
        """Whether it is still answered."""
        try:
            line[1].write(read(f"b{i}", "k", 4000))
            await line[0].readexactly(len(SERVED))
        except (OSError, asyncio.IncompleteReadError):
            return False
        return True

    run(test)


def test_all_workers_are_replaced_under_load_and_no_client_sees_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with stage(tmp_path) as play:
            await play.serving()
            old, done, count = play.pids(), asyncio.Event(), 0

            async def client(number: int) -> None:
                nonlocal count
                line, i = await play.dial(), 0
                while not done.is_set():
                    await ask(line, f"c{number}-{i}", f"k{i % 7}")
                    count, i = count + 1, i + 1
                    if number % 2 and i % 20 == 0:
                        line[1].close()
                        line = await play.dial()

            clients = [asyncio.create_task(client(number)) for number in range(8)]
            play.process.send_signal(signal.SIGUSR2)
            async with asyncio.timeout(LIMIT_S):
                while set(old) & set(play.pids()) or len(play.pids()) != 2:
                    await asyncio.sleep(0.02)
                    assert not any(one.done() for one in clients), clients
            at = count
            async with asyncio.timeout(LIMIT_S):
                while count < at + 50:
                    await asyncio.sleep(0.02)
            done.set()
            await asyncio.wait_for(asyncio.gather(*clients), LIMIT_S)
            async with asyncio.timeout(LIMIT_S):  # until the next accounts
                while f'disposition="succeeded"}} {count}\n'.encode() not in await play.figures():
                    await asyncio.sleep(0.02)

    run(test)


def test_a_new_version_that_does_not_start_leaves_the_old_workers_at_work(tmp_path: Path) -> None:
    """Workers are to be replaced, and the new version ends at its start. The replacement is aborted, and
    the old processes serve on.
    """

    async def test() -> None:
        async with stage(tmp_path) as play:
            await play.serving()
            lines, old = await play.lines(4, "a"), play.pids()
            good = play.config.read_bytes()
            play.config.write_bytes(b"{}")  # what a worker reads as it starts
            play.process.send_signal(signal.SIGUSR2)
            async with asyncio.timeout(LIMIT_S):
                while set(play.pids()) <= set(old):
                    await asyncio.sleep(0.005)
                while set(play.pids()) != set(old):
                    await asyncio.sleep(0.02)
            await asyncio.sleep(0.3)
            assert play.pids() == old  # it is not tried at the others, nor again
            for i, line in enumerate(lines):
                await ask(line, f"b{i}")
            play.config.write_bytes(good)

    run(test)


def test_workers_whose_supervisor_dies_answer_what_they_have_and_end(tmp_path: Path) -> None:
    """The supervisor is killed. Its workers answer what they have taken, close their connections and end."""

    async def test() -> None:
        async with stage(tmp_path) as play:
            await play.serving()
            lines, pids = await play.lines(2, "a"), play.pids()
            play.go.clear()
            lines[0][1].write(read("open", "k", 4000))
            async with asyncio.timeout(LIMIT_S):
                while sum(len(cache.seen) for cache in play.caches) < 3:
                    await asyncio.sleep(0.01)
            play.process.kill()
            await play.ended()
            play.go.set()
            await served(lines[0])
            await until_gone(pids)

    run(test)


def test_sigterm_drains_every_worker_and_sighup_moves_the_watch(tmp_path: Path) -> None:
    async def test() -> None:
        async with stage(tmp_path) as play:
            await play.serving()
            other = Watched(play.entries())
            await other.start()
            told = orjson.loads(play.config.read_bytes())
            play.config.write_bytes(orjson.dumps({**told, "discovery": f"127.0.0.1:{other.port}"}))
            play.process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(LIMIT_S):
                while not other.connections:
                    await asyncio.sleep(0.02)
            assert b"lb_sighup_applied 1" in await play.figures()
            lines, pids = await play.lines(4, "a"), play.pids()
            play.go.clear()
            lines[0][1].write(read("open", "k", 4000))
            async with asyncio.timeout(LIMIT_S):
                while sum(len(cache.seen) for cache in play.caches) < 5:
                    await asyncio.sleep(0.01)
            play.process.send_signal(signal.SIGTERM)
            late = await play.dial()
            await asyncio.sleep(0.1)
            play.go.set()
            await served(lines[0])
            await ask(late, "late")
            for line in [*lines, late]:
                assert await asyncio.wait_for(line[0].read(), LIMIT_S) == b""
            assert await play.ended() == 0
            await until_gone(pids)
            other.stop()

    run(test)


def test_a_stalled_worker_sends_nothing_to_a_server_that_drained_meanwhile(tmp_path: Path) -> None:
    """A worker is stopped while an endpoint begins to drain. When it resumes it finds commands and the
    update at once; by the shared table's revision it applies the update first.
    """

    async def test() -> None:
        async with stage(tmp_path, 1) as play:
            await play.serving()
            lines = await play.lines(16, "a")
            (worker,) = play.pids()
            os.kill(worker, signal.SIGSTOP)
            try:
                # Commands lie in the kernel before the news does: the loop sees them first.
                for i, (_, writer) in enumerate(lines):
                    writer.write(read(f"b{i}", f"k{i}", 4000))
                await asyncio.sleep(0.05)
                await play.agent.change(play.entries("draining"))
                async with asyncio.timeout(LIMIT_S):
                    while play.agent.heard < play.agent.generation:
                        await asyncio.sleep(0.02)
                seen = len(play.caches[1].seen)
            finally:
                os.kill(worker, signal.SIGCONT)
            for line in lines:
                await served(line)
            assert seen
            assert len(play.caches[1].seen) == seen

    run(test)


def test_a_worker_whose_cpu_is_taken_away_costs_new_clients_nothing(tmp_path: Path) -> None:
    """A worker is stopped and accepts nothing. Clients assigned to it wait until it resumes; new ones go
    to the other workers once it counts as unresponsive.
    """

    async def test() -> None:
        async with stage(tmp_path, 3) as play:
            await play.serving()
            stuck = play.pids()[1]
            os.kill(stuck, signal.SIGSTOP)
            try:
                first = [await play.dial() for _ in range(3)]  # one of them is dealt to it
                await asyncio.sleep(0.3)
                await play.lines(20, "a")  # none of these is
            finally:
                os.kill(stuck, signal.SIGCONT)
            for i, line in enumerate(first):
                await ask(line, f"b{i}")

    run(test)


def test_sixteen_workers_serve_and_end_whatever_the_cores(tmp_path: Path) -> None:
    async def test() -> None:
        async with stage(tmp_path, 16, sockets=4096) as play:
            await play.serving()
            lines, pids = await play.lines(32, "a"), play.pids()
            assert len(pids) == 16
            play.process.send_signal(signal.SIGTERM)
            for line in lines:
                assert await asyncio.wait_for(line[0].read(), LIMIT_S) == b""
            assert await play.ended() == 0
            await until_gone(pids)

    run(test)


def test_an_override_holds_at_every_worker(tmp_path: Path) -> None:
    async def test() -> None:
        async with stage(tmp_path, 3) as play:
            await play.serving()
            lines = await play.lines(6, "a")
            assert (await call(play.ops, put("/maintenance/enter", "s1"))).startswith(b"HTTP/1.1 200")
            seen = len(play.caches[1].seen)
            for i, line in enumerate(lines):
                for j in range(8):
                    await ask(line, f"b{i}-{j}", f"k{j}")
            assert len(play.caches[1].seen) == seen
            assert b"\nlb_ejected 1\n" in await play.figures()

    run(test)


@pytest.mark.parametrize(("cores", "text"), [("0", "--cores"), ("65", "--cores"), ("16", "need 408 MB")])
def test_limits_that_do_not_suffice_end_with_one_line_and_code_2(
    tmp_path: Path, cores: str, text: str
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        classes = [{"name": "read", "aimNs": S, "giveUpNs": 5 * S, "semantics": "retryable"}]
        told = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {"classes": classes}}
        path.write_bytes(orjson.dumps(told))
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "holdgw", "run", "--cores", cores),
            env={**os.environ, "LB_CONFIG": str(path)},
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )
        _, said = await asyncio.wait_for(process.communicate(), LIMIT_S)
        assert process.returncode == 2
        assert text in said.decode()
        assert said.count(b"\n") == 1

    run(test)
