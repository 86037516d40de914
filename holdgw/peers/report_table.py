"""An aggregator's table of the latest load report of each router, by the member that it came from; pure.

The state is a last-writer-wins register for each (reporter, source), ordered by boot_id and sequence number
(Shapiro, Preguica, Baquero and Zawirski, 2011). A report that is received again, late, or through several
aggregators changes nothing, and aggregators that exchange reports in any order arrive at the same table. The
source is the reporter itself, or the aggregator that forwarded the report. A false forwarded report therefore
replaces no report from another source. One report of each reporter is selected for the merge.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import NamedTuple

from holdgw.peers.load_report import LoadReport
from holdgw.peers.sequence_gate import Order, SequenceGate
from holdgw.peers.sequenced_report import SequencedReport
from holdgw.peers.timing import NS_PER_S

REPORT_MAX_AGE = 3 * NS_PER_S  # time since its receipt after which a report is no longer merged
DIRECT_PREFERRED = int(1.1 * NS_PER_S)  # up to this age a direct report is preferred to forwarded ones
"""More than half of the 2 s between two reports of a router to the same aggregator. The reports that one
aggregator forwards can thus replace under half of another's direct reports, where these are spread over time.
Where direct reports arrive all at once, the younger half of them is preferred at any age.
"""


class ReceivedReport(NamedTuple):
    """A report selected for the merge, the member that it came from, and the time since its receipt, ns."""

    report: LoadReport
    source: int
    age: int

    @property
    def direct(self) -> bool:
        """Whether the reporter itself sent the report to this aggregator."""
        return self.source == self.report.sender


class _Register:
    """The latest report of one reporter from one source; the report is dropped at REPORT_MAX_AGE."""

    __slots__ = ("gate", "received_at", "report")

    def __init__(self) -> None:
        self.gate = SequenceGate()
        self.report: LoadReport | None = None
        self.received_at = 0


class ReportTable:
    """The latest reports of all reporters, and the selection of one per reporter for the merge.

    Its size is bounded by the number of members times the number of sources that the aggregator accepts,
    which are the reporter itself and the aggregators.
    """

    def __init__(self, aggregators_of: Callable[[int], Collection[int]]) -> None:
        """`aggregators_of`: returns the aggregators that a reporter should report to."""
        self._aggregators_of = aggregators_of
        self._registers: dict[int, dict[int, _Register]] = {}  # by reporter, then by source

    def receive(self, sequenced: SequencedReport, source: int, now: int) -> bool:
        """Store a report that came from `source`; returns False where it is a duplicate or a replay."""
        report = sequenced.report
        register = self._registers.setdefault(report.sender, {}).setdefault(source, _Register())
        if register.gate.check(report.boot_id, sequenced.sequence, now) is not Order.NEWER:
            return False
        register.report = report
        register.received_at = now
        return True

    def fresh(self, now: int) -> list[ReceivedReport]:
        """Return the selected report of each reporter that has a report younger than REPORT_MAX_AGE."""
        fresh = {reporter: self._fresh_sources(reporter, now) for reporter in self._registers}
        preferred_after = _direct_preferred_after(
            [sources[reporter].received_at for reporter, sources in fresh.items() if reporter in sources], now
        )
        selected = []
        for reporter, sources in fresh.items():
            if sources:
                source = self._best_source(reporter, sources, preferred_after)
                register = sources[source]
                assert register.report is not None
                selected.append(ReceivedReport(register.report, source, now - register.received_at))
        return selected

    def _fresh_sources(self, reporter: int, now: int) -> dict[int, _Register]:
        return {
            source: register
            for source, register in self._registers[reporter].items()
            if self._is_fresh(register, now)
        }

    def _is_fresh(self, register: _Register, now: int) -> bool:
        if register.report is not None and now - register.received_at >= REPORT_MAX_AGE:
            register.report = None
        return register.report is not None

    def _best_source(self, reporter: int, fresh: dict[int, _Register], preferred_after: int) -> int:
        """Return the reporter itself if its report arrived after `preferred_after`, else the latest source.

        The reporter and its own aggregators take precedence over other aggregators.
        """
        direct = fresh.get(reporter)
        if len(fresh) == 1 or (direct is not None and direct.received_at > preferred_after):
            return reporter if direct is not None else next(iter(fresh))
        expected = (reporter, *self._aggregators_of(reporter))
        return max(fresh, key=lambda source: (source in expected, fresh[source].received_at, source))

    def __len__(self) -> int:
        """Return the number of registers."""
        return sum(len(sources) for sources in self._registers.values())


def _direct_preferred_after(received_at: list[int], now: int) -> int:
    """Return the time after which direct reports are preferred to forwarded ones, in ns.

    `received_at`: the times at which direct reports were received.
    """
    half = len(received_at) // 2
    if not half:
        return now - DIRECT_PREFERRED
    return min(now - DIRECT_PREFERRED, sorted(received_at)[-half] - 1)
