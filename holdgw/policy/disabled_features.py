"""Which parts of the decisions the settings switch off, and what they call the values of a load report.

Danger: a part that goes by an optional setting is off wherever the setting is absent, or worded in another
way, and nothing tells: it was so in every rehearsal for the load reports. Whoever hosts the module says once,
in the log and in the figures, what `parts_off` returns.
"""

from __future__ import annotations

from holdgw.policy import interface as api

# Each value by the names it has: the platform's wire, then the operators' brief. Milliseconds, and a count.
LATENCY, QUEUE = ("recent_ms", "latency_ms"), ("backlog", "queue")


def load_report_indexes(fields: tuple[str, ...]) -> tuple[int, int] | None:
    """Where a load report has the service time (ms) and the requests waiting; None: it lacks one of them."""
    latency, queue = (
        next((fields.index(name) for name in names if name in fields), None) for names in (LATENCY, QUEUE)
    )
    return None if latency is None or queue is None else (latency, queue)


def disabled_features(settings: api.Settings) -> dict[str, str]:
    """The parts that are off, or go by a guess, under these settings, each with the reason in a few words."""
    off = dict(settings.unrecognized)
    if load_report_indexes(settings.load_report_fields) is None:
        told = ", ".join(settings.load_report_fields) or "nothing"
        off.setdefault("load_reports", f"reports tell {told}, not service time and requests waiting")
    if not settings.warm_up_ns:
        off["cold_bound"] = "no warm-up is stated, so servers that start are taken for warm"
    if not any(tenant.quota_per_s for tenant in settings.tenants):
        off["origin_limits"] = "no tenant's quota is stated, so fetches begin with a generous limit"
    if settings.origin_kind is None:
        off.setdefault("origin", "servers fetch for themselves")
    return off
