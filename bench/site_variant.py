"""Other deployments: an overlay (deploy/sites/NAME.toml) laid over the operators' site file.

`make sites` writes each one's whole site file to deploy/sites/made/, and the bench's names and key beside it.
An overlay holds what differs. A table in it replaces single settings; a list of tables (classes, tenants)
replaces the whole list, and an entry with `like = "NAME"` begins as a copy of the site's entry of that name.
A setting that the site file has nowhere in that place is refused with its name.
"""

from __future__ import annotations

import argparse
import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

ROOT = Path(__file__).resolve().parent.parent
KIT = ROOT.parent / "given" / "kit" / "sites"
SITE = "sofia-pkg-mirror.toml"
BESIDE = ("real.json", "wire.json", "unlock.txt")
OVERLAYS = ROOT / "deploy" / "sites"
MADE = OVERLAYS / "made"

Table = dict[str, Any]


class SiteError(Exception):
    """The variant can't be made; the text is one plain line."""


def _is_tables(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and all(isinstance(one, dict) for one in value)


def _entry(base: list[Table], overlay: Table, where: str) -> Table:
    """One entry of a list of tables: a copy of the one that it is like, with what differs."""
    like = overlay.get("like")
    named = [one for one in base if one.get("name") == like]
    if like is not None and not named:
        raise SiteError(f"{where}: the site file has none that is named {like!r}")
    known: Table = {}
    for one in base:  # what any of them has may be set
        known.update(one)
    changes = {key: value for key, value in overlay.items() if key != "like"}
    lay_over(known, changes, where)  # refuses what none has
    return lay_over(
        named[0] | {k: known[k] for k in changes if k not in named[0]} if named else {}, changes, where, known
    )


def lay_over(base: Table, overlay: Table, where: str = "", known: Table | None = None) -> Table:
    """The base with the overlay's settings; raises SiteError for one that is not among the known ones."""
    known = base if known is None else known
    found = dict(base)
    for key, value in overlay.items():
        name = f"{where}.{key}" if where else key
        if key not in known:
            raise SiteError(f"{name}: the site file has no such setting")
        there = known[key]
        if isinstance(value, dict) != isinstance(there, dict) or _is_tables(value) != _is_tables(there):
            raise SiteError(f"{name}: the site file has another kind of setting there")
        if isinstance(value, dict):
            found[key] = lay_over(base.get(key, {}), value, name, there)
        elif _is_tables(value):
            found[key] = [_entry(there, one, name) for one in value]
        else:
            found[key] = value
    return found


def make(overlay: Path, kit: Path = KIT, made: Path = MADE) -> Path:
    """Write one variant's site file, and beside it what the bench wants there; returns where it is."""
    site = kit / SITE
    if not site.is_file():
        raise SiteError(f"the operators' kit is not here: no {SITE} to lay {overlay.name} over")
    try:
        told = lay_over(tomllib.loads(site.read_text()), tomllib.loads(overlay.read_text()))
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SiteError(f"{overlay.name}: {error}") from None
    made.mkdir(parents=True, exist_ok=True)
    for name in BESIDE:
        shutil.copyfile(kit / name, made / name)
    path = made / overlay.name
    path.write_text(tomli_w.dumps(told))
    return path


def main() -> int:
    """Make all variants, or those named; returns 1 where one can't be made."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="overlays; all of them where none is named")
    names = parser.parse_args().names
    overlays = [OVERLAYS / f"{name}.toml" for name in names] or sorted(OVERLAYS.glob("*.toml"))
    try:
        for overlay in overlays:
            print(make(overlay).relative_to(ROOT))
    except SiteError as error:
        print(f"sites: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
