"""The usual command is cut in one look: the same words, at the same place, as piece by piece."""

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
NEVER = re.compile(rb"(?!)")


def read(data: bytes, cuts: list[int]) -> tuple[list[list[bytes]], str, bool]:
    reader, found = CommandReader(), []
    places = sorted({min(cut, len(data)) for cut in cuts})
    for start, end in zip([0, *places], [*places, len(data)], strict=True):
        reader.feed(data[start:end])
        while (words := reader.next_command()) is not None:
            found.append(words)
    return found, reader.framing_error, reader.has_partial_command


@given(
    st.lists(st.tuples(st.sampled_from([b"KV.GET", b"kv.get", b"KV.SET"]), WORD, WORD, WORD), max_size=4),
    st.lists(st.integers(0, 300), max_size=6),
    st.sampled_from([b"", b"*4\r\n$6\r\nKV.GET\r\n$9999\r\n", b"*4\r\n$6\r\nKV.GET\r\n$3\r\nab\r\n"]),
)
def test_one_look_and_piece_by_piece_are_the_same(
    commands: list[tuple[bytes, bytes, bytes, bytes]], cuts: list[int], rest: bytes
) -> None:
    data = b"".join(command(*words) for words in commands) + rest
    usual = read(data, cuts)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(resp, "_COMMON_GET", NEVER)
        assert read(data, cuts) == usual
    assert usual[0] == [list(words) for words in commands][: len(usual[0])]
