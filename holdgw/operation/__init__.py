"""Operating a running router: admin endpoint, metrics, administrative overrides and takeover."""
