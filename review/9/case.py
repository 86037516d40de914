"""Case 9: a cache server resets its connection within a long value; are the commands behind it answered?"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from clients_2 import Client, fetch
from deployment_2 import BROKEN, HELD, NOT_RUN, CaseNotRunError, Deployment, Record, trouble_wanted

DEADLINE_MS = 3000
LONG_BYTES = 1 << 20
"""Operators' days: some values are long, as much as 4 MiB."""
CUT_AFTER_BYTES = 800 << 10
BEHIND = 5


async def play(deployment: Deployment, record: Record) -> int:
    """Play the case; returns its exit code."""
    cut = ("--cut-after", str(CUT_AFTER_BYTES)) if trouble_wanted() else ()
    for number in range(4):
        deployment.add(f"cache-{number}", "--long-bytes", str(LONG_BYTES), *cut)
    deployment.add("origin")
    await asyncio.sleep(0.5)
    await deployment.start_router(DEADLINE_MS)
    client = await Client.connect(deployment.port, record, "client")
    long_value = fetch("long/1", DEADLINE_MS)
    behind = [fetch(f"item/{number}", DEADLINE_MS) for number in range(BEHIND)]
    client.send(long_value, *behind)
    give_up_at = time.monotonic() + DEADLINE_MS / 1000 + 3.0
    while time.monotonic() < give_up_at and client.unanswered and client.is_open:
        await asyncio.sleep(0.05)
    for request in (long_value, *behind):
        record.write(request.line())
    lost = [request for request in behind if request.is_lost]
    verdict = f"commands behind the long value {len(behind)}, lost {len(lost)}"
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
