"""An aggregator's table of the latest load report of each router, by the member that it came from; pure.

The state is a last-writer-wins register for each (reporter, source), ordered by boot_id and sequence number
(Shapiro, Preguica, Baquero and Zawirski, 2011): to receive a report again, late, or by several ways changes
nothing, and in whatever order aggregators exchange reports they come to the same table. The source is the
reporter itself, or the aggregator that forwarded the report; so a false forwarded report replaces none that
came from elsewhere. Of each reporter one report counts.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import NamedTuple

from holdgw.peers.load_report import LoadReport
from holdgw.peers.sequence_gate import Order, SequenceGate
from holdgw.peers.sequenced_report import SequencedReport
from holdgw.peers.timing import NS_PER_S

REPORT_MAX_AGE = 3 * NS_PER_S  # since it was received, from which on a report no longer counts
DIRECT_PREFERRED = int(1.1 * NS_PER_S)  # up to this age a direct report goes before forwarded ones
"""Over half of the 2 s between two reports of a router to the same aggregator: so what one aggregator
forwards can take the place of under half of another's direct reports, where these are spread over the time.
Where they come all together, the younger half of them goes first at any age.
"""


class ReceivedReport(NamedTuple):
    """A report that counts, the member that it came from, and how long ago it was received, ns."""

    report: LoadReport
    source: int
    age: int

    @property
    def direct(self) -> bool:
        """Whether the reporter itself sent it to this aggregator."""
        return self.source == self.report.sender


class _Register:
    """The latest report of one reporter by one source; the report is dropped once it no longer counts."""

    __slots__ = ("gate", "received_at", "report")

    def __init__(self) -> None:
        self.gate = SequenceGate()
        self.report: LoadReport | None = None
        self.received_at = 0


class ReportTable:
    """Bounded by the members times the sources that the owner lets in: reporters and aggregators.

    `aggregators_of`: the aggregators that a reporter reports to, as far as this one can tell.
    """

    def __init__(self, aggregators_of: Callable[[int], Collection[int]]) -> None:
        self._aggregators_of = aggregators_of
        self._registers: dict[int, dict[int, _Register]] = {}  # by reporter, then by source

    def receive(self, sequenced: SequencedReport, source: int, now: int) -> bool:
        """Take a report that came from this member; False where it is a duplicate or a replay."""
        report = sequenced.report
        register = self._registers.setdefault(report.sender, {}).setdefault(source, _Register())
        if register.gate.check(report.boot_id, sequenced.sequence, now) is not Order.NEWER:
            return False
        register.report = report
        register.received_at = now
        return True

    def fresh(self, now: int) -> list[ReceivedReport]:
        """Of each reporter the report that counts; none past REPORT_MAX_AGE."""
        fresh = {reporter: self._fresh_sources(reporter, now) for reporter in self._registers}
        preferred = _direct_preferred([by[who].received_at for who, by in fresh.items() if who in by], now)
        found = []
        for reporter, sources in fresh.items():
            if sources:
                source = self._best_source(reporter, sources, preferred)
                register = sources[source]
                assert register.report is not None
                found.append(ReceivedReport(register.report, source, now - register.received_at))
        return found

    def _fresh_sources(self, reporter: int, now: int) -> dict[int, _Register]:
        return {source: one for source, one in self._registers[reporter].items() if self._is_fresh(one, now)}

    def _is_fresh(self, register: _Register, now: int) -> bool:
        if register.report is not None and now - register.received_at >= REPORT_MAX_AGE:
            register.report = None
        return register.report is not None

    def _best_source(self, reporter: int, fresh: dict[int, _Register], preferred: int) -> int:
        """The reporter itself where its report came after `preferred`, else whoever's report came last.

        The reporter's own aggregators go before others.
        """
        direct = fresh.get(reporter)
        if len(fresh) == 1 or (direct is not None and direct.received_at > preferred):
            return reporter if direct is not None else next(iter(fresh))
        expected = (reporter, *self._aggregators_of(reporter))
        return max(fresh, key=lambda source: (source in expected, fresh[source].received_at, source))

    def __len__(self) -> int:
        """Number of registers."""
        return sum(len(sources) for sources in self._registers.values())


def _direct_preferred(received: list[int], now: int) -> int:
    """The time after which direct reports, received at these times, go before forwarded ones."""
    half = len(received) // 2
    if not half:
        return now - DIRECT_PREFERRED
    return min(now - DIRECT_PREFERRED, sorted(received)[-half] - 1)
