"""Case 10: planned restarts while the origin hangs; are the last writes answered that a router takes?"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

from clients_2 import Client, Request, publish
from deployment_2 import BROKEN, HELD, NOT_RUN, CaseNotRunError, Deployment, Record, trouble_wanted

DEADLINE_MS = 1200
RESTARTS = 20
"""Planned restarts in a row, as when the routers of a deployment are replaced one after another."""
CLIENTS = 30
INTERVAL_S = 0.1
"""Between two writes of a client: 300 requests a second come to the router."""
BEFORE_SIGTERM_S = 0.5
SIGKILL_AFTER_S = DEADLINE_MS / 1000 + 0.7
"""PROTOCOL: SIGKILL comes no sooner than the longest deadline and 0.7 s more after SIGTERM."""
CROSSING_S = 0.1
"""A request written so shortly before the end of its connection crosses that end, and is not judged."""


async def send_until_end(client: Client, name: str) -> None:
    """Send a write at each interval for as long as the connection stays open."""
    number = 0
    while client.is_open:
        client.send(publish(f"new/{name}/{number}", DEADLINE_MS, b"package"))
        number += 1
        await asyncio.sleep(INTERVAL_S)


async def restart(deployment: Deployment, record: Record) -> list[Request]:
    """Restart the router under load; returns the requests that were lost."""
    clients = [await Client.connect(deployment.port, record, f"publisher-{n}") for n in range(CLIENTS)]
    sending = []
    for number, client in enumerate(clients):
        sending.append(asyncio.create_task(send_until_end(client, f"publisher-{number}")))
        await asyncio.sleep(INTERVAL_S / CLIENTS)
    await asyncio.sleep(BEFORE_SIGTERM_S)
    if trouble_wanted():
        deployment.signal("origin", signal.SIGSTOP)
    deployment.signal("router", signal.SIGTERM)
    sigterm_at = time.monotonic()
    router = deployment.processes["router"]
    while router.poll() is None and time.monotonic() < sigterm_at + SIGKILL_AFTER_S:
        await asyncio.sleep(0.005)
    if router.poll() is None:
        deployment.signal("router", signal.SIGKILL)
        router.wait()
    else:
        record.write(f"the router ended {time.monotonic() - sigterm_at:.3f} s after SIGTERM")
    await asyncio.wait_for(asyncio.gather(*sending), 5.0)
    if trouble_wanted():
        deployment.signal("origin", signal.SIGCONT)
    return find_lost(clients, sigterm_at, record)


def find_lost(clients: list[Client], sigterm_at: float, record: Record) -> list[Request]:
    """Write down what was answered; returns the requests that were lost."""
    lost: list[Request] = []
    sent = [(request, client) for client in clients for request in client.requests]
    for request, client in sorted(sent, key=lambda pair: pair[0].sent_at):
        crosses = not client.is_open and request.sent_at > client.ended_at - CROSSING_S
        record.write(
            f"{request.line()}; sent {request.sent_at - sigterm_at:+.3f} s after SIGTERM"
            f"{', crosses the end of its connection' if crosses else ''}"
        )
        if request.is_lost and not crosses:
            lost.append(request)
    return lost


async def play(deployment: Deployment, record: Record) -> int:
    """Play the case; returns its exit code."""
    for number in range(4):
        deployment.add(f"cache-{number}")
    deployment.add("origin", "--delay-ms", "40")
    await asyncio.sleep(0.5)
    await deployment.start_router(DEADLINE_MS)
    lost_by_restart = []
    for number in range(RESTARTS):
        if number:
            await deployment.restart_router()
        lost_by_restart.append(len(await restart(deployment, record)))
    verdict = f"restarts {RESTARTS}, requests lost at each {lost_by_restart}"
    record.write(verdict)
    print(verdict)
    return BROKEN if any(lost_by_restart) else HELD


def main() -> int:
    """Run the case."""
    folder = Path(__file__).resolve().parent
    record = Record(folder / "record.txt")
    deployment = Deployment(record)
    try:
        return asyncio.run(play(deployment, record))
    except (CaseNotRunError, OSError, TimeoutError) as error:
        print(f"the case could not run: {error}")
        return NOT_RUN
    finally:
        deployment.end()


if __name__ == "__main__":
    sys.exit(main())
