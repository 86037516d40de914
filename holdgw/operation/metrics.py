"""What a router reports of itself: counts since its start and states of now, as text for a scraper.

The text is Prometheus' exposition format, version 0.0.4.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class Disposition(Enum):
    """How a request ended: served, refused or failed."""

    SUCCEEDED = "succeeded"
    DECLINED = "declined"
    ABORTED = "aborted"


class Metrics:
    """The counts; whoever gives an answer or makes an attempt counts it there and then."""

    def __init__(self, classes: Iterable[str], off: Iterable[str] = ()) -> None:
        self.results = {(name, disposition): 0 for name in classes for disposition in Disposition}
        self.forwards = 0
        """Attempts written whole to servers, the origin among them."""
        self.reloads_applied = self.reloads_rejected = 0
        self.off = tuple(off)
        """Parts of the decisions that the settings switch off."""

    def count_answer(self, request_class: str, disposition: Disposition) -> None:
        """Count a request's final answer; a class that the settings don't name is not counted."""
        key = request_class, disposition
        if key in self.results:
            self.results[key] += 1

    def counts(self) -> dict[str, list[int]]:
        """The final answers of each class, in Disposition's order, for another process."""
        told: dict[str, list[int]] = {}
        for (name, _), count in self.results.items():
            told.setdefault(name, []).append(count)
        return told

    def add(self, counts: dict[str, list[int]], forwards: int) -> None:
        """Add what another process of the router has counted."""
        for name, row in counts.items():
            for disposition, count in zip(Disposition, row, strict=True):
                self.results[name, disposition] += count
        self.forwards += forwards

    def text(
        self,
        outstanding: int,
        discovered: int,
        ejected: int,
        peers: Mapping[str, int] | None = None,
        picture: Mapping[str, int] | None = None,
        levels: Mapping[str, float] | None = None,
        dropped: Mapping[str, int] | None = None,
        view: Mapping[str, int] | None = None,
        peer_bytes: Mapping[str, int] | None = None,
    ) -> bytes:
        """Write all figures down; `peers`: how many routers of the tier are held to be what; `picture`: how
        many routers and requests were heard of lately, and servers that there is word of; `levels`: how many
        servers give slots up and take some, and the least part that one keeps; `dropped`: datagrams of
        others that were not read, or own ones not sent, by why; `view`: the state of aggregation;
        `peer_bytes`: payload of datagrams among peers, by way.
        """
        lines = ["# TYPE lb_results counter"]
        for (name, disposition), count in self.results.items():
            escaped = name.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
            lines.append(f'lb_results{{service="{escaped}",disposition="{disposition.value}"}} {count}')
        for name, kind, value in (
            ("forwards", "counter", self.forwards),
            ("outstanding", "gauge", outstanding),
            ("discovered", "gauge", discovered),
            ("ejected", "gauge", ejected),
            ("sighup_applied", "counter", self.reloads_applied),
            ("sighup_rejected", "counter", self.reloads_rejected),
        ):
            lines += [f"# TYPE lb_{name} {kind}", f"lb_{name} {value}"]
        several: tuple[tuple[str, str, str, Mapping[str, float] | None], ...] = (
            ("peers", "gauge", "state", peers),
            ("peers_dropped", "counter", "why", dropped),
            ("picture", "gauge", "of", picture),
            ("levels", "gauge", "of", levels),
            ("view", "gauge", "of", view),
            ("peer_bytes", "counter", "way", peer_bytes),
        )
        for name, kind, label, counts in several:
            if counts:
                lines += [f"# TYPE lb_{name} {kind}"]
                lines += [f'lb_{name}{{{label}="{word}"}} {count}' for word, count in counts.items()]
        if self.off:
            lines += ["# TYPE lb_off gauge", *(f'lb_off{{part="{part}"}} 1' for part in self.off)]
        return "\n".join([*lines, ""]).encode()
