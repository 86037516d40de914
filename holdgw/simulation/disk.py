"""A host's disk: what was synced survives a crash of the host; what was not is kept, lost, or torn.

The death of a process loses nothing, as the kernel still has what was written. When the machine dies, each
write since the file's last sync is kept, lost or torn at a sector, by itself and whatever the order (Pillai
et al., "All File Systems Are Not Created Equal", OSDI 2014, table 1). Names (created, replaced, removed)
since the last sync of the folder survive up to some point in their order.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

SECTOR = 512  # bytes that are written whole or not at all


@dataclass(slots=True)
class _Write:
    offset: int
    data: bytes


@dataclass(slots=True)
class _File:
    content: bytearray = field(default_factory=bytearray)
    """As processes see it."""
    synced: bytes = b""
    """As it was at its last sync."""
    writes: list[_Write] = field(default_factory=list)
    """Since then; a write at -1 cuts the file to the length in its data."""


def _apply(content: bytearray, write: _Write) -> None:
    if write.offset < 0:
        length = int.from_bytes(write.data, "big")
        del content[length:]
        content.extend(bytes(length - len(content)))
        return
    if write.offset > len(content):
        content.extend(bytes(write.offset - len(content)))
    content[write.offset : write.offset + len(write.data)] = write.data


class Disk:
    """Files by path, in one folder. Errors are those of the real calls."""

    def __init__(self) -> None:
        self._files: dict[str, _File] = {}
        self._names_synced: dict[str, _File] = {}
        self._name_history: list[
            dict[str, _File]
        ] = []  # the folder after each change of a name since its last sync

    def names(self) -> list[str]:
        """All paths, in order."""
        return sorted(self._files)

    def read(self, path: str) -> bytes:
        """The content; raises FileNotFoundError."""
        return bytes(self._file(path).content)

    def size(self, path: str) -> int:
        """Bytes of it; raises FileNotFoundError."""
        return len(self._file(path).content)

    def _file(self, path: str) -> _File:
        if path not in self._files:
            raise FileNotFoundError(2, "No such file or directory", path)
        return self._files[path]

    def _record_names(self) -> None:
        self._name_history.append(dict(self._files))

    def create(self, path: str) -> None:
        """An empty file, if there is none yet."""
        if path not in self._files:
            self._files[path] = _File()
            self._record_names()

    def write(self, path: str, offset: int, data: bytes) -> None:
        """Write bytes at a place; raises FileNotFoundError."""
        if offset < 0:
            raise OSError(22, "Invalid argument", path)
        file = self._file(path)
        write = _Write(offset, bytes(data))
        _apply(file.content, write)
        file.writes.append(write)

    def append(self, path: str, data: bytes) -> None:
        """Write bytes at the end; raises FileNotFoundError."""
        self.write(path, self.size(path), data)

    def truncate(self, path: str, length: int) -> None:
        """Cut or stretch to a length; raises FileNotFoundError."""
        file = self._file(path)
        write = _Write(-1, length.to_bytes(8, "big"))
        _apply(file.content, write)
        file.writes.append(write)

    def sync(self, path: str) -> None:
        """What is in the file now is safe; its name is so only with the folder. Raises FileNotFoundError."""
        file = self._file(path)
        file.synced = bytes(file.content)
        file.writes.clear()

    def sync_folder(self) -> None:
        """All names as they are now are safe."""
        self._names_synced = dict(self._files)
        self._name_history.clear()

    def replace(self, old: str, new: str) -> None:
        """Rename, over what has the name now; raises FileNotFoundError."""
        self._files[new] = self._file(old)
        if old != new:
            del self._files[old]
        self._record_names()

    def remove(self, path: str) -> None:
        """Take the name away; raises FileNotFoundError."""
        self._file(path)
        del self._files[path]
        self._record_names()

    def crash(self, rng: random.Random) -> None:
        """The machine died."""
        kept = rng.randint(0, len(self._name_history))
        self._files = dict(self._name_history[kept - 1]) if kept else dict(self._names_synced)
        for file in {id(one): one for one in self._files.values()}.values():
            content = bytearray(file.synced)
            for write in file.writes:
                fate = rng.random()
                if fate < 1 / 3:
                    _apply(content, write)
                elif fate < 2 / 3 and write.offset >= 0 and len(write.data) > 1:
                    # Torn where a sector of the disk ends, or, within one sector, anywhere: a drive that
                    # writes 512 bytes whole does so only if they lie in one of its sectors.
                    end = rng.randrange(1, len(write.data))
                    if len(write.data) > SECTOR:
                        end -= (write.offset + end) % SECTOR
                    if end > 0:
                        _apply(content, _Write(write.offset, write.data[:end]))
            file.content, file.synced = content, bytes(content)
            file.writes.clear()
        self._names_synced = dict(self._files)
        self._name_history.clear()
