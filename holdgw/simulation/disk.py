"""A host's disk: synced data survives a crash of the host; unsynced writes are kept, lost or torn.

The death of a process loses nothing, as the kernel still holds its writes. In a crash of the machine, each
write since the file's last sync is kept, lost or torn at a sector, independently of the others and of their
order (Pillai et al., "All File Systems Are Not Created Equal", OSDI 2014, table 1). Changes of names
(created, replaced, removed) since the last sync of the directory survive up to a random point in their order.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

SECTOR = 512  # bytes that a drive writes atomically


@dataclass(slots=True)
class _Write:
    offset: int
    data: bytes


@dataclass(slots=True)
class _File:
    content: bytearray = field(default_factory=bytearray)
    """The content as processes see it."""
    synced: bytes = b""
    """The content at the last sync."""
    writes: list[_Write] = field(default_factory=list)
    """Writes since the last sync; one at offset -1 truncates the file to the length encoded in its data."""


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
    """Files by path, in one directory. Errors are those of the system calls."""

    def __init__(self) -> None:
        self._files: dict[str, _File] = {}
        self._names_synced: dict[str, _File] = {}
        self._name_history: list[
            dict[str, _File]
        ] = []  # the names after each of their changes since the last sync of the directory

    def names(self) -> list[str]:
        """Return all paths, sorted."""
        return sorted(self._files)

    def read(self, path: str) -> bytes:
        """Return the content; raises FileNotFoundError."""
        return bytes(self._file(path).content)

    def size(self, path: str) -> int:
        """Return the size in bytes; raises FileNotFoundError."""
        return len(self._file(path).content)

    def _file(self, path: str) -> _File:
        if path not in self._files:
            raise FileNotFoundError(2, "No such file or directory", path)
        return self._files[path]

    def _record_names(self) -> None:
        self._name_history.append(dict(self._files))

    def create(self, path: str) -> None:
        """Create an empty file unless the path exists."""
        if path not in self._files:
            self._files[path] = _File()
            self._record_names()

    def write(self, path: str, offset: int, data: bytes) -> None:
        """Write bytes at an offset; raises FileNotFoundError, and OSError (EINVAL) for a negative offset."""
        if offset < 0:
            raise OSError(22, "Invalid argument", path)
        file = self._file(path)
        write = _Write(offset, bytes(data))
        _apply(file.content, write)
        file.writes.append(write)

    def append(self, path: str, data: bytes) -> None:
        """Append bytes; raises FileNotFoundError."""
        self.write(path, self.size(path), data)

    def truncate(self, path: str, length: int) -> None:
        """Shorten or extend the file to a length; raises FileNotFoundError."""
        file = self._file(path)
        write = _Write(-1, length.to_bytes(8, "big"))
        _apply(file.content, write)
        file.writes.append(write)

    def sync(self, path: str) -> None:
        """Sync the content of a file, but not its name (`sync_folder`). Raises FileNotFoundError."""
        file = self._file(path)
        file.synced = bytes(file.content)
        file.writes.clear()

    def sync_folder(self) -> None:
        """Sync the names in the directory."""
        self._names_synced = dict(self._files)
        self._name_history.clear()

    def replace(self, old: str, new: str) -> None:
        """Rename a file and replace one that has the new name; raises FileNotFoundError."""
        self._files[new] = self._file(old)
        if old != new:
            del self._files[old]
        self._record_names()

    def remove(self, path: str) -> None:
        """Remove a name; raises FileNotFoundError."""
        self._file(path)
        del self._files[path]
        self._record_names()

    def crash(self, rng: random.Random) -> None:
        """Apply a crash of the machine: keep, lose or tear each unsynced change."""
        kept_changes = rng.randint(0, len(self._name_history))
        self._files = dict(self._name_history[kept_changes - 1]) if kept_changes else dict(self._names_synced)
        for file in {id(named): named for named in self._files.values()}.values():
            content = bytearray(file.synced)
            for write in file.writes:
                draw = rng.random()
                if draw < 1 / 3:
                    _apply(content, write)
                elif draw < 2 / 3 and write.offset >= 0 and len(write.data) > 1:
                    # A write is torn at the end of a sector or, if it is no longer than one, at any byte: a
                    # drive writes 512 bytes atomically only if they lie within one of its sectors.
                    end = rng.randrange(1, len(write.data))
                    if len(write.data) > SECTOR:
                        end -= (write.offset + end) % SECTOR
                    if end > 0:
                        _apply(content, _Write(write.offset, write.data[:end]))
            file.content, file.synced = content, bytes(content)
            file.writes.clear()
        self._names_synced = dict(self._files)
        self._name_history.clear()
