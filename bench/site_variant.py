"""Generates site files of other deployments from overlays (deploy/sites/NAME.toml) on the operators' one.

`make sites` writes the complete site file of each overlay to deploy/sites/made/, and copies the names and the
key that the bench expects next to it. An overlay holds only the settings that differ. A table replaces single
settings. A list of tables (classes, tenants) replaces the whole list; an entry with `like = "NAME"` starts as
a copy of the site file's entry of that name. A setting that the site file doesn't have at that place is
rejected, and the error names it.
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
KIT_SITES = ROOT.parent / "given" / "kit" / "sites"
BASE_SITE = "sofia-pkg-mirror.toml"
COPIED_FILES = ("real.json", "wire.json", "unlock.txt")
OVERLAYS = ROOT / "deploy" / "sites"
OUTPUT = OVERLAYS / "made"

Table = dict[str, Any]


class SiteError(Exception):
    """A variant can't be generated; the message is one line."""


def _is_tables(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and all(isinstance(item, dict) for item in value)


def _apply_to_entry(base: list[Table], overlay: Table, where: str) -> Table:
    """Return an entry of a list of tables: a copy of the entry that `like` names, with the changes."""
    like = overlay.get("like")
    matches = [entry for entry in base if entry.get("name") == like]
    if like is not None and not matches:
        raise SiteError(f"{where}: the site file has no entry named {like!r}")
    known: Table = {}
    for entry in base:  # a setting of any entry may be set in this one
        known.update(entry)
    changes = {key: value for key, value in overlay.items() if key != "like"}
    apply_overlay(known, changes, where)  # rejects settings that no entry has
    return apply_overlay(
        matches[0] | {key: known[key] for key in changes if key not in matches[0]} if matches else {},
        changes,
        where,
        known,
    )


def apply_overlay(base: Table, overlay: Table, where: str = "", known: Table | None = None) -> Table:
    """Return a copy of a table with the settings of an overlay.

    Args:
        base: The table of the site file.
        overlay: The settings that differ.
        where: Dotted name of the table for error messages; empty for the whole file.
        known: The settings that the overlay may set; those of `base` if None.

    Raises:
        SiteError: A setting isn't known, or is a table or a list of tables where the known one isn't, or the
            reverse, or a `like` names no entry.
    """
    known = base if known is None else known
    merged = dict(base)
    for key, value in overlay.items():
        name = f"{where}.{key}" if where else key
        if key not in known:
            raise SiteError(f"{name}: the site file has no such setting")
        present = known[key]
        if isinstance(value, dict) != isinstance(present, dict) or _is_tables(value) != _is_tables(present):
            raise SiteError(f"{name}: the site file has a setting of another kind here")
        if isinstance(value, dict):
            merged[key] = apply_overlay(base.get(key, {}), value, name, present)
        elif _is_tables(value):
            merged[key] = [_apply_to_entry(present, entry, name) for entry in value]
        else:
            merged[key] = value
    return merged


def write_variant(overlay: Path, kit: Path = KIT_SITES, made: Path = OUTPUT) -> Path:
    """Write one variant's site file and copy the files that the bench expects next to it.

    Args:
        overlay: The overlay file.
        kit: Folder of the operators' site file and of the files to copy.
        made: Folder to write to; it is created if missing.

    Returns:
        The path of the site file, which has the overlay's name.

    Raises:
        SiteError: The operators' site file is missing, or the overlay can't be read or applied.
    """
    site = kit / BASE_SITE
    if not site.is_file():
        raise SiteError(f"the operators' kit is not here: {BASE_SITE} is needed for {overlay.name}")
    try:
        merged = apply_overlay(tomllib.loads(site.read_text()), tomllib.loads(overlay.read_text()))
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SiteError(f"{overlay.name}: {error}") from None
    made.mkdir(parents=True, exist_ok=True)
    for name in COPIED_FILES:
        shutil.copyfile(kit / name, made / name)
    path = made / overlay.name
    path.write_text(tomli_w.dumps(merged))
    return path


def main() -> int:
    """Write all variants, or those named on the command line; return 1 if one can't be generated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="names of overlays without suffix; all of them by default")
    names = parser.parse_args().names
    overlays = [OVERLAYS / f"{name}.toml" for name in names] or sorted(OVERLAYS.glob("*.toml"))
    try:
        for overlay in overlays:
            print(write_variant(overlay).relative_to(ROOT))
    except SiteError as error:
        print(f"sites: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
