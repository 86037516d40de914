"""Compiles the modules on the request path with mypyc: `python -m holdgw.native`, run by deployments' builds.

The result is a copy of the whole package in `.native/`, with an extension module beside each compiled source.
Commands that start a router put this folder before the sources in PYTHONPATH, so the sources run uncompiled
where there is no compiler and the folder is absent. No compiled module lies among the sources, where it would
shadow later edits of its source. The copy holds a digest of everything that it was compiled from.
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
    "router/begun_value.py",
    "router/cache_connection.py",
    "router/client_connection.py",
    "router/client_input.py",
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
    "router/idle_connections.py",
    "router/input_account.py",
    "router/input_scheduler.py",
    "router/open_request.py",
    "router/memory_budget.py",
    "router/origin_connection.py",
    "router/origin_protocol.py",
    "router/recent_ids.py",
    "router/reply.py",
    "router/request_memory.py",
    "router/streamed_value.py",
    "router/stall_log.py",
    "router/timer_wheel.py",
    "router/turn_budget.py",
    "router/turn_share.py",
    "router/value_resumption.py",
    "router/write_progress.py",
    "wire/resp.py",
)
"""Compiled as one group, in which calls and field accesses need no lookup, as most import each other.

Classes that msgspec encodes or decodes must not be compiled (`policy/endpoints.py`,
`policy/handover_state.py`): mypyc reduces an annotation such as dict[str, EndpointHandover] to dict, and
msgspec then returns plain dicts.
"""
COMPILE_TIMEOUT_S = 900.0  # a compilation takes 40 s; by DEPLOY a deployment's build may take 20 minutes
MAX_ERROR_CHARACTERS = 600  # of the compiler's output in an error message


class NativeError(Exception):
    """The modules can't be compiled; the text gives the reason."""


def _sources(root: Path) -> Iterator[Path]:
    return (
        path for path in sorted((root / "holdgw").rglob("*")) if path.suffix in (".py", ".typed", ".toml")
    )


def digest(root: Path) -> str:
    """Return a digest of what the copy depends on: the sources' paths and texts, Python and the compiler."""
    try:
        compiler = version("mypy")
    except PackageNotFoundError:
        compiler = "none"
    digester = hashlib.blake2b(f"{sys.version} {compiler} {MODULES}".encode(), digest_size=16)
    for path in _sources(root):
        text = path.read_bytes()
        digester.update(f"\0{path.relative_to(root)}\0{len(text)}\0".encode() + text)
    return digester.hexdigest()


def digest_of_copy(root: Path) -> str:
    """The digest that the compiled copy under `root` holds; empty if there is no copy."""
    try:
        return (root / COPY_FOLDER / DIGEST_FILE).read_text()
    except OSError:
        return ""


def build(root: Path) -> bool:
    """Rebuild the compiled copy of `root`/holdgw unless it is up to date; returns whether it was rebuilt.

    Raises NativeError, and leaves no copy then, as an outdated copy would run in place of newer sources.
    """
    current = digest(root)
    if digest_of_copy(root) == current:
        return False
    shutil.rmtree(root / COPY_FOLDER, ignore_errors=True)
    # An interrupted build must not leave an incomplete copy, so the copy is renamed to its final name once it
    # is complete. Of two concurrent builds, the later one finds that name taken.
    with tempfile.TemporaryDirectory(dir=root, prefix=f"{COPY_FOLDER}-") as name:
        copy = Path(name) / "copy"
        for path in _sources(root):
            target = copy / path.relative_to(root)
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(path, target)
        _compile(copy)
        shutil.rmtree(copy / "build", ignore_errors=True)
        shutil.rmtree(copy / ".mypy_cache", ignore_errors=True)
        compileall.compile_dir(copy, quiet=2, stripdir=str(copy))
        (copy / DIGEST_FILE).write_text(current)
        try:
            copy.rename(root / COPY_FOLDER)
        except OSError:
            if digest_of_copy(root) != current:
                raise
    return True


def _compile(folder: Path) -> None:
    command = [sys.executable, "-m", "mypyc", "--strict", *(f"holdgw/{name}" for name in MODULES)]
    environment = {**os.environ, "MYPYPATH": "", "PYTHONPATH": ""}
    try:
        completed = subprocess.run(
            command,
            cwd=folder,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=COMPILE_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        raise NativeError(f"mypyc took longer than {COMPILE_TIMEOUT_S:.0f} s") from None
    if completed.returncode:
        errors = [line for line in completed.stdout.decode(errors="replace").splitlines() if "rror" in line]
        raise NativeError(
            f"mypyc ended with {completed.returncode}: {' / '.join(errors)[-MAX_ERROR_CHARACTERS:]}"
        )
    suffixes = (".so", ".pyd")
    for name in MODULES:
        stem = folder / "holdgw" / name.removesuffix(".py")
        if not any(path.suffix in suffixes for path in stem.parent.glob(f"{stem.name}.*")):
            raise NativeError(f"mypyc produced no extension module for {name}")


def main() -> int:
    """Build the compiled copy; returns 1, after printing one line with the reason, if that fails."""
    root = Path(__file__).resolve().parent.parent
    try:
        build(root)
    except (NativeError, OSError) as error:
        print(f"holdgw: not compiled: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
