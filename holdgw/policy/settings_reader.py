"""The settings in the simulator's form, read for the adapter and the real router alike."""

from __future__ import annotations

from typing import Any

from holdgw.policy import interface as api

_EFFECTS = {
    "retryable": api.Idempotency.IDEMPOTENT,
    "dedup": api.Idempotency.IDEMPOTENCY_KEY,
    "fragile": api.Idempotency.NOT_IDEMPOTENT,
}
_SIZED_WEIGHTS = ("nominal", "rough")
_WEIGHTS = (*_SIZED_WEIGHTS, "none", "live", None)
_MEMBERSHIP = ("automatic", "subscribe", None)
_MODES = ("aside", "through")
_TYPE_NAMES = {dict: "object", list: "array", str: "string", int: "integer", bool: "bool"}

Fields = dict[str, Any]


class WireFormatError(Exception):
    """Malformed input, with one plain line saying what was wrong."""


def typed(where: str, value: Any, kind: type) -> Any:
    """Return `value` if it is of the kind; a bool is no integer."""
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise WireFormatError(f"{where}: expected {_TYPE_NAMES[kind]}, got {type(value).__name__}")
    return value


def choice(where: str, table: dict[Any, Any], value: Any) -> Any:
    """Look a wire word up in its table."""
    try:
        return table[value]
    except (KeyError, TypeError):
        raise WireFormatError(f"{where}: unknown value {value!r}") from None


def _request_class(facts: Fields) -> api.RequestClass:
    return api.RequestClass(
        name=facts["name"],
        latency_objective_ns=facts["aimNs"],
        deadline_ns=facts["giveUpNs"],
        idempotency=choice("classes.semantics", _EFFECTS, facts["semantics"]),
        dedup_scope=api.DedupScope(facts.get("group") or "all"),
        dedup_window_ns=facts.get("dedupWindowNs") or 0,
        streamed=bool(facts.get("streamed")),
    )


def _unread(facts: Fields, mode: Any, kinds: list[str], origin: int) -> tuple[tuple[str, str], ...]:
    """Which parts of the decisions are off because a word says nothing here, with the reason."""
    found = []
    how = (facts.get("feedback") or {}).get("how", "answers")
    if mode not in _MODES:
        found.append(("origin", f"familyInfo.mode is {mode!r}"))
    elif mode == "aside" and not 0 <= origin < len(kinds):
        found.append(("origin", f"familyInfo.originKind is {origin}, which names none of the kinds"))
    if how != "answers":
        found.append(("load_reports", f"feedback.how is {how!r}, and nothing is probed"))
    if facts.get("weightKind") not in _WEIGHTS:
        found.append(("weights", f"weightKind is {facts['weightKind']!r}"))
    if facts.get("membershipMode") not in _MEMBERSHIP:
        found.append(("subscription", f"membershipMode is {facts['membershipMode']!r}, taken for automatic"))
    return tuple(found)


def read_settings(facts: Fields) -> api.Settings:
    """Read the settings; unknown keys are ignored and null counts as absent."""
    family = facts.get("familyInfo") or {}
    ceilings = facts.get("ceilings") or {}
    rules = facts.get("rules") or {}
    kinds: list[str] = facts.get("kinds") or []
    origin = -1 if family.get("originKind") is None else family["originKind"]
    aside = family.get("mode") == "aside"
    optional = {
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
    return api.Settings(
        classes=tuple(_request_class(entry) for entry in facts["classes"]),
        tenants=tuple(
            api.Tenant(entry["name"], entry["portion"], entry.get("quotaPerS") or 0.0)
            for entry in facts.get("tenants") or ()
        ),
        routers=facts.get("balancers") or 1,
        origin_kind=kinds[origin] if aside and 0 <= origin < len(kinds) else None,
        weights_state_capacity=facts.get("weightKind") in _SIZED_WEIGHTS,
        subscription_required=facts.get("membershipMode") == "subscribe",
        load_report_fields=tuple((facts.get("feedback") or {}).get("fields") or ()),
        gossip_allowed=bool(ceilings.get("peers")),
        unrecognized=_unread(facts, family.get("mode"), kinds, origin),
        **{key: value for key, value in optional.items() if value is not None},
    )
