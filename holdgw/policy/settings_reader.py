"""Reads the settings; only this module has their keys, as the simulator and the settings file write them."""

from __future__ import annotations

from typing import Any

from holdgw.policy.settings import DedupScope, Idempotency, RequestClass, Settings, Tenant

_IDEMPOTENCY_BY_WORD = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.IDEMPOTENCY_KEY,
    "fragile": Idempotency.NOT_IDEMPOTENT,
}
_CAPACITY_WEIGHT_KINDS = ("nominal", "rough")
_WEIGHT_KINDS = (*_CAPACITY_WEIGHT_KINDS, "none", "live", None)
_MEMBERSHIP_MODES = ("automatic", "subscribe", None)
_CACHE_ASIDE = "aside"
_FAMILY_MODES = (_CACHE_ASIDE, "through")
_TYPE_NAMES = {dict: "object", list: "array", str: "string", int: "integer", bool: "bool"}

Fields = dict[str, Any]
"""A decoded JSON object."""


class WireFormatError(Exception):
    """Malformed input; the message is a single line that states the error."""


def require_type(where: str, value: Any, kind: type) -> Any:
    """Return `value` if it has the type; a bool is not accepted as an integer.

    Raises:
        WireFormatError: it has another type; the message names `where`.
    """
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise WireFormatError(f"{where}: expected {_TYPE_NAMES[kind]}, got {type(value).__name__}")
    return value


def lookup_word(where: str, table: dict[Any, Any], word: Any) -> Any:
    """Return the table's value for a word of the wire format.

    Raises:
        WireFormatError: the table does not have the word; the message names `where`.
    """
    try:
        return table[word]
    except (KeyError, TypeError):
        raise WireFormatError(f"{where}: unknown value {word!r}") from None


def read_settings(facts: Fields) -> Settings:
    """Read the settings; unknown keys are ignored, and null counts as absent.

    Raises:
        KeyError, TypeError, ValueError: a required key is missing, or a value has the wrong type or range.
        WireFormatError: a request class names an unknown kind of idempotency.
    """
    family = facts.get("familyInfo") or {}
    ceilings = facts.get("ceilings") or {}
    return Settings(
        classes=tuple(_request_class(entry) for entry in facts["classes"]),
        tenants=tuple(
            Tenant(entry["name"], entry["portion"], entry.get("quotaPerS") or 0.0)
            for entry in facts.get("tenants") or ()
        ),
        routers=facts.get("balancers") or 1,
        origin_kind=_origin_kind(facts, family),
        weights_state_capacity=facts.get("weightKind") in _CAPACITY_WEIGHT_KINDS,
        subscription_required=facts.get("membershipMode") == "subscribe",
        load_report_fields=tuple((facts.get("feedback") or {}).get("fields") or ()),
        gossip_allowed=bool(ceilings.get("peers")),
        unrecognized=_unrecognized(facts, family),
        **_stated_options(ceilings, facts.get("rules") or {}),
    )


def _request_class(entry: Fields) -> RequestClass:
    return RequestClass(
        name=entry["name"],
        latency_objective_ns=entry["aimNs"],
        deadline_ns=entry["giveUpNs"],
        idempotency=lookup_word("classes.semantics", _IDEMPOTENCY_BY_WORD, entry["semantics"]),
        dedup_scope=DedupScope(entry.get("group") or "all"),
        dedup_window_ns=entry.get("dedupWindowNs") or 0,
        streamed=bool(entry.get("streamed")),
    )


def _stated_options(ceilings: Fields, rules: Fields) -> Fields:
    """Return the optional settings that are stated, by field of `Settings`; others keep their defaults."""
    options = {
        "poll_within_ns": rules.get("askWithinNs"),
        "warm_up_initial_weight": rules.get("coldShare"),
        "warm_up_ns": rules.get("coldNs"),
        "warm_up_overload_factor": rules.get("fallMultiple"),
        "warm_up_overload_window_ns": rules.get("fallNs"),
        "max_attempts": ceilings.get("mostTries"),
        "retry_after_allowed": ceilings.get("retryAfter"),
        "max_retry_after_ns": ceilings.get("maxRetryAfterNs"),
        "health_checks_allowed": ceilings.get("mayProbe"),
    }
    return {name: value for name, value in options.items() if value is not None}


def _origin_kind(facts: Fields, family: Fields) -> str | None:
    """Return the origin's machine kind; None: cache servers fetch by themselves, or the kind is unknown."""
    if family.get("mode") != _CACHE_ASIDE:
        return None
    kinds: list[str] = facts.get("kinds") or []
    index = _origin_index(family)
    return kinds[index] if 0 <= index < len(kinds) else None


def _origin_index(family: Fields) -> int:
    index: int | None = family.get("originKind")
    return -1 if index is None else index


def _unrecognized(facts: Fields, family: Fields) -> tuple[tuple[str, str], ...]:
    """Return the features that are disabled because of an unknown value, each with the reason."""
    unrecognized = []
    mode = family.get("mode")
    if mode not in _FAMILY_MODES:
        unrecognized.append(("origin", f"familyInfo.mode is {mode!r}"))
    elif mode == _CACHE_ASIDE and _origin_kind(facts, family) is None:
        index = _origin_index(family)
        unrecognized.append(("origin", f"familyInfo.originKind is {index}, which is not the index of a kind"))
    how = (facts.get("feedback") or {}).get("how", "answers")
    if how != "answers":
        unrecognized.append(("load_reports", f"feedback.how is {how!r}, and the router sends no probes"))
    if facts.get("weightKind") not in _WEIGHT_KINDS:
        unrecognized.append(("weights", f"weightKind is {facts['weightKind']!r}"))
    if facts.get("membershipMode") not in _MEMBERSHIP_MODES:
        unrecognized.append(
            ("subscription", f"membershipMode is {facts['membershipMode']!r}, treated as automatic")
        )
    return tuple(unrecognized)
