"""Case 9: the router is upgraded while clients write a request slowly; do these requests get an answer?"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

from clients_2 import Client, publish
from deployment_2 import BROKEN, HELD, NOT_RUN, CaseNotRunError, Deployment, Record, trouble_wanted

DEADLINE_MS = 1200
VALUE = b"p" * (64 << 10)
"""PROTOCOL: values hold at most 64 KiB."""
CLIENTS = 6
FIRST_PIECE_BYTES = 48 << 10
PAUSE_S = 1.2
"""How long a client takes to write its request, which it writes in two pieces."""
BEFORE_SIGTERM_S = 0.2
SIGKILL_AFTER_S = 3.0 + 0.7
"""Operators' days: SIGKILL comes after the longest deadline (3 s at most) plus 0.7 s."""


async def play(deployment: Deployment, record: Record) -> int:
    """Play the case; returns its exit code."""
    for number in range(4):
        deployment.add(f"cache-{number}")
    deployment.add("origin", "--delay-ms", "40")
    await asyncio.sleep(0.5)
    deployment.hold_listening_socket()
    await deployment.start_router(DEADLINE_MS)
    clients = [await Client.connect(deployment.port, record, f"publisher-{n}") for n in range(CLIENTS)]
    for number, client in enumerate(clients):  # each connection is in use before the upgrade
        client.send(publish(f"new/{number}/first", DEADLINE_MS, b"package"))
    if trouble_wanted():
        await deployment.upgrade("new-router")
    requests = [publish(f"new/{number}/second", DEADLINE_MS, VALUE) for number in range(CLIENTS)]
    writing = [
        asyncio.create_task(client.send_in_two_pieces(request, FIRST_PIECE_BYTES, PAUSE_S))
        for client, request in zip(clients, requests, strict=True)
    ]
    await asyncio.sleep(BEFORE_SIGTERM_S)
    sigterm_at = time.monotonic()
    if trouble_wanted():
        deployment.signal("router", signal.SIGTERM)
    await asyncio.gather(*writing)
    while time.monotonic() < sigterm_at + SIGKILL_AFTER_S and any(client.unanswered for client in clients):
        await asyncio.sleep(0.02)
    router = deployment.processes["router"]
    if trouble_wanted():
        record.write(f"the old process {'runs' if router.poll() is None else 'has ended'}")
    for request in requests:
        at = (
            f"last byte {request.sent_at - sigterm_at:+.3f} s after SIGTERM"
            if request.sent_at
            else "not whole"
        )
        record.write(f"{request.line()}; {at}")
    taken = [request for request in requests if request.sent_at]
    lost = [request for request in taken if request.is_lost]
    verdict = f"requests written whole {len(taken)}, lost {len(lost)}"
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
