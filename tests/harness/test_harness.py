"""Short runs with real processes: faults take effect, violations are detected, no process or file is left.

The assertions hold on a slow machine as well: they check counts, order and who did what, never speed.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid
from collections.abc import Iterator
from pathlib import Path

import orjson
import pytest
import uvloop

from holdgw.emulators.records import Attempt
from holdgw.harness.deployment import DeployError, run_command
from holdgw.harness.html_report import nice_step, render
from holdgw.harness.loopback import emulator_ip
from holdgw.harness.orchestrator import HarnessError, Orchestrator, RunResult, play
from holdgw.harness.report import Report, make_report
from holdgw.harness.routers import free_address
from holdgw.harness.scenario import read_scenario
from holdgw.harness.schedule import ORIGIN
from holdgw.harness.schedule_drawing import draw_schedule
from holdgw.router.endpoint_list import Clock
from holdgw.simulation.search import play_seed
from tests.helpers import trouble

ROOT = Path(__file__).resolve().parent.parent.parent
ROUTER = f"exec {sys.executable} -m holdgw.router"
LIMIT_S = 90.0
SMALL = """
name = "small"
length_s = {length}
[load]
rate = {rate}
[fleet]
nodes = {nodes}
routers = 2
[keys]
count = 300
[emulator]
prelude_s = 1.0
prelude_keys = 300
worst_ms = 10000.0
lag_ms = 1000.0
"""


def small(text: str = "", length: float = 4.0, rate: float = 60.0, nodes: int = 6) -> str:
    return SMALL.format(length=length, rate=rate, nodes=nodes) + text


def rehearse(text: str, command: str = ROUTER, seed: int = 1) -> tuple[RunResult, Report]:
    schedule = draw_schedule(read_scenario(text, "test"), seed)
    played = uvloop.run(asyncio.wait_for(play(schedule, command, ROOT), LIMIT_S))
    return played, make_report(played)


def test_quiet_run_is_served_and_its_report_is_complete() -> None:
    played, report = rehearse(small())
    body = orjson.loads(orjson.dumps(report.body))
    for name in ("asked", "served", "in_aim", "refused", "failed", "service", "rules", "p50_ms", "p99_ms",
                 "origin_fetches", "nodes", "routers"):  # fmt: skip
        assert name in body
    assert body["asked"] == sum(ask.at >= 0 for ask in played.schedule.requests)
    assert body["served"] + body["refused"] + body["failed"] == body["asked"]
    assert body["served"] > 0.8 * body["asked"]
    assert set(body["rules"]) == {"lost", "twice", "late_drain", "felled"}
    assert report.exit_code == 0
    assert body["odd"] == []
    assert len(body["nodes"]) == 6
    assert all(router["memory_mb"] > 1 and router["descriptors"] > 3 for router in body["routers"].values())
    assert {one.request for one in played.history.tries} >= {one.request for one in played.history.attempts}
    page = render(report, played.usage, played.begun)
    assert page.startswith("<!doctype html>")
    assert page.count("<svg") == page.count("</svg>") == 6
    assert "http://" not in page
    assert "https://" not in page


@pytest.fixture(scope="module")
def run_with_node_faults() -> tuple[RunResult, Report]:
    return rehearse(
        small(
            trouble("pause", 1.0, nodes=["node000"], seconds=2.0)
            + trouble("kill", 1.0, nodes=["node001"])
            + trouble("drain", 1.0, nodes=["node002"], seconds=3.0)
            + trouble("restart", 1.5, nodes=["node003"], down_s=0.3)
            + trouble("replace", 1.5, nodes=["node004"], down_s=0.3, same_address=True)
            + trouble("cold_start", 1.5, nodes=1)
            + trouble("flush", 4.0, share=0.7)
            + trouble("scan", 4.0, seconds=2.0, share=0.3)
            + trouble("hot_caller", 4.0, seconds=2.0, share=0.4)
            + "\n[discovery]\nnotice_s = [0.2, 0.4]\n",
            length=7.0,
            nodes=8,
        )
    )


def at_node(played: RunResult, server: str) -> list[tuple[float, Attempt]]:
    return [(one.at - played.begun, one) for one in played.history.attempts if one.server == server]


@pytest.mark.xdist_group("one day")
def test_paused_node_answers_nothing_and_then_continues_with_its_open_requests(
    run_with_node_faults: tuple[RunResult, Report],
) -> None:
    played, _ = run_with_node_faults
    answered = [one.ended - played.begun for _, one in at_node(played, "node000")]
    assert any(at < 1.0 for at in answered)
    assert not [at for at in answered if 1.5 < at < 2.9]
    held = [one for at, one in at_node(played, "node000") if 1.1 < at < 2.9]
    assert held, "discovery still lists the node, so it gets requests"
    assert all(one.ended - played.begun >= 2.9 for one in held)
    states = [one.state for one in played.history.had if one.server == "node000"]
    assert states == []


@pytest.mark.xdist_group("one day")
def test_nodes_are_killed_drained_restarted_added_and_replaced(
    run_with_node_faults: tuple[RunResult, Report],
) -> None:
    played, report = run_with_node_faults
    states: dict[str, list[str]] = {}
    for one in played.history.had:
        if one.router == "router00":
            states.setdefault(one.server, []).append(one.state)
    assert states["node001"] == ["removed"]
    assert states["node002"] == ["draining", "removed"]
    assert states["node003"] == ["removed", "up"]
    assert states["node004"] == ["removed"]
    assert states["node008"] == ["up"]
    assert states["node009"] == ["up"]
    assert not [at for at, _ in at_node(played, "node001") if at > 1.5]
    assert [one for _, one in at_node(played, "node002") if one.result == "busy"] or at_node(
        played, "node002"
    )
    assert at_node(played, "node009")
    assert report.exit_code == 0, report.broken[:3]


@pytest.mark.xdist_group("one day")
def test_overlapping_flush_scan_and_hot_caller_are_told_apart(
    run_with_node_faults: tuple[RunResult, Report],
) -> None:
    _, report = run_with_node_faults
    apart = report.body["told_apart"]
    assert apart["scan"]["asked"] > 10
    assert apart["scan"]["keys"] == apart["scan"]["asked"]
    assert apart["hot_caller"]["asked"] > 10
    assert len(apart["hot_caller"]["through"]) == 1
    assert apart["flush"]["copies_gone"] > 20
    assert apart["flush"]["misses_of_flushed"] > 5
    assert apart["misses"]["never"] > 5
    assert min(one.ended for one in report.attempts if one.missing == "flushed") >= 4.0
    assert {fate.request.source for fate in report.outcomes if fate.request.at < 4.0} == {"usual"}
    assert {"scan", "hot_caller"} <= set(report.body["windows"][1]["sources"])


def test_spoilt_answers_a_slow_and_absent_store_and_a_burst() -> None:
    played, report = rehearse(
        small(
            trouble("reset", 0.5, seconds=4.0, share=0.1, store=True)
            + trouble("garble", 0.5, seconds=4.0, share=0.1)
            + trouble("silence", 0.5, seconds=4.0, share=0.05)
            + trouble("origin_slow", 0.5, seconds=1.0, factor=8.0)
            + trouble("origin_down", 2.0, seconds=1.5)
            + trouble("burst", 1.0, seconds=2.0, factor=2.0)
            + trouble("discovery_late", 1.0, seconds=1.0, extra_s=1.0)
            + trouble("discovery_stale", 1.0, seconds=1.0)
            + trouble("discovery_down", 3.0, seconds=0.5)
            + "\n[store]\nread_ms = 20.0\n",
            length=5.0,
        )
    )
    spoilt = report.body["spoilt"]
    assert set(spoilt) == {"reset", "garble", "silence"}
    reached = [(at, one) for at, one in at_node(played, ORIGIN) if one.result not in ("gone", "open")]
    assert not [at for at, _ in reached if 2.1 < at < 3.4]
    assert [at for at, _ in reached if at > 3.6]
    slow = [one.ended - one.at for at, one in reached if 0.6 < at < 1.3 and one.result == "served"]
    assert sorted(slow)[len(slow) // 2] > 0.1  # 0.02 s without the fault; a busy machine only makes it more
    assert report.body["sources"]["burst"]["asked"] > 30
    assert report.exit_code == 0, report.broken[:3]


def test_late_stale_or_unreachable_discovery_delays_updates_by_its_fault() -> None:
    played, report = rehearse(
        small(
            trouble("discovery_late", 0.5, seconds=1.0, extra_s=1.5)
            + trouble("kill", 0.8, nodes=["node000"])
            + trouble("discovery_stale", 3.0, seconds=1.5, routers=1)
            + trouble("kill", 3.2, nodes=["node001"])
            + trouble("discovery_down", 5.0, seconds=1.2)
            + trouble("kill", 5.2, nodes=["node002"])
            + "\n[discovery]\nnotice_s = [0.1, 0.2]\n",
            length=7.0,
        )
    )

    def available_times(server: str) -> list[float]:
        return sorted(state.at - played.begun for state in played.history.had if state.server == server)

    late, stale, down = available_times("node000"), available_times("node001"), available_times("node002")
    assert len(late) == len(stale) == len(down) == 2
    assert late[0] >= 0.8 + 1.5 - 0.05  # a timer of the loop may fire early by its resolution
    assert stale[1] >= 4.45
    assert stale[0] < stale[1] - 0.5, "the other router's view is still updated"
    assert down[0] >= 6.15
    sent_times = [state.at - played.begun for state in played.history.told]
    assert not [at for at in sent_times if 5.1 < at < 6.15]
    assert report.exit_code == 0, report.broken[:3]


def children() -> set[str]:
    return set(Path(f"/proc/{os.getpid()}/task/{os.getpid()}/children").read_text().split())


def test_crashed_router_leaves_no_descriptor_process_or_folder(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    rehearse(small(length=1.0))  # opens what is opened only once in a process
    before, helpers = len(os.listdir("/proc/self/fd")), children()  # of another test's pool, if any
    played, _ = rehearse(small(length=4.0), f"exec {sys.executable} -m tests.crashing_router")
    assert [life.code for life in played.history.lives] == [7, 7]
    assert len(os.listdir("/proc/self/fd")) == before
    assert list(tmp_path.iterdir()) == []
    assert children() <= helpers


def test_routers_restart_gracefully_are_killed_and_reload_without_losing_requests() -> None:
    played, report = rehearse(
        small(
            trouble("router_reload", 0.5, routers=2)
            + trouble("drain", 2.5, nodes=["node000"], seconds=3.0)
            + trouble("router_restart", 1.5, routers=1, signal="TERM")
            + trouble("router_restart", 4.0, routers=1, signal="KILL")
            + "\n[discovery]\nnotice_s = [0.2, 0.4]\n[clients]\nfront_notice_s = [0.3, 0.5]\n",
            length=6.0,
        )
    )
    assert report.exit_code == 0, report.broken[:3]
    ends = [life.wanted for life in played.history.lives if life.exited is not None]
    assert ends.count("KILL") == 1
    assert ends.count("TERM") == 3  # one by the fault, and two at the end of the run
    assert all(life.code == 0 for life in played.history.lives if life.wanted == "TERM")
    routers_told = {
        one.router for one in played.history.told if one.server == "node000" and one.state == "draining"
    }
    assert routers_told == {"router00", "router01"}, "also at the discovery address of the new configuration"


def test_discovery_in_ask_mode_serves_routers() -> None:
    played, report = rehearse(
        small(
            trouble("cold_start", 0.5, nodes=1) + '\n[discovery]\nmode = "ask"\nnotice_s = [0.1, 0.2]\n',
            length=3.0,
        )
    )
    assert report.exit_code == 0, report.broken[:3]
    assert {one.router for one in played.history.told if one.server == "node006"} == {"router00", "router01"}


FRESH = small(
    trouble("cold_start", 1.0, nodes=1)
    + "\n[node]\ncold_share = 0.04\nwarm_s = 12.0\nfall_multiple = 2.0\nfall_s = 1.0\nspeed = [1.0, 1.0]\n"
    + "[discovery]\nnotice_s = [0.0, 0.1]\n",
    length=7.0,
    rate=50.0,
    nodes=4,
)


def test_only_a_router_without_slow_start_overloads_a_new_node(monkeypatch: pytest.MonkeyPatch) -> None:
    # In simulated time: on a busy machine the load that overloads the node may never be reached.
    scenario = read_scenario(FRESH, "fresh")
    assert play_seed(scenario, 1).broken == []
    monkeypatch.setattr(Clock, "monotonic", lambda _clock, _unix_ms: 0)  # hides how long a node has run
    naive = play_seed(scenario, 1)
    assert {one.rule for one in naive.broken} == {"felled"}
    assert any("node004" in one.text for one in naive.broken)


def test_stalled_emulator_marks_the_run_void() -> None:
    text = small(trouble("emulator_stall", 1.0, seconds=0.3)).replace("10000.0", "200.0")
    _, report = rehearse(text)
    assert "late once" in report.body["void"]
    assert report.exit_code == 3


def test_router_exit_is_a_crash_and_a_router_that_never_gets_ready_ends_the_run() -> None:
    _, report = rehearse(small(length=5.0), f"exec {sys.executable} -m tests.crashing_router")
    assert report.exit_code == 1
    assert any("ended by itself with code 7" in one.text for one in report.broken)
    with pytest.raises(HarnessError, match=r"router0\d did not get ready: no such luck"):
        rehearse(small(), "echo no such luck; exit 3")


# Processes that are left behind


@pytest.fixture
def process_mark() -> Iterator[str]:
    yield (mark := uuid.uuid4().hex)
    for pid in processes_with_mark(mark):
        os.kill(pid, signal.SIGKILL)


def processes_with_mark(mark: str) -> list[int]:
    """Return the processes, except this one, that have the mark in their environment."""
    pids = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit() and int(entry.name) != os.getpid():
            try:
                if mark.encode() in (entry / "environ").read_bytes():
                    pids.append(int(entry.name))
            except OSError:
                continue
    return pids


def start_command_line(mark: str, tmp_path: Path) -> subprocess.Popen[str]:
    """Start the command line, and return in the middle of its run: routers run, and clients send requests."""
    scenario = tmp_path / "day.toml"
    scenario.write_text(small(length=60.0))
    deploy = tmp_path / "deploy" / "balancer.toml"
    deploy.parent.mkdir()
    deploy.write_text(f'run = "cd {ROOT} && {ROUTER}"')
    words = ("rehearse", str(scenario), "--deploy", str(deploy), "--logs", str(tmp_path / "logs"))
    process = subprocess.Popen(
        [sys.executable, "-m", "holdgw", *words],
        env={**os.environ, "HOLDGW_TEST_MARK": mark},
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    due = time.monotonic() + LIMIT_S
    # The command line itself, at least three workers and two routers.
    while time.monotonic() < due and len(processes_with_mark(mark)) < 6:
        time.sleep(0.05)
    time.sleep(1.0)  # some time into the run; the tests do not depend on how much
    return process


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_sigint_and_sigterm_end_every_process(
    number: signal.Signals, process_mark: str, tmp_path: Path
) -> None:
    process = start_command_line(process_mark, tmp_path)
    process.send_signal(number)
    _, stderr = process.communicate(timeout=LIMIT_S)
    assert process.returncode == 130, stderr
    assert "every process that was started is ended" in stderr
    assert processes_with_mark(process_mark) == []


def test_killed_command_line_leaves_no_process(process_mark: str, tmp_path: Path) -> None:
    process = start_command_line(process_mark, tmp_path)
    process.kill()
    process.communicate(timeout=LIMIT_S)
    due = time.monotonic() + LIMIT_S
    while processes_with_mark(process_mark) and time.monotonic() < due:
        time.sleep(0.05)
    assert processes_with_mark(process_mark) == []


# The command line and the deploy file


def holdgw(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "holdgw", *words], capture_output=True, text=True, cwd=ROOT, timeout=LIMIT_S
    )


@pytest.mark.parametrize(
    ("words", "part"),
    [
        (("rehearse", "no-such"), "no-such"),
        (("rehearse", "quiet", "--for", "0"), "--for"),
        (("rehearse", "quiet", "--deploy", "nowhere/x.toml"), "nowhere/x.toml"),
        (("rehearse", "quiet", "--json", "nowhere/x.json"), "nowhere/x.json"),
    ],
)
def test_unusable_argument_is_reported_in_one_line_with_exit_code_2(
    words: tuple[str, ...], part: str
) -> None:
    done = holdgw(*words)
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert part in done.stderr


def test_command_line_plays_a_run_and_writes_its_report(tmp_path: Path) -> None:
    scenario = tmp_path / "day.toml"
    scenario.write_text(small(length=9.0))
    out, page = tmp_path / "out.json", tmp_path / "out.html"
    words = ("rehearse", str(scenario), "--for", "2", "--seed", "5", "--json", str(out), "--html", str(page))
    done = holdgw(*words, "--deploy", str(_deploy(tmp_path)))
    assert done.returncode == 0, done.stderr
    body = orjson.loads(out.read_bytes())
    assert (body["seed"], body["length_s"]) == (5, 2.0)
    assert "rules: lost 0, twice 0, late_drain 0, felled 0" in done.stdout
    assert "<svg" in page.read_text()


def _deploy(folder: Path) -> Path:
    path = folder / "deploy" / "balancer.toml"
    path.parent.mkdir()
    path.write_text(f'run = "cd {ROOT} && {ROUTER}"')
    return path


def test_deploy_file_without_a_run_command_names_the_field(tmp_path: Path) -> None:
    path = tmp_path / "d.toml"
    path.write_text("run = 5")
    with pytest.raises(DeployError, match=r"d\.toml: run"):
        run_command(path)
    path.write_text("run = ")
    with pytest.raises(DeployError, match=r"d\.toml"):
        run_command(path)


def test_grid_lines_are_at_round_values() -> None:
    assert [nice_step(most) for most in (0, 0.9, 4, 37, 1000)] == [1.0, 0.5, 1, 10, 500]


def test_emulators_listen_where_no_outgoing_connection_takes_their_port_while_they_are_closed() -> None:
    # Guards against an emulator that can't listen again at the end of its outage.
    orchestrators: list[Orchestrator] = []
    schedule = draw_schedule(read_scenario(small(length=1.0), "test"), 1)

    def progress(orchestrator: Orchestrator, _at: float) -> None:
        orchestrators[:] = [orchestrator]

    uvloop.run(asyncio.wait_for(play(schedule, ROUTER, ROOT, progress), LIMIT_S))
    (orchestrator,) = orchestrators
    by_link = [*orchestrator.addresses.values(), orchestrator.discovery]
    listening_ips = {ip for addresses in by_link for ip, _ in addresses.values()}
    with (
        socket.create_server((emulator_ip(), 0)) as server,
        socket.create_connection(server.getsockname()) as client,
    ):
        outgoing_ip = client.getsockname()[0]
    assert listening_ips == {emulator_ip()}
    assert outgoing_ip not in listening_ips


def test_address_that_is_already_reserved_is_not_returned_again() -> None:
    """A reserved port is free until its listener binds it, and the kernel may pick it a second time."""

    class Reserved(list[tuple[str, int]]):
        def __contains__(self, found: object) -> bool:
            self.append(found)  # type: ignore[arg-type]
            return len(self) < 3

    reserved = Reserved()
    assert free_address("127.0.0.1", taken=reserved) == reserved[-1]
    assert len(reserved) == 3
