"""Case 8: a planned restart while the origin hangs; are the writes answered that a client goes on sending?"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

from clients_2 import Client, Request, publish
from deployment_2 import BROKEN, HELD, NOT_RUN, CaseNotRunError, Deployment, Record, trouble_wanted

DEADLINE_MS = 1200
VALUE = b"p" * (60 << 10)
"""PROTOCOL: values hold at most 64 KiB."""
INTERVAL_S = 0.1
BEFORE_SIGTERM_S = 0.5
SIGKILL_AFTER_S = DEADLINE_MS / 1000 + 0.7
"""PROTOCOL: SIGKILL comes no sooner than the longest deadline and 0.7 s more after SIGTERM."""
CROSSING_S = 0.1
"""A request written so shortly before the end of its connection crosses that end, and is not judged."""


async def send_until_end(client: Client, name: str) -> None:
    """Send a write at each interval for as long as the connection stays open."""
    number = 0
    while client.is_open:
        client.send(publish(f"new/{name}/{number}", DEADLINE_MS, VALUE))
        number += 1
        await asyncio.sleep(INTERVAL_S)


async def play(deployment: Deployment, record: Record) -> int:
    """Play the case; returns its exit code."""
    for number in range(4):
        deployment.add(f"cache-{number}")
    deployment.add("origin", "--delay-ms", "40")
    await asyncio.sleep(0.5)
    await deployment.start_router(DEADLINE_MS)
    client = await Client.connect(deployment.port, record, "publisher")
    sending = asyncio.create_task(send_until_end(client, "publisher"))
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
    else:
        record.write(f"the router ended {time.monotonic() - sigterm_at:.3f} s after SIGTERM")
    await asyncio.wait_for(client.ended.wait(), 5.0)
    await sending
    return judge(client, sigterm_at, record)


def judge(client: Client, sigterm_at: float, record: Record) -> int:
    """Compare what was answered with the rule."""
    lost: list[Request] = []
    for request in client.requests:
        crosses = not client.is_open and request.sent_at > client.ended_at - CROSSING_S
        record.write(
            f"{request.line()}; sent {request.sent_at - sigterm_at:+.3f} s after SIGTERM"
            f"{', crosses the end of its connection' if crosses else ''}"
        )
        if request.is_lost and not crosses:
            lost.append(request)
    verdict = (
        f"requests {len(client.requests)}, lost {len(lost)}, "
        f"connection ended {client.ended_at - sigterm_at:.3f} s after SIGTERM"
    )
    record.write(verdict)
    print(verdict)
    return BROKEN if lost else HELD


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
