"""The interface through which exchanges with endpoints use the dispatcher that starts them."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable

from holdgw.operation.interval_counters import IntervalCounters
from holdgw.operation.metrics import Metrics
from holdgw.policy import Event, Settings
from holdgw.router.error_answers import ErrorAnswer
from holdgw.router.open_request import OpenRequest, OpenRequestTable
from holdgw.router.timer_wheel import TimerWheel


class ExchangeOwner:
    """The clock, timers, metrics and open requests that exchanges share; takes the events of their ends.

    This is a base class and not a Protocol, so that compiled code calls its methods without a lookup by name.
    """

    uses_load_reports: bool
    """Whether the routing policy uses the load reports in answers."""

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
        """Counters of each second; None where they are not enabled."""

    @abstractmethod
    def dispatch(self, event: Event) -> None:
        """Pass an event to the routing policy."""

    @abstractmethod
    def parse_load_report(self, report: bytes | None) -> tuple[float, ...] | None:
        """A load report's numbers in the order of `load_report_fields`; None if it is missing or invalid."""

    @abstractmethod
    def latency_objective_ns(self, class_name: str) -> int:
        """The latency objective of a request class, nanoseconds."""

    @abstractmethod
    def answer_without_value(self, class_name: str) -> ErrorAnswer:
        """The answer to a request that ran and whose value can't be kept."""

    @abstractmethod
    def total_lag_ns(self, now_ns: int) -> int:
        """For how long this process was held up until the time `now_ns`, nanoseconds."""

    @abstractmethod
    def may_resume_value(self, request: OpenRequest) -> bool:
        """Whether another attempt could complete the request's value if it breaks off."""

    @abstractmethod
    def has_alternative(self, request: OpenRequest) -> bool:
        """Whether another endpoint could complete the request's value right now."""

    @abstractmethod
    def idle_connections_closed(self, endpoint_id: str) -> bool:
        """Whether the endpoint has closed an idle connection, and none has been opened since."""
