"""The tool that overlays a variant's settings on the operators' site file."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from bench.site_variant import BESIDE, OVERLAYS, SITE, SiteError, lay_over, make

BASE = {
    "name": "first",
    "prices": {"waste": 0.04, "origin": 0.15},
    "tier": [{"name": "t", "kind": [{"name": "std", "cores": 1}], "conn": {"idle_s": 10, "cap": [1, 2]}}],
    "class": [
        {"name": "main", "share": 1, "effect": "safe"},
        {"name": "put", "share": 0.1, "effect": "keyed", "window_ms": 5000, "write": True},
    ],
}


def test_an_overlay_changes_the_named_settings_only() -> None:
    overlay = {
        "prices": {"waste": 0.1},
        "tier": [{"like": "t", "conn": {"idle_s": 60}}],
        "class": [{"like": "main", "name": "other", "effect": "keyed", "window_ms": 400}],
    }
    merged = lay_over(BASE, overlay)
    assert merged["name"] == "first"
    assert merged["prices"] == {"waste": 0.1, "origin": 0.15}
    assert merged["tier"] == [{**BASE["tier"][0], "conn": {"idle_s": 60, "cap": [1, 2]}}]  # type: ignore[index]
    assert merged["class"] == [{"name": "other", "share": 1, "effect": "keyed", "window_ms": 400}]


@pytest.mark.parametrize(
    ("overlay", "named"),
    [
        ({"price": {}}, "price"),
        ({"prices": {"wast": 1}}, "prices.wast"),
        ({"class": [{"like": "main", "windw_ms": 1}]}, "class.windw_ms"),
        ({"class": [{"like": "mian"}]}, "mian"),
        ({"tier": [{"like": "t", "conn": {"idle": 1}}]}, "tier.conn.idle"),
        ({"prices": 3}, "prices"),
    ],
)
def test_an_unknown_setting_is_refused_by_name(overlay: dict[str, object], named: str) -> None:
    with pytest.raises(SiteError, match=named):
        lay_over(BASE, overlay)


def test_a_missing_kit_is_reported_in_one_line(tmp_path: Path) -> None:
    with pytest.raises(SiteError, match="kit is not here") as error:
        make(OVERLAYS / "one-tenant.toml", tmp_path / "none", tmp_path / "made")
    assert "\n" not in str(error.value)


def test_the_site_file_is_written_beside_the_files_that_the_bench_needs(tmp_path: Path) -> None:
    kit, made = tmp_path / "kit", tmp_path / "made"
    kit.mkdir()
    for name in BESIDE:
        (kit / name).write_text(name)
    (kit / SITE).write_text('name = "first"\n[prices]\nwaste = 0.04\n')
    (tmp_path / "v.toml").write_text('name = "v"\n')
    path = make(tmp_path / "v.toml", kit, made)
    assert tomllib.loads(path.read_text()) == {"name": "v", "prices": {"waste": 0.04}}
    assert sorted(one.name for one in made.iterdir()) == sorted([*BESIDE, "v.toml"])
