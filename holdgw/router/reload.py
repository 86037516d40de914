"""The reload of the configuration on SIGHUP."""

from __future__ import annotations

import logging

from holdgw.operation.metrics import Metrics
from holdgw.router.config import Config, ConfigError, load_config
from holdgw.router.platform import Platform

log = logging.getLogger("holdgw")


def reload_config(platform: Platform, metrics: Metrics) -> Config | None:
    """Read the configuration again; logs and counts the result, and returns None if it is invalid."""
    try:
        config = load_config(platform.environ, is_reload=True, read=platform.read)
    except ConfigError as error:
        metrics.reloads_rejected += 1
        log.error("reload: rejected, the old configuration stays in use error=%s", error)
        return None
    metrics.reloads_applied += 1
    log.info("reload: applied discovery=%s:%d", *config.discovery_address)
    return config
