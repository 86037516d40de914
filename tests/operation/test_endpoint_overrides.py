"""Administrative overrides over the endpoint list: decisions alone."""

from __future__ import annotations

import pytest

from holdgw.operation.endpoint_overrides import EndpointOverrides, UnknownEndpointError
from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.policy import Endpoint, EndpointsChanged, EndpointState, UpdateKind
from tests.helpers import S


def endpoint_update(kind: UpdateKind, *servers: Endpoint) -> EndpointUpdate:
    here = {server.id: ("127.0.0.1", 1) for server in servers if server.state is not EndpointState.GONE}
    return EndpointUpdate(1, EndpointsChanged(kind, servers), here)


def only(update: EndpointUpdate | None) -> Endpoint:
    assert update is not None
    (server,) = update.change.endpoints
    return server


def test_an_overridden_endpoint_is_draining_whatever_discovery_lists_until_one_exit() -> None:
    overrides = EndpointOverrides("origin")
    overrides.apply(endpoint_update(UpdateKind.FULL, Endpoint("a"), Endpoint("b")))
    assert only(overrides.enter_maintenance("a", 5)).state is EndpointState.DRAINING
    assert overrides.enter_maintenance("a", 6) is None  # the call may arrive twice
    for kind in (UpdateKind.DELTA, UpdateKind.FULL):
        seen = overrides.apply(endpoint_update(kind, Endpoint("a"), Endpoint("b")))
        assert [server.state for server in seen.change.endpoints] == [
            EndpointState.DRAINING,
            EndpointState.READY,
        ]
    assert only(overrides.exit_maintenance("a", 9)).state is EndpointState.READY
    assert overrides.exit_maintenance("a", 10) is None
    assert (
        overrides.apply(endpoint_update(UpdateKind.DELTA, Endpoint("a"))).change.endpoints[0].state
        is EndpointState.READY
    )


def test_an_override_outlasts_the_endpoint_leaving_the_list_and_returning() -> None:
    overrides = EndpointOverrides(None)
    overrides.apply(endpoint_update(UpdateKind.FULL, Endpoint("a"), Endpoint("b")))
    overrides.enter_maintenance("a", 5)
    overrides.apply(endpoint_update(UpdateKind.DELTA, Endpoint("a", state=EndpointState.GONE)))
    assert (overrides.discovered_count, overrides.excluded_count([])) == (1, 0)
    seen = overrides.apply(endpoint_update(UpdateKind.DELTA, Endpoint("a", started_ns=7)))
    assert seen.change.endpoints[0].state is EndpointState.DRAINING


def test_an_endpoint_after_an_override_is_warming_up_until_discovery_lists_its_start() -> None:
    # Its restart is told seconds late: believed to be warm, it would get its full load at once.
    overrides = EndpointOverrides(None)
    overrides.apply(endpoint_update(UpdateKind.FULL, Endpoint("a", started_ns=1)))
    overrides.enter_maintenance("a", 5 * S)
    assert only(overrides.exit_maintenance("a", 9 * S)).started_ns == 9 * S
    assert (
        overrides.apply(endpoint_update(UpdateKind.FULL, Endpoint("a", started_ns=1)))
        .change.endpoints[0]
        .started_ns
        == 9 * S
    )
    assert (
        overrides.apply(endpoint_update(UpdateKind.DELTA, Endpoint("a", started_ns=6 * S)))
        .change.endpoints[0]
        .started_ns
        == 6 * S
    )


def test_an_unknown_id_and_the_origin_are_no_cache_servers() -> None:
    overrides = EndpointOverrides("origin")
    overrides.apply(endpoint_update(UpdateKind.FULL, Endpoint("a"), Endpoint("o", kind="origin")))
    for name in ("b", "o", ""):
        with pytest.raises(UnknownEndpointError):
            overrides.enter_maintenance(name, 1)
        with pytest.raises(UnknownEndpointError):
            overrides.exit_maintenance(name, 1)
    assert overrides.discovered_count == 1


def test_an_endpoint_both_overridden_and_ejected_is_counted_once() -> None:
    overrides = EndpointOverrides(None)
    overrides.apply(endpoint_update(UpdateKind.FULL, *map(Endpoint, "abc")))
    overrides.enter_maintenance("a", 1)
    assert overrides.excluded_count(["a", "b", "unlisted"]) == 2
