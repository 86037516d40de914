"""Case 6: clients send many commands at once while the origin hangs; is the router within its memory?"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

from clients_2 import Client, Request, fetch, publish
from deployment_2 import BROKEN, HELD, NOT_RUN, CaseNotRunError, Deployment, Record, trouble_wanted

DEADLINE_MS = 1200
CACHE_SERVERS = 8
HUNG = "origin"
"""STANDING: "cache servers that hang"; the origin stands in the list like the others, and answers slowly."""
VALUE_BYTES = 64 << 10
"""PROTOCOL: values hold at most 64 KiB."""
CLIENTS = 20
READS_AT_ONCE = 160
MEMORY_MB = 192
"""DEPLOY: on the days that are scored the limits are at most 192 MB."""
KEYS = 2000
SAMPLE_S = 0.005


def resident_mb(pid: int) -> float:
    """The resident memory of a process, MB; 0 if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    line = next((line for line in status.splitlines() if line.startswith("VmRSS:")), "VmRSS: 0 kB")
    return int(line.split()[1]) / 1024


class MemoryLimit:
    """The platform's side of the memory limit: a router over it is killed (DEPLOY, "Limits")."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.peak_mb = 0.0
        self.killed = False
        self._deployment, self._record = deployment, record

    async def enforce(self) -> None:
        """Watch the router until it is killed or this task is cancelled."""
        process = self._deployment.processes["router"]
        while process.poll() is None:
            now_mb = resident_mb(process.pid)
            self.peak_mb = max(self.peak_mb, now_mb)
            if now_mb > MEMORY_MB:
                self.killed = True
                self._record.write(f"the router has {now_mb:.0f} MB, its limit is {MEMORY_MB} MB")
                self._deployment.signal("router", signal.SIGKILL)
                return
            await asyncio.sleep(SAMPLE_S)


async def play(deployment: Deployment, record: Record) -> int:
    """Play the case; returns its exit code."""
    for number in range(CACHE_SERVERS):
        deployment.add(f"cache-{number}", "--value-bytes", str(VALUE_BYTES))
    deployment.add("origin")
    await asyncio.sleep(0.5)
    await deployment.start_router(DEADLINE_MS, MEMORY_MB)
    limit = MemoryLimit(deployment, record)
    watch = asyncio.create_task(limit.enforce())
    clients = [await Client.connect(deployment.port, record, f"client-{number}") for number in range(CLIENTS)]
    rng = random.Random(6)
    for _ in range(20):  # the connections are in use before the trouble
        for client in clients:
            client.send(fetch(f"item/{rng.randrange(KEYS)}", DEADLINE_MS))
        await asyncio.sleep(0.1)
    record.write(f"before the trouble: router {limit.peak_mb:.0f} MB at most")
    if trouble_wanted():
        deployment.signal(HUNG, signal.SIGSTOP)
    for client in clients:
        reads = [fetch(f"item/{rng.randrange(KEYS)}", DEADLINE_MS) for _ in range(READS_AT_ONCE)]
        client.send(publish(f"new/{rng.randrange(KEYS)}", DEADLINE_MS, b"package"), *reads)
    give_up_at = time.monotonic() + DEADLINE_MS / 1000 + 3.0
    while time.monotonic() < give_up_at and any(client.unanswered for client in clients):
        await asyncio.sleep(0.05)
    if trouble_wanted():
        deployment.signal(HUNG, signal.SIGCONT)
    watch.cancel()
    return judge([request for client in clients for request in client.requests], limit, record)


def judge(requests: list[Request], limit: MemoryLimit, record: Record) -> int:
    """Compare what was answered with the rule."""
    lost = [request for request in requests if request.is_lost]
    for request in requests:
        record.write(request.line())
    verdict = (
        f"requests {len(requests)}, lost {len(lost)}, router killed for memory: {limit.killed}, "
        f"peak {limit.peak_mb:.0f} MB of {MEMORY_MB} MB"
    )
    record.write(verdict)
    print(verdict)
    return BROKEN if lost or limit.killed else HELD


def main() -> int:
    """Run the case."""
    folder = Path(__file__).resolve().parent
    record = Record(folder / "record.txt")
    deployment = Deployment(record)
    try:
        return asyncio.run(play(deployment, record))
    except (CaseNotRunError, OSError) as error:
        print(f"the case could not run: {error}")
        return NOT_RUN
    finally:
        deployment.end()


if __name__ == "__main__":
    sys.exit(main())
