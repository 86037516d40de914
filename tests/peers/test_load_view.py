"""The load view of many routers with few observations each: its error, its age, and false reports."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from holdgw.peers import load_report
from holdgw.peers.datagram import MAX_BYTES, DecodeError
from holdgw.peers.heavy_hitters import COUNTERS, MIN_COUNT, MIN_GUARANTEED, HeavyHitters
from holdgw.peers.load_encoding import AGE_STEP, RESPONSE_TIME_STEP, ServerSample
from holdgw.peers.load_report import MAX_SERVERS, MAX_SLOTS, MAX_TENANTS, LoadReport
from holdgw.peers.load_view import MAX_SAMPLE_AGE, LoadView, Observations
from holdgw.peers.timing import NS_PER_S
from tests.helpers import damaged

SHORT = st.integers(0, 0xFFFF)
SAMPLES = st.builds(
    ServerSample,
    st.integers(0, (1 << 32) - 1),
    SHORT.map(lambda steps: steps * RESPONSE_TIME_STEP),
    st.integers(0, 255).map(lambda steps: steps * AGE_STEP),
)
REPORTS = st.builds(
    LoadReport,
    st.integers(0, 399),
    st.integers(0, (1 << 32) - 1),
    st.lists(SAMPLES, max_size=MAX_SERVERS).map(tuple),
    SHORT,
    st.dictionaries(SHORT, SHORT, max_size=MAX_SLOTS),
    st.dictionaries(st.integers(0, 255), SHORT, max_size=MAX_TENANTS),
)
SERVERS = [f"cache-{i}" for i in range(20)]


def new_views(count: int) -> list[LoadView]:
    views = [LoadView(number, number + 1, ("public",)) for number in range(count)]
    for view in views:
        view.set_servers(SERVERS)
    return views


def requests(slot: int, count: int = 1) -> Observations:
    return Observations({}, {slot: count})


@given(REPORTS)
def test_a_report_decodes_to_what_was_encoded_and_is_never_over_256_bytes(report: LoadReport) -> None:
    data = load_report.encode(report)
    assert len(data) <= MAX_BYTES
    assert load_report.is_load_report(data)
    assert load_report.decode(data, 400) == report


@given(REPORTS, st.data())
def test_a_report_damaged_at_any_place_is_not_decoded(report: LoadReport, data: st.DataObject) -> None:
    with pytest.raises(DecodeError):
        load_report.decode(damaged(load_report.encode(report), data), 400)


def drawn_keys(seed: int, length: int, skew: float) -> list[int]:
    """Draw keys, few of them frequent and most of them rare, of more kinds than a small summary holds."""
    return random.Random(seed).choices(range(201), [(i + 1) ** -skew for i in range(201)], k=length)


def keys_up_to(length: int) -> st.SearchStrategy[list[int]]:
    drawn = st.builds(drawn_keys, st.integers(0, 1 << 32), st.integers(1, length), st.floats(0.0, 1.5))
    return st.one_of(drawn, st.lists(st.integers(0, 200), min_size=1, max_size=length))


@given(keys_up_to(3000), st.integers(1, 500))
def test_counts_of_heavy_hitters_are_within_their_error_bound(keys: list[int], batch: int) -> None:
    hitters = HeavyHitters(capacity=32)
    hitters.decay(1)
    for i in range(0, len(keys), batch):
        hitters.add_counts(Counter(keys[i : i + batch]))
        assert len(hitters) <= 32
    guaranteed = hitters.guaranteed(32)
    for key, count in guaranteed.items():
        assert keys.count(key) - len(keys) / 32 <= count <= keys.count(key)
    for key, (count, error) in hitters._counts.items():
        assert keys.count(key) <= count < keys.count(key) + len(keys) / 32
        assert guaranteed.get(key, 0.0) == (count - error if count - error >= MIN_GUARANTEED else 0.0)
    for key in set(keys):
        if keys.count(key) > 2 * len(keys) / 32:
            assert key in guaranteed


@given(st.lists(st.tuples(keys_up_to(300), st.integers(1, 8)), min_size=1, max_size=20))
def test_decayed_counts_are_within_the_same_error_bound(steps: list[tuple[list[int], int]]) -> None:
    """Compares with exact counts that decay alike; batches are 0.25 s to 2 s apart."""
    hitters, now, total = HeavyHitters(capacity=32, half_life_s=1.0), 1, 0.0
    exact_counts: dict[int, float] = {}
    hitters.decay(now)
    for keys, quarter_seconds in steps:
        now += quarter_seconds * NS_PER_S // 4
        hitters.decay(now)
        exact_counts = {key: count * 0.5 ** (quarter_seconds / 4) for key, count in exact_counts.items()}
        hitters.add_counts(Counter(keys))
        for key in keys:
            exact_counts[key] = exact_counts.get(key, 0.0) + 1
        total = total * 0.5 ** (quarter_seconds / 4) + len(keys)
        assert hitters.total == pytest.approx(total)
        assert len(hitters) <= 32
        for key, (count, error) in hitters._counts.items():
            assert count - error <= exact_counts[key] + 1e-6
            # Each time that the key was dropped at MIN_COUNT, that much may be missing, less by decay.
            assert exact_counts[key] - 1.1 * MIN_COUNT <= count <= exact_counts[key] + total / 32 + 1e-6


def test_a_key_that_no_router_sees_often_is_hot_in_the_view_of_all() -> None:
    """200 routers with 3 requests a second each; one slot has a twentieth of all requests."""
    rng = random.Random(1)
    views = new_views(200)
    now = 0
    for now in range(NS_PER_S // 4, 5 * NS_PER_S, NS_PER_S // 4):
        for view in views:
            if rng.random() < 0.75:
                view.record(requests(7 if rng.random() < 0.05 else rng.randrange(100, 8192)))
            data = load_report.encode(view.report(now))
            for other in rng.sample(views, 4):
                other.receive(load_report.decode(data, 200), now)
    for view in rng.sample(views, 20):
        shares, requests_counted = view.shares(now)
        assert requests_counted > 150
        assert shares[7] == pytest.approx(0.05, abs=0.03)
        assert max(share for slot, share in shares.items() if slot != 7) < 0.02
    assert views[0].slot_counts.total < 12  # a router's own requests are too few to show a hot key


def test_a_servers_sample_expires_and_newer_samples_outweigh_it() -> None:
    view, other, third = new_views(3)
    other.record_response_time("cache-1", 80_000_000, 0)
    view.receive(other.report(NS_PER_S), NS_PER_S)
    assert view.loads(NS_PER_S)["cache-1"].response_time == 80_000_000
    assert view.loads(NS_PER_S)["cache-1"].age == pytest.approx(NS_PER_S, abs=AGE_STEP)
    third.record_response_time("cache-1", 20_000_000, 3 * NS_PER_S)
    view.receive(third.report(3 * NS_PER_S), 3 * NS_PER_S)
    # The older sample is 3 half-lives older, and has an eighth of the newer one's weight.
    assert view.loads(3 * NS_PER_S)["cache-1"].response_time == 20_000_000
    assert view.loads(NS_PER_S + MAX_SAMPLE_AGE + 1)["cache-1"].samples == 1
    assert view.loads(3 * NS_PER_S + MAX_SAMPLE_AGE) == {}


def test_an_old_sample_reported_again_is_no_younger() -> None:
    view, other = new_views(2)
    other.record_response_time("cache-1", 80_000_000, 0)
    reported = other.report(NS_PER_S)
    view.receive(reported, NS_PER_S)
    age_before = view.loads(4 * NS_PER_S)["cache-1"].age
    reported_again = other.report(2 * NS_PER_S)
    view.receive(reported_again, 2 * NS_PER_S)
    assert view.loads(4 * NS_PER_S)["cache-1"].age == pytest.approx(age_before, abs=AGE_STEP)


@pytest.mark.parametrize("false_response_time", [0, 60_000_000_000])
def test_false_reports_of_one_router_move_no_response_time_beyond_what_others_report(
    false_response_time: int,
) -> None:
    rng = random.Random(2)
    views = new_views(12)
    now = NS_PER_S
    reported = []
    for view in views[1:]:
        response_time = rng.randrange(20_000_000, 30_000_000)
        view.record_response_time("cache-3", response_time, now)
        reported.append(response_time)
        views[0].receive(view.report(now), now)
    for _ in range(20):
        now += 1_000_000
        false_samples = tuple(
            ServerSample(load_report.hash_server(name), false_response_time, 0) for name in SERVERS
        )
        views[0].receive(LoadReport(5, 1, false_samples, 1, {9: 60_000}), now)
    load = views[0].loads(now)["cache-3"]
    assert min(reported) - 1_000_000 <= load.response_time <= max(reported)
    shares, _ = views[0].shares(now)
    assert shares.get(9, 0.0) <= 1.0
    for view in views[1:5]:
        view.record(requests(8, 40))
        views[0].receive(view.report(now), now)
    assert views[0].shares(now)[0][9] < 0.02  # a slot's count is bounded by the reporter's requests


def test_samples_of_unlisted_servers_and_of_colliding_hashes_are_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    view, other = new_views(2)
    other.record_response_time("cache-1", 80_000_000, 0)
    view.set_servers([name for name in SERVERS if name != "cache-1"])
    view.receive(other.report(1), 1)
    assert view.loads(1) == {}
    monkeypatch.setattr("holdgw.peers.load_view.hash_server", lambda _: 1)
    view.set_servers(["a", "b"])
    view.record_response_time("a", 5, 2)
    assert view.loads(2) == {}


def test_no_table_grows_beyond_its_bound() -> None:
    rng = random.Random(3)
    view = new_views(1)[0]
    for i in range(5000):
        view.record(requests(rng.randrange(8192)))
        samples = tuple(ServerSample(rng.randrange(1 << 32), 1, 0) for _ in range(MAX_SERVERS))
        view.receive(LoadReport(1 + i % 399, 1, samples, 5, {rng.randrange(8192): 1}), i)
    assert view.tables()["servers heard of"] <= len(SERVERS)
    assert view.tables()["routers heard"] <= 399
    assert view.tables()["slots counted"] <= COUNTERS


def test_demand_is_the_mean_of_the_routers_that_reported() -> None:
    view, other, third = new_views(3)
    view.receive(other.report(1, lambda: {"public": 3.0}), 1)
    view.receive(third.report(1, lambda: {"public": 5.0}), 1)
    assert view.demand(2) == {"public": 4.0}
