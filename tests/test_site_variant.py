"""Tests of the tool that applies overlays to the operators' site file."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from bench.site_variant import BASE_SITE, COPIED_FILES, OVERLAYS, SiteError, apply_overlay, write_variant

BASE = {
    "name": "first",
    "prices": {"waste": 0.04, "origin": 0.15},
    "tier": [{"name": "t", "kind": [{"name": "std", "cores": 1}], "conn": {"idle_s": 10, "cap": [1, 2]}}],
    "class": [
        {"name": "main", "share": 1, "effect": "safe"},
        {"name": "put", "share": 0.1, "effect": "keyed", "window_ms": 5000, "write": True},
    ],
}


def test_only_settings_of_the_overlay_differ() -> None:
    overlay = {
        "prices": {"waste": 0.1},
        "tier": [{"like": "t", "conn": {"idle_s": 60}}],
        "class": [{"like": "main", "name": "other", "effect": "keyed", "window_ms": 400}],
    }
    merged = apply_overlay(BASE, overlay)
    assert merged["name"] == "first"
    assert merged["prices"] == {"waste": 0.1, "origin": 0.15}
    assert merged["tier"] == [{**BASE["tier"][0], "conn": {"idle_s": 60, "cap": [1, 2]}}]  # type: ignore[index]
    assert merged["class"] == [{"name": "other", "share": 1, "effect": "keyed", "window_ms": 400}]


@pytest.mark.parametrize(
    ("overlay", "expected_name"),
    [
        ({"price": {}}, "price"),
        ({"prices": {"wast": 1}}, "prices.wast"),
        ({"class": [{"like": "main", "windw_ms": 1}]}, "class.windw_ms"),
        ({"class": [{"like": "mian"}]}, "mian"),
        ({"tier": [{"like": "t", "conn": {"idle": 1}}]}, "tier.conn.idle"),
        ({"prices": 3}, "prices"),
    ],
)
def test_settings_that_the_site_file_lacks_are_rejected_by_name(
    overlay: dict[str, object], expected_name: str
) -> None:
    with pytest.raises(SiteError, match=expected_name):
        apply_overlay(BASE, overlay)


def test_without_the_kit_the_error_is_one_line(tmp_path: Path) -> None:
    with pytest.raises(SiteError, match="kit is not here") as raised:
        write_variant(OVERLAYS / "one-tenant.toml", tmp_path / "none", tmp_path / "made")
    assert "\n" not in str(raised.value)


def test_the_site_file_is_written_next_to_the_files_that_the_bench_expects(tmp_path: Path) -> None:
    kit, made = tmp_path / "kit", tmp_path / "made"
    kit.mkdir()
    for name in COPIED_FILES:
        (kit / name).write_text(name)
    (kit / BASE_SITE).write_text('name = "first"\n[prices]\nwaste = 0.04\n')
    (tmp_path / "v.toml").write_text('name = "v"\n')
    path = write_variant(tmp_path / "v.toml", kit, made)
    assert tomllib.loads(path.read_text()) == {"name": "v", "prices": {"waste": 0.04}}
    assert sorted(file.name for file in made.iterdir()) == sorted([*COPIED_FILES, "v.toml"])
