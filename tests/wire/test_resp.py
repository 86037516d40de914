"""The fast path for the common KV.GET command parses input like the incremental parser."""

from __future__ import annotations

import re

import pytest
from hypothesis import given
from hypothesis import strategies as st

from holdgw.wire import resp
from holdgw.wire.resp import CommandReader, command

WORD = st.binary(max_size=40) | st.sampled_from(
    [b"", b"k", b"a\r\nb", b"x" * 4096, b"x" * 4097, b"\r\n$3\r\nabc"]
)
NO_MATCH = re.compile(rb"(?!)")


def read_in_parts(data: bytes, cuts: list[int]) -> tuple[list[list[bytes]], str, bool]:
    reader, commands_read = CommandReader(), []
    boundaries = sorted({min(cut, len(data)) for cut in cuts})
    for start, end in zip([0, *boundaries], [*boundaries, len(data)], strict=True):
        reader.feed(data[start:end])
        while (words := reader.next_command()) is not None:
            commands_read.append(words)
    return commands_read, reader.framing_error, reader.has_partial_command


@given(
    st.lists(st.tuples(st.sampled_from([b"KV.GET", b"kv.get", b"KV.SET"]), WORD, WORD, WORD), max_size=4),
    st.lists(st.integers(0, 300), max_size=6),
    st.sampled_from([b"", b"*4\r\n$6\r\nKV.GET\r\n$9999\r\n", b"*4\r\n$6\r\nKV.GET\r\n$3\r\nab\r\n"]),
)
def test_the_fast_path_parses_like_the_incremental_parser(
    commands: list[tuple[bytes, bytes, bytes, bytes]], cuts: list[int], rest: bytes
) -> None:
    data = b"".join(command(*words) for words in commands) + rest
    with_fast_path = read_in_parts(data, cuts)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(resp, "_COMMON_GET", NO_MATCH)
        assert read_in_parts(data, cuts) == with_fast_path
    assert with_fast_path[0] == [list(words) for words in commands][: len(with_fast_path[0])]
