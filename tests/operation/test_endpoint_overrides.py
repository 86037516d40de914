"""Administrative overrides applied to the endpoint list, without I/O."""

from __future__ import annotations

import pytest

from holdgw.operation.endpoint_overrides import EndpointOverrides, UnknownEndpointError
from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.policy import Endpoint, EndpointsChanged, EndpointState, UpdateKind
from tests.helpers import S


def endpoint_update(kind: UpdateKind, *endpoints: Endpoint) -> EndpointUpdate:
    addresses = {
        endpoint.id: ("127.0.0.1", 1) for endpoint in endpoints if endpoint.state is not EndpointState.GONE
    }
    return EndpointUpdate(1, EndpointsChanged(kind, endpoints), addresses)


def only_endpoint(update: EndpointUpdate | None) -> Endpoint:
    assert update is not None
    (endpoint,) = update.change.endpoints
    return endpoint


def test_an_overridden_endpoint_is_draining_whatever_discovery_lists_until_one_exit() -> None:
    overrides = EndpointOverrides("origin")
    overrides.apply(endpoint_update(UpdateKind.FULL, Endpoint("a"), Endpoint("b")))
    assert only_endpoint(overrides.enter_maintenance("a", 5)).state is EndpointState.DRAINING
    assert overrides.enter_maintenance("a", 6) is None  # callers may repeat a call
    for kind in (UpdateKind.DELTA, UpdateKind.FULL):
        effective = overrides.apply(endpoint_update(kind, Endpoint("a"), Endpoint("b")))
        assert [endpoint.state for endpoint in effective.change.endpoints] == [
            EndpointState.DRAINING,
            EndpointState.READY,
        ]
    assert only_endpoint(overrides.exit_maintenance("a", 9)).state is EndpointState.READY
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
    effective = overrides.apply(endpoint_update(UpdateKind.DELTA, Endpoint("a", started_ns=7)))
    assert effective.change.endpoints[0].state is EndpointState.DRAINING


def test_an_endpoint_after_an_override_is_warming_up_until_discovery_lists_its_start() -> None:
    # Discovery lists a restart seconds late. Taken for warm, the endpoint would get its full load at once.
    overrides = EndpointOverrides(None)
    overrides.apply(endpoint_update(UpdateKind.FULL, Endpoint("a", started_ns=1)))
    overrides.enter_maintenance("a", 5 * S)
    assert only_endpoint(overrides.exit_maintenance("a", 9 * S)).started_ns == 9 * S
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


def test_an_unknown_id_and_the_origin_can_not_be_overridden() -> None:
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
