"""What the router logs when it closes a client's connection with something left over."""

from __future__ import annotations

import asyncio
import logging

import pytest

from holdgw.router.connection_close import CloseCause, ConnectionEnd
from tests.emulated_nodes import LIMIT_S, Cache, LoopbackRouter, entry, read, run


@pytest.mark.parametrize(
    ("end", "is_logged"),
    [
        (ConnectionEnd(CloseCause.SHUTDOWN, 1, 0, 0, 0), True),
        (ConnectionEnd(CloseCause.IDLE, 0, 0, 0, 80), True),
        (ConnectionEnd(CloseCause.EVICTED, 0, 0, 5, 0), True),
        (ConnectionEnd(CloseCause.FAULT, 0, 7, 0, 0), True),
        (ConnectionEnd(CloseCause.SHUTDOWN, 0, 0, 0, 0), False),
        (ConnectionEnd(CloseCause.CLIENT_LEFT, 3, 9, 5, 1), False),
    ],
)
def test_a_close_by_the_router_is_logged_if_something_is_left_over(
    end: ConnectionEnd, is_logged: bool, caplog: pytest.LogCaptureFixture
) -> None:
    with caplog.at_level(logging.WARNING, "holdgw"):
        end.log()
    assert [record.getMessage() for record in caplog.records] == (
        [
            f"client connection closed cause={end.cause.value} unanswered={end.unanswered} "
            f"buffered_bytes={end.buffered_bytes} unsent_bytes={end.unsent_bytes} "
            f"discarded_bytes={end.discarded_bytes}"
        ]
        if is_logged
        else []
    )


def test_requests_that_the_end_of_the_process_leaves_unanswered_are_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        request_received, answers_released = asyncio.Event(), asyncio.Event()

        async def answer(_: list[bytes]) -> bytes:
            request_received.set()
            await answers_released.wait()
            return b""

        cache, router = Cache(answer), LoopbackRouter()
        await cache.start()
        await router.start(entry("s1", cache.port))
        asked = asyncio.create_task(router.ask(read("r1") + read("r2", "k2") + b"*4\r\n", 1000))
        await asyncio.wait_for(request_received.wait(), LIMIT_S)
        router.stop()
        assert await asyncio.wait_for(asked, LIMIT_S) == b""
        answers_released.set()
        cache.stop()

    with caplog.at_level(logging.WARNING, "holdgw"):
        run(test)
    lines = [record.getMessage() for record in caplog.records]
    assert [line for line in lines if line.startswith("client connection")] == [
        "client connection closed cause=shutdown unanswered=2 buffered_bytes=4 unsent_bytes=0 "
        "discarded_bytes=0"
    ]
