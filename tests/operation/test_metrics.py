"""Metrics in the exposition format."""

from __future__ import annotations

from holdgw.operation.metrics import Disposition, Metrics


def test_each_metric_has_its_name_and_value() -> None:
    metrics = Metrics(["fetch"])
    for _ in range(3):
        metrics.count_answer("fetch", Disposition.SUCCEEDED)
    metrics.count_answer("no such class", Disposition.ABORTED)
    text = metrics.text(14, 3, 1).decode().splitlines()
    assert 'lb_results{service="fetch",disposition="succeeded"} 3' in text
    assert 'lb_results{service="fetch",disposition="aborted"} 0' in text
    assert {"lb_outstanding 14", "lb_discovered 3", "lb_ejected 1", "lb_forwards 0"} <= set(text)
