"""Which features of the routing policy the settings switch off, and where a load report has its values.

A feature that goes by an optional setting is off wherever the setting is absent or has an unknown value, and
nothing fails. So that it is seen, the router states what `disabled_features` returns once in its log, and in
its metrics (`lb_off`).
"""

from __future__ import annotations

from holdgw.policy.settings import Settings

LATENCY_FIELDS = ("recent_ms", "latency_ms")
"""The names a load report may have for its latency, milliseconds."""
QUEUE_FIELDS = ("backlog", "queue")
"""The names a load report may have for its number of waiting requests."""


def load_report_indexes(fields: tuple[str, ...]) -> tuple[int, int] | None:
    """Positions of the latency (ms) and of the waiting requests in a load report; None: one is missing."""
    latency = _first_index(fields, LATENCY_FIELDS)
    queue = _first_index(fields, QUEUE_FIELDS)
    return None if latency is None or queue is None else (latency, queue)


def _first_index(fields: tuple[str, ...], names: tuple[str, ...]) -> int | None:
    return next((fields.index(name) for name in names if name in fields), None)


def disabled_features(settings: Settings) -> dict[str, str]:
    """The features that are off, or go by a default, under these settings, each with the reason."""
    reasons = dict(settings.unrecognized)
    if load_report_indexes(settings.load_report_fields) is None:
        stated = ", ".join(settings.load_report_fields) or "nothing"
        reasons.setdefault("load_reports", f"reports tell {stated}, not service time and requests waiting")
    if not settings.warm_up_ns:
        reasons["cold_bound"] = "no warm-up is stated, so servers that start are taken for warm"
    if not any(tenant.quota_per_s for tenant in settings.tenants):
        reasons["origin_limits"] = "no tenant's quota is stated, so fetches begin with a generous limit"
    if settings.origin_kind is None:
        reasons.setdefault("origin", "servers fetch for themselves")
    return reasons
