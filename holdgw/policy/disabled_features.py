"""Determines which features the settings disable, and which values of a load report the policy reads.

A feature that depends on an optional setting is disabled, without an error, where that setting is absent or
has an unknown value. To make this visible, the router writes the result of `disabled_features` to its log
once, and to its metrics (`lb_off`).
"""

from __future__ import annotations

from holdgw.policy.settings import Settings

LATENCY_FIELDS = ("recent_ms", "latency_ms")
"""Names under which a load report may state the endpoint's latency, in milliseconds."""
QUEUE_FIELDS = ("backlog", "queue")
"""Names under which a load report may state the number of requests queued at the endpoint."""


def load_report_indexes(fields: tuple[str, ...]) -> tuple[int, int] | None:
    """Return the indexes of the latency (ms) and of the queue in a load report; None: one is missing."""
    latency = _first_index(fields, LATENCY_FIELDS)
    queue = _first_index(fields, QUEUE_FIELDS)
    return None if latency is None or queue is None else (latency, queue)


def _first_index(fields: tuple[str, ...], names: tuple[str, ...]) -> int | None:
    return next((fields.index(name) for name in names if name in fields), None)


def disabled_features(settings: Settings) -> dict[str, str]:
    """Return the features that these settings disable, or leave at a default, each with the reason."""
    reasons = dict(settings.unrecognized)
    if load_report_indexes(settings.load_report_fields) is None:
        stated = ", ".join(settings.load_report_fields) or "nothing"
        reasons.setdefault("load_reports", f"load reports state {stated}, not latency and queue")
    if not settings.warm_up_ns:
        reasons["cold_bound"] = "no warm-up is stated, so endpoints that start are treated as warm"
    if not any(tenant.quota_per_s for tenant in settings.tenants):
        reasons["origin_limits"] = "no tenant's quota is stated, so fetches start with a generous limit"
    if settings.origin_kind is None:
        reasons.setdefault("origin", "cache servers fetch from the origin themselves")
    return reasons
