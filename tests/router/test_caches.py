"""Answers of cache servers: the fast path for complete answers parses like the incremental parser."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from holdgw.policy import CacheStatus, Outcome
from holdgw.router.cache_connection import CacheConnection
from holdgw.router.connection_pool import ConnectionPool
from holdgw.router.endpoint_pool import EndpointPool
from holdgw.router.exchange import Exchange
from holdgw.wire.address import Address
from holdgw.wire.resp import bulk

End = tuple[Outcome, bytes | None, CacheStatus | None, bytes | None]


class RecordingExchange(Exchange):
    """An exchange that records its outcome."""

    def __init__(self) -> None:
        self.ends: list[End] = []

    def request_bytes(self, address: Address) -> bytes:
        return b""

    def on_end(
        self,
        outcome: Outcome,
        value: bytes | None = None,
        cache_status: CacheStatus | None = None,
        report: bytes | None = None,
    ) -> None:
        self.ends.append((outcome, value, cache_status, report))


class StubTransport:
    """A transport that only records that it is closed."""

    closing = False

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def is_closing(self) -> bool:
        return self.closing

    def abort(self) -> None:
        self.closing = True


def read_parts(parts: list[bytes]) -> tuple[list[End], bool]:
    """How an exchange ends that receives `parts`, and whether its connection is usable after it."""

    async def run() -> tuple[list[End], bool]:
        pool = ConnectionPool(asyncio.get_running_loop(), 10, 0.1, 10.0)
        connection = CacheConnection(EndpointPool(pool, "s", ("127.0.0.1", 1), cast(Any, CacheConnection)))
        connection.connection_made(cast(Any, StubTransport()))
        exchange = RecordingExchange()
        connection.exchange, exchange.connection = exchange, connection
        for part in parts:
            connection.data_received(part)
        pool.close()
        return exchange.ends, connection.usable

    return asyncio.run(run())


VALUES = st.one_of(st.none(), st.binary(max_size=40), st.just(b"\r\n$3\r\nhit\r\n"), st.just(b"v" * 70_000))


@given(VALUES, st.sampled_from([None, b"hit", b"miss", b"pending"]), st.sampled_from([None, b"q=1,l=2", b""]))
def test_an_answer_in_one_read_parses_like_one_byte_by_byte(
    value: bytes | None, note: bytes | None, report: bytes | None
) -> None:
    value = None if value is not None and len(value) > 64 << 10 else value
    elements = [b"$-1\r\n" if value is None else bulk(value)]
    if note is not None:
        elements += [bulk(note)] + ([] if report is None else [bulk(report)])
    answer = b"*%d\r\n" % len(elements) + b"".join(elements)
    in_one_read = read_parts([answer])
    assert in_one_read == read_parts([bytes([byte]) for byte in answer])
    ((outcome, ended_with, _, _),) = in_one_read[0]
    assert (outcome, ended_with) == ((Outcome.MISS, None) if value is None else (Outcome.OK, bulk(value)))


@pytest.mark.parametrize(
    "answer",
    [
        b"*3\r\n$5\r\nvalue\r\n$4\r\nhit\r\n$3\r\nq=1\r\n",
        b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$4\r\nq=1\r\n",
        b"*2\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$3\r\nq=1\r\n",
        b"*3\r\n$6\r\nvalue\r\n$3\r\nhit\r\n$3\r\nq=1\r\n",
        b"*1\r\n$05\r\nvalue\r\n",
        b"*1\r\n$5\r\nvalue\r\n+more\r\n",
        b"-BUSY full q=1\r\n",
        b"*4\r\n$-1\r\n",
    ],
)
def test_an_uncommon_answer_in_one_read_parses_like_one_in_two(answer: bytes) -> None:
    assert read_parts([answer]) == read_parts([answer[:7], answer[7:]])
