"""Case 7: a planned restart while clients read their answers over slow links; do they get them whole?"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

from clients_2 import Client, fetch
from deployment_2 import BROKEN, HELD, NOT_RUN, CaseNotRunError, Deployment, Record, trouble_wanted

DEADLINE_MS = 1200
VALUE_BYTES = 64 << 10
"""PROTOCOL: values hold at most 64 KiB."""
CLIENTS = 4
READS_AT_ONCE = 44
LINK_BYTES_PER_S = 2e6
"""The link of each client; it takes 1.45 s for the answers to its reads."""
BEFORE_SIGTERM_S = 0.2
INTERVAL_S = 0.1
"""Between two further reads of a client, which goes on sending while it reads its answers."""
SIGKILL_AFTER_S = DEADLINE_MS / 1000 + 0.7
"""PROTOCOL: SIGKILL comes no sooner than the longest deadline and 0.7 s more after SIGTERM."""


async def go_on_sending(client: Client, name: str) -> None:
    """Send a read at each interval for as long as the client knows of no end of its connection."""
    number = 0
    while client.is_open:
        await asyncio.sleep(INTERVAL_S)
        if client.is_open:
            client.send(fetch(f"more/{name}/{number}", DEADLINE_MS))
        number += 1


async def play(deployment: Deployment, record: Record) -> int:
    """Play the case; returns its exit code."""
    for number in range(4):
        deployment.add(f"cache-{number}", "--value-bytes", str(VALUE_BYTES))
    deployment.add("origin")
    await asyncio.sleep(0.5)
    await deployment.start_router(DEADLINE_MS)
    clients = [
        await Client.connect(deployment.port, record, f"client-{number}", LINK_BYTES_PER_S)
        for number in range(CLIENTS)
    ]
    first = []
    for number, client in enumerate(clients):
        reads = [fetch(f"item/{number}/{read}", DEADLINE_MS) for read in range(READS_AT_ONCE)]
        client.send(*reads)
        first += reads
    sending = [asyncio.create_task(go_on_sending(client, str(n))) for n, client in enumerate(clients)]
    await asyncio.sleep(BEFORE_SIGTERM_S)
    sigterm_at = time.monotonic()
    router = deployment.processes["router"]
    if trouble_wanted():
        deployment.signal("router", signal.SIGTERM)
    while router.poll() is None and time.monotonic() < sigterm_at + SIGKILL_AFTER_S:
        await asyncio.sleep(0.005)
    if router.poll() is not None:
        record.write(f"the router ended {time.monotonic() - sigterm_at:.3f} s after SIGTERM")
    elif trouble_wanted():
        deployment.signal("router", signal.SIGKILL)
    await asyncio.sleep(max(sigterm_at + SIGKILL_AFTER_S - time.monotonic(), 0.0))
    for task in sending:
        task.cancel()
    for request in first:
        answered = f"{request.answered_at - sigterm_at:+.3f}" if request.answered_at else "never"
        record.write(f"{request.line()}; sent before SIGTERM, answered {answered}")
    lost = [request for request in first if request.is_lost]
    ends = [f"{client.ended_at - sigterm_at:.3f}" for client in clients if not client.is_open]
    verdict = f"reads sent before SIGTERM {len(first)}, lost {len(lost)}; connections ended {ends} s after it"
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
    except (CaseNotRunError, OSError) as error:
        print(f"the case could not run: {error}")
        return NOT_RUN
    finally:
        deployment.end()


if __name__ == "__main__":
    sys.exit(main())
