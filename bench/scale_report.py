"""Summarizes a scale run's figures over its routers, converts them for JSON, and draws them."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

from bench.scale_plan import LAG_BOUNDS, FaultKind, ScaleScenario, Window

NS_PER_S = 1_000_000_000


class Distribution(NamedTuple):
    """The distribution of a figure over all routers."""

    least: float
    median: float
    p95: float
    most: float


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the value at a fraction of the sorted values (nearest rank)."""
    ordered = sorted(values)
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


def distribution(values: Iterable[float]) -> Distribution:
    """Summarize values of routers; raises ValueError if there are none."""
    ordered = sorted(values)
    if not ordered:
        raise ValueError("no routers to summarize")
    rounded = (
        round(value, 4) for value in (ordered[0], median(ordered), quantile(ordered, 0.95), ordered[-1])
    )
    return Distribution(*rounded)


def by_second(counts: Mapping[str, float], window: Window) -> list[float]:
    """Return a router's counts in each second of a window."""
    return [counts.get(str(second), 0.0) for second in range(window.since, window.until)]


class Cost(NamedTuple):
    """Distributions of a figure over all routers.

    `mean` and `worst` have each router's mean and highest value per second of a window.
    """

    mean: Distribution
    worst: Distribution


def cost(by_router: Iterable[Mapping[str, float]], window: Window, unit: float = 1.0) -> Cost:
    """Summarize what routers spent in a window, divided by `unit`."""
    rows = [by_second(counts, window) for counts in by_router]
    return Cost(
        distribution(sum(row) / len(row) / unit for row in rows),
        distribution(max(row) / unit for row in rows),
    )


class View(NamedTuple):
    """The quality of the load view in a window, over all routers.

    Ages are in seconds. `given_age` and `worst_age`: age of the median server's response time when the router
    receives a view, in the median and in the worst of the window's seconds. `held_age` and `oldest_age`: age
    of the median and of the oldest response time just before the next view, in the worst second. `servers`:
    the fewest servers in a view. `coverage`: the least fraction of living routers that a view rests on.
    """

    given_age: Distribution
    worst_age: Distribution
    held_age: Distribution
    oldest_age: Distribution
    servers: Distribution
    coverage: Distribution


def view(routers: Iterable[Mapping[str, Any]], window: Window, alive: int) -> View:
    """Summarize the views; a router's figure is the worst of the window's seconds, `given_age` the median.

    `alive` is the number of living routers.
    """
    rows = []
    for router in routers:
        readings = [reading for reading in router["seen"] if window.since <= reading[0] < window.until]
        if readings:
            rows.append(
                (
                    median(reading[2] for reading in readings),
                    max(reading[2] for reading in readings),
                    max(reading[3] for reading in readings),
                    max(reading[4] for reading in readings),
                    min(reading[1] for reading in readings),
                    min(reading[5] for reading in readings) / alive,
                )
            )
    return View(*(distribution(column) for column in zip(*rows, strict=True)))


class DeathDetection(NamedTuple):
    """Seconds from a death until the first and until all living routers hold the member to be gone.

    -1: not observed in the scenario.
    """

    deaths: int
    first_median: float
    all_median: float
    all_worst: float
    unlearnt: int
    """Deaths that not all routers had learnt of when the scenario ended."""


def death_detection(
    routers: Iterable[Mapping[str, Any]], death_times: Mapping[int, float], members: Collection[int]
) -> DeathDetection:
    """Summarize how fast the deaths of `members` were learnt of. `death_times`: second of death by number."""
    survivors = [router for router in routers if not router["dead"]]
    first, last, unlearnt = [], [], 0
    for number in members:
        learnt_at = [router["learnt"].get(str(number)) for router in survivors]
        delays = [at - death_times[number] for at in learnt_at if at is not None]
        if delays:
            first.append(min(delays))
        if len(delays) == len(survivors):
            last.append(max(delays))
        else:
            unlearnt += 1
    return DeathDetection(
        len(members),
        round(median(first), 2) if first else -1.0,
        round(median(last), 2) if last else -1.0,
        round(max(last), 2) if last else -1.0,
        unlearnt,
    )


def void_reasons(
    lags: Mapping[str, Sequence[float]], kernel_drop_count: int, unknown_senders: int, silent: int = 0
) -> list[str]:
    """Return why a run's figures are void because of the rig itself; empty if they are valid.

    `lags`: lag readings by process, seconds; `silent`: routers that sent nothing.
    """
    reasons = []
    for name, readings in lags.items():
        if not readings:
            reasons.append(f"{name}: no lag was read")
            continue
        p99, worst = quantile(readings, 0.99), max(readings)
        if p99 > LAG_BOUNDS.lag_p99:
            reasons.append(f"{name}: lag p99 {p99 * 1000:.0f} ms, bound {LAG_BOUNDS.lag_p99 * 1000:.0f}")
        if worst > LAG_BOUNDS.lag_worst:
            reasons.append(
                f"{name}: worst lag {worst * 1000:.0f} ms, bound {LAG_BOUNDS.lag_worst * 1000:.0f}"
            )
    if kernel_drop_count:
        reasons.append(f"{kernel_drop_count} datagrams dropped by full receive buffers")
    if silent:
        reasons.append(f"{silent} routers said nothing")
    if unknown_senders:
        reasons.append(f"{unknown_senders} datagrams from nobody of the run")
    return reasons


def kernel_drops(table: str, ips: Collection[str]) -> int:
    """Count the datagrams that sockets at these addresses dropped at full buffers.

    `table` is the text of /proc/net/udp.
    """
    wanted = {"".join(f"{int(part):02X}" for part in reversed(ip.split("."))) for ip in ips}
    rows = (row.split() for row in table.splitlines()[1:])
    return sum(int(row[-1]) for row in rows if row[1].split(":")[0] in wanted)


def summarize(
    scenario: ScaleScenario,
    hollow_reports: Sequence[Mapping[str, Any]],
    relay: Mapping[str, Any],
    death_times: Mapping[int, float],
    size: int,
) -> dict[str, Any]:
    """Return a scenario's figures by window and death, over the hollow routers that survived it."""
    survivors = [
        router for router in hollow_reports if not (router["dead"] or router["light"] or router["aggregator"])
    ]
    names = [str(router["number"]) for router in survivors]
    windows = {}
    for window in scenario.windows:
        dead = sum(at < window.until for number, at in death_times.items() if number < size)
        windows[window.name] = {
            "cpu_percent": cost((router["cpu_ns"] for router in survivors), window, NS_PER_S / 100),
            "bytes_said": cost((relay["said"].get(name, {}) for name in names), window),
            "bytes_heard": cost((relay["heard"].get(name, {}) for name in names), window),
            "bytes_both": cost((total_bytes(relay, name) for name in names), window),
            "view": view(survivors, window, size - dead),
            "aggregators": aggregator_figures(hollow_reports, relay, window),
        }
    faults = {step.label for step in scenario.steps if step.kind is FaultKind.KILL}
    deaths = {
        fault: death_detection(
            hollow_reports,
            death_times,
            [n for step in scenario.steps if step.label == fault for n in step.members],
        )
        for fault in sorted(faults)
    }
    return {"windows": windows, "learning": deaths}


def aggregator_figures(
    hollow_reports: Iterable[Mapping[str, Any]], relay: Mapping[str, Any], window: Window
) -> dict[str, Any]:
    """Return the cost of the aggregators that survived the scenario; empty if there are none."""
    survivors = [router for router in hollow_reports if router["aggregator"] and not router["dead"]]
    if not survivors:
        return {}
    names = [str(router["number"]) for router in survivors]
    return {
        "cpu_percent": cost((router["cpu_ns"] for router in survivors), window, NS_PER_S / 100),
        "bytes_both": cost((total_bytes(relay, name) for name in names), window),
    }


def total_bytes(relay: Mapping[str, Any], name: str) -> dict[str, float]:
    """Return the bytes that a router sent and received, by second."""
    sent, received = relay["said"].get(name, {}), relay["heard"].get(name, {})
    return {second: sent.get(second, 0) + received.get(second, 0) for second in {*sent, *received}}


def to_plain(value: Any) -> Any:
    """Convert named tuples into maps, for JSON."""
    if hasattr(value, "_asdict"):
        return {name: to_plain(item) for name, item in value._asdict().items()}
    if isinstance(value, Mapping):
        return {str(name): to_plain(item) for name, item in value.items()}
    if isinstance(value, list | tuple):
        return [to_plain(item) for item in value]
    return value


def mean_bytes_per_s(relay: Mapping[str, Any], name: str, window: Window) -> float:
    """Return the bytes per second that a router sent and received in a window, on average."""
    row = by_second(total_bytes(relay, name), window)
    return sum(row) / len(row)


def light_figures(
    hollow_reports: Iterable[Mapping[str, Any]], relay: Mapping[str, Any], window: Window, size: int
) -> dict[str, float]:
    """Return the medians over the hollow routers with the real routers' low rate; empty if there are none."""
    light = [router for router in hollow_reports if router["light"] and not router["dead"]]
    if not light:
        return {}
    load_view = view(light, window, size)
    return {
        "routers": len(light),
        "cpu_percent": cost((router["cpu_ns"] for router in light), window, NS_PER_S / 100).mean.median,
        "bytes_both": median(mean_bytes_per_s(relay, str(router["number"]), window) for router in light),
        "coverage": round(load_view.coverage.median * 100, 1),
    }


PANELS = (
    ("cpu_percent", "control, % of a core", 2.2),
    ("bytes_both", "bytes said and heard a second", 2000.0),
    ("given_age", "age of the median server's wait in the view, s", 2.0),
    ("coverage", "routers behind the view, % of those alive", 90.0),
)


def _points(runs: Sequence[Mapping[str, Any]], panel: str, window: str) -> list[tuple[int, float, float]]:
    """Return a point for each run that has the window: size, median and p95 over the routers.

    For coverage, the minimum takes the place of the p95, and values are in percent.
    """
    points = []
    for run in runs:
        figures = run["windows"].get(window)
        if figures is None:
            continue
        if panel in ("given_age", "coverage"):
            values = figures["view"][panel]
        else:
            values = figures[panel]["mean" if window == "calm" else "worst"]
        scale = 100.0 if panel == "coverage" else 1.0
        points.append(
            (run["size"], values["median"] * scale, values["least" if scale > 1 else "p95"] * scale)
        )
    return points


def draw_figure(runs: Mapping[str, Sequence[Mapping[str, Any]]], path: Path) -> None:
    """Draw each figure in a panel over the sizes; each set of runs has a colour, real routers are crosses."""
    import matplotlib as mpl

    mpl.use("svg")
    mpl.rcParams.update({"svg.hashsalt": "holdgw", "svg.fonttype": "none", "font.size": 8})
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(2, 2, figsize=(8.4, 6.0))
    for (panel, title, target), ax in zip(PANELS, axes.flat, strict=True):
        for colour, (name, series) in zip(("C3", "C0", "C2"), runs.items(), strict=False):
            for window, dash in (("calm", "-"), ("8 % die in 5 s", ":")):
                points = _points(series, panel, window)
                if points:
                    sizes, middle, edge = zip(*points, strict=True)
                    label = f"{name}, hollow, {'calm' if dash == '-' else 'worst second, 8 % dead'}"
                    ax.plot(sizes, middle, dash, color=colour, marker="o", markersize=3, label=label)
                    ax.plot(sizes, edge, dash, color=colour, marker="_", alpha=0.5, linewidth=0.8)
            real = [(run["size"], run["real"][panel]) for run in series if panel in (run.get("real") or {})]
            if real:
                ax.plot(*zip(*real, strict=True), "x", color=colour, markersize=7, label=f"{name}, real")
        ax.axhline(target, color="0.6", linewidth=0.8)
        ax.set_title(title, size=8)
        ax.set_ylim(bottom=0)
    axes[0][0].legend(fontsize=6)
    figure.supxlabel("routers; grey: the aim; thin: 95 of 100 routers (of coverage: the least)", size=8)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)
