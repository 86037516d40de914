"""A health check: an exchange with an endpoint outside any request."""

from __future__ import annotations

from holdgw.policy import CacheStatus, HealthCheckEnded, Outcome
from holdgw.router import origin_protocol
from holdgw.router.exchange import Exchange
from holdgw.router.exchange_owner import ExchangeOwner
from holdgw.wire import resp
from holdgw.wire.address import Address


class HealthCheckExchange(Exchange):
    """Asks an endpoint for a load report if the settings name any fields of one, else for its liveness."""

    is_health_check = True

    def __init__(self, owner: ExchangeOwner, endpoint_id: str, to_origin: bool, timeout_ns: int) -> None:
        self._owner = owner
        self._endpoint_id = endpoint_id
        self._to_origin = to_origin
        self._created_ns = owner.now_ns()
        self._timer = owner.timer_wheel.call_at(self._created_ns + timeout_ns, self._timed_out)

    def _timed_out(self) -> None:
        self.abandon(Outcome.TIMEOUT)

    def request_bytes(self, address: Address) -> bytes:
        """Encode the health check in the endpoint's protocol."""
        with_load_report = bool(self._owner.settings.load_report_fields)
        if self._to_origin:
            return origin_protocol.encode_health_check(with_load_report, address)
        return resp.command(b"INFO", b"load") if with_load_report else resp.command(b"PING")

    def on_end(
        self,
        outcome: Outcome,
        value: bytes | None = None,
        cache_status: CacheStatus | None = None,
        report: bytes | None = None,
    ) -> None:
        """Report the end to the routing policy; the origin sends its load report as the body."""
        self._timer.cancel()
        latency_ns = self._owner.now_ns() - self._created_ns
        load_report = self._owner.parse_load_report(report or value)
        self._owner.dispatch(HealthCheckEnded(self._endpoint_id, outcome, latency_ns, load_report))
