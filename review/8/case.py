"""Case 8: clients read many answers over links of 64 Mbit/s; does each request get its answer?"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from clients_2 import Client, Request, fetch
from deployment_2 import BROKEN, HELD, NOT_RUN, CaseNotRunError, Deployment, Record, trouble_wanted

DEADLINE_MS = 3000
"""PROTOCOL: the longest deadline is 3 s at most."""
VALUE_BYTES = 64 << 10
"""PROTOCOL: values hold at most 64 KiB."""
CLIENTS = 8
READS_AT_ONCE = 120
LINK_BYTES_PER_S = 8e6
"""The link of each client; it takes a second for all of its answers."""
MEMORY_MB = 96
"""Operators' days: the limits cut in half, 192 MB and 1,024 descriptors at most."""
SOCKETS = 512


async def play(deployment: Deployment, record: Record) -> int:
    """Play the case; returns its exit code."""
    for number in range(6):
        deployment.add(f"cache-{number}", "--value-bytes", str(VALUE_BYTES))
    deployment.add("origin")
    await asyncio.sleep(0.5)
    await deployment.start_router(DEADLINE_MS, MEMORY_MB, SOCKETS)
    rate = LINK_BYTES_PER_S if trouble_wanted() else 0.0
    clients = [
        await Client.connect(deployment.port, record, f"client-{number}", rate) for number in range(CLIENTS)
    ]
    for number, client in enumerate(clients):
        client.send(*(fetch(f"item/{number}/{read}", DEADLINE_MS) for read in range(READS_AT_ONCE)))
    give_up_at = time.monotonic() + DEADLINE_MS / 1000 + 1.0
    while time.monotonic() < give_up_at and any(client.unanswered and client.is_open for client in clients):
        await asyncio.sleep(0.05)
    return judge([request for client in clients for request in client.requests], record)


def judge(requests: list[Request], record: Record) -> int:
    """Compare what was answered with the rule."""
    lost = [request for request in requests if request.is_lost]
    for request in requests:
        record.write(request.line())
    latest_s = max(request.answered_at - request.sent_at for request in requests if request.answered_at)
    verdict = f"requests {len(requests)}, lost {len(lost)}, last answer read after {latest_s:.2f} s"
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
