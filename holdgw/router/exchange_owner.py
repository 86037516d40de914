"""What exchanges with endpoints need of the dispatcher that starts them."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable

from holdgw.operation.interval_counters import IntervalCounters
from holdgw.operation.metrics import Metrics
from holdgw.policy import Event, Settings
from holdgw.router.open_request import OpenRequestTable
from holdgw.router.timer_wheel import TimerWheel


class ExchangeOwner:
    """The clock, timers and figures that exchanges share, and the place that their ends are reported to.

    A base class and no Protocol: compiled code calls its methods without a look-up by name.
    """

    uses_load_reports: bool
    """Whether the load reports in answers make a difference to the routing policy."""

    def __init__(
        self,
        settings: Settings,
        now_ns: Callable[[], int],
        timer_wheel: TimerWheel,
        metrics: Metrics,
        open_requests: OpenRequestTable,
    ) -> None:
        """`now_ns`: a monotonic clock in nanoseconds."""
        self.settings = settings
        self.now_ns = now_ns
        self.timer_wheel = timer_wheel
        self.metrics = metrics
        self.open_requests = open_requests
        self.interval_counters: IntervalCounters | None = None
        """Counts of each second, where they are asked for."""

    @abstractmethod
    def dispatch(self, event: Event) -> None:
        """Give the routing policy an event."""

    @abstractmethod
    def parse_load_report(self, report: bytes | None) -> tuple[float, ...] | None:
        """The numbers of a load report in the order of the settings; None where there is none to read."""

    @abstractmethod
    def latency_objective_ns(self, class_name: str) -> int:
        """The latency objective of a request class, nanoseconds."""

    @abstractmethod
    def idle_connections_closed(self, endpoint_id: str) -> bool:
        """Whether the endpoint has closed idle connections, and none has come up since."""
