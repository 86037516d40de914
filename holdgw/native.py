"""Compiles what every request passes through, by mypyc: `python -m holdgw.native`, which `build` does.

The result is a whole copy of the package in `.native/`, with an extension module beside each compiled source.
Whatever starts a router puts that folder before the sources (PYTHONPATH), so where there is no compiler, and
the folder is absent, the sources run as they are. Nothing compiled lies among the sources: an edit there is
never shadowed by what was compiled before it. The copy carries a digest of all it was made from.
"""

from __future__ import annotations

import compileall
import hashlib
import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path

COPY_FOLDER = ".native"
DIGEST_FILE = "digest"
MODULES = (
    "operation/metrics.py",
    "policy/actions.py",
    "policy/endpoint_health.py",
    "policy/endpoint_selection.py",
    "policy/endpoint_subscription.py",
    "policy/events.py",
    "policy/fetch_coalescing.py",
    "policy/hot_keys.py",
    "policy/load_reports.py",
    "policy/load_shedding.py",
    "policy/origin_concurrency.py",
    "policy/origin_limiter.py",
    "policy/pending_request.py",
    "policy/rejections.py",
    "policy/reported_response_time.py",
    "policy/retry_policy.py",
    "policy/routing_policy.py",
    "policy/settings.py",
    "policy/slot_demand.py",
    "policy/slot_loads.py",
    "policy/slot_rebalancing.py",
    "policy/slot_retention.py",
    "policy/slot_table.py",
    "policy/slow_start.py",
    "policy/tracked_endpoint.py",
    "policy/units.py",
    "policy/warm_up.py",
    "router/attempt.py",
    "router/cache_connection.py",
    "router/client_connection.py",
    "router/client_listener.py",
    "router/connection_close.py",
    "router/connection_pool.py",
    "router/dialing.py",
    "router/dispatcher.py",
    "router/endpoint_connection.py",
    "router/endpoint_pool.py",
    "router/error_answers.py",
    "router/event_loop_lag.py",
    "router/exchange.py",
    "router/exchange_owner.py",
    "router/health_check.py",
    "router/open_request.py",
    "router/origin_connection.py",
    "router/origin_protocol.py",
    "router/reply.py",
    "router/streamed_value.py",
    "router/timer_wheel.py",
    "wire/resp.py",
)
"""Compiled as one group, in which calls and fields need no look-up; they import each other mostly.

What msgspec encodes or decodes must not be compiled (`policy/endpoints.py`, `policy/handover_state.py`): of
an annotation like dict[str, EndpointHandover] mypyc keeps the dict alone, and msgspec returns plain dicts.
"""
COMPILE_TIMEOUT_S = 900.0  # a compile takes 40 s; a build may take 20 minutes
MAX_ERROR_CHARACTERS = 600  # characters of the compiler's words that are shown


class NativeError(Exception):
    """The modules can't be compiled here; the text says why."""


def _sources(root: Path) -> Iterator[Path]:
    return (
        path for path in sorted((root / "holdgw").rglob("*")) if path.suffix in (".py", ".typed", ".toml")
    )


def digest(root: Path) -> str:
    """What the copy depends on: every source's path and text, the Python and the compiler."""
    try:
        compiler = version("mypy")
    except PackageNotFoundError:
        compiler = "none"
    told = hashlib.blake2b(f"{sys.version} {compiler} {MODULES}".encode(), digest_size=16)
    for path in _sources(root):
        text = path.read_bytes()
        told.update(f"\0{path.relative_to(root)}\0{len(text)}\0".encode() + text)
    return told.hexdigest()


def digest_of_copy(root: Path) -> str:
    """The digest of what the compiled copy there was made from; empty where there is none."""
    try:
        return (root / COPY_FOLDER / DIGEST_FILE).read_text()
    except OSError:
        return ""


def build(root: Path) -> bool:
    """Make the compiled copy of `root`/holdgw anew, unless it is fresh; returns whether it was made.

    Raises NativeError, and leaves no copy then: an old one would run in place of newer sources.
    """
    wanted = digest(root)
    if digest_of_copy(root) == wanted:
        return False
    shutil.rmtree(root / COPY_FOLDER, ignore_errors=True)
    # An interrupted build would leave half a copy, so the copy gets its name only once it is complete. Of two
    # builds at once the later one finds the name taken.
    with tempfile.TemporaryDirectory(dir=root, prefix=f"{COPY_FOLDER}-") as name:
        made = Path(name) / "copy"
        for path in _sources(root):
            target = made / path.relative_to(root)
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(path, target)
        _compile(made)
        shutil.rmtree(made / "build", ignore_errors=True)
        shutil.rmtree(made / ".mypy_cache", ignore_errors=True)
        compileall.compile_dir(made, quiet=2, stripdir=str(made))
        (made / DIGEST_FILE).write_text(wanted)
        try:
            made.rename(root / COPY_FOLDER)
        except OSError:
            if digest_of_copy(root) != wanted:
                raise
    return True


def _compile(folder: Path) -> None:
    command = [sys.executable, "-m", "mypyc", "--strict", *(f"holdgw/{name}" for name in MODULES)]
    environment = {**os.environ, "MYPYPATH": "", "PYTHONPATH": ""}
    try:
        ran = subprocess.run(
            command,
            cwd=folder,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=COMPILE_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        raise NativeError(f"mypyc took more than {COMPILE_TIMEOUT_S:.0f} s") from None
    if ran.returncode:
        told = [line for line in ran.stdout.decode(errors="replace").splitlines() if "rror" in line]
        raise NativeError(f"mypyc ended with {ran.returncode}: {' / '.join(told)[-MAX_ERROR_CHARACTERS:]}")
    suffixes = (".so", ".pyd")
    for name in MODULES:
        stem = folder / "holdgw" / name.removesuffix(".py")
        if not any(path.suffix in suffixes for path in stem.parent.glob(f"{stem.name}.*")):
            raise NativeError(f"mypyc made nothing of {name}")


def main() -> int:
    """Build; returns 1 where it can't be done, with one line that says why."""
    root = Path(__file__).resolve().parent.parent
    try:
        build(root)
    except (NativeError, OSError) as error:
        print(f"holdgw: not compiled: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
