"""The endpoint list of a router on several cores, which the supervisor gets for all workers."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from holdgw.operation.endpoint_overrides import EndpointOverrides
from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.policy import (
    NS_PER_S,
    Action,
    EndpointsChanged,
    RoutingPolicy,
    SetTimer,
    Subscribe,
    TimerFired,
    UpdateKind,
)
from holdgw.router.config import Config
from holdgw.router.discovery import Discovery
from holdgw.router.endpoint_list import Clock, read_endpoint_list
from holdgw.router.platform import Platform


class EndpointFeed:
    """Watches discovery, applies administrative overrides to its list, and publishes each update.

    If the settings require subscriptions, a routing policy of its own decides when to subscribe; it receives
    only endpoint updates and its timers.
    """

    def __init__(
        self,
        config: Config,
        platform: Platform,
        call_later: Callable[[float, Callable[[], None]], None],
        on_update: Callable[[EndpointUpdate], None],
    ) -> None:
        """`call_later`: given a delay in seconds and a callback; `on_update`: given each update."""
        self._config = config
        self._now = platform.monotonic_ns
        self._clock = Clock(platform.monotonic_ns, platform.unix_ns)
        self._call_later = call_later
        self._on_update = on_update
        self._policy = RoutingPolicy(config.settings, config.seed)
        self._discovery = Discovery(
            config.discovery_address,
            config.settings.subscription_required,
            self._clock,
            self._apply,
            self._poll_failed,
        )
        self.overrides = EndpointOverrides(config.settings.origin_kind)
        self.has_list = False

    def load_cached(self) -> None:
        """Apply the cached endpoint list that the configuration names, if any."""
        if self._config.known_endpoints is None:
            return
        cached = read_endpoint_list(self._config.known_endpoints, self._clock, UpdateKind.CACHED)
        self._discovery.resume_from(cached.generation)
        self._apply(cached)

    def start(self) -> None:
        """Start to watch discovery, or let the routing policy decide when to subscribe."""
        if not self._config.settings.subscription_required:
            self._discovery.start()
        elif self._config.known_endpoints is None:
            self._dispatch(EndpointsChanged(UpdateKind.CACHED))

    def change_address(self, config: Config) -> None:
        """Watch discovery at the address that a reloaded configuration names."""
        self._discovery.change_address(config.discovery_address)

    def enter_maintenance(self, endpoint_id: str) -> None:
        """Set the administrative override of a cache server; raises UnknownEndpointError."""
        self._publish(self.overrides.enter_maintenance(endpoint_id, self._now()))

    def exit_maintenance(self, endpoint_id: str) -> None:
        """Clear the administrative override; raises UnknownEndpointError."""
        self._publish(self.overrides.exit_maintenance(endpoint_id, self._now()))

    def close(self) -> None:
        """Stop watching discovery."""
        self._discovery.close()

    def _apply(self, update: EndpointUpdate) -> None:
        self._dispatch(update.change)
        self.has_list = True
        self._publish(self.overrides.apply(update))

    def _publish(self, update: EndpointUpdate | None) -> None:
        if update is not None:
            self._on_update(update)

    def _poll_failed(self) -> None:
        self._dispatch(EndpointsChanged(UpdateKind.FAILED))

    def _dispatch(self, event: EndpointsChanged | TimerFired) -> None:
        for action in self._policy.handle(event, self._now()):
            self._execute(action)

    def _execute(self, action: Action) -> None:
        if isinstance(action, Subscribe):
            self._discovery.subscribe()
        elif isinstance(action, SetTimer):
            self._call_later(action.delay_ns / NS_PER_S, partial(self._dispatch, TimerFired(action.token)))
