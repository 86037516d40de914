"""The decisions of holdgw, a router that distributes keys over cache servers in front of one slow origin."""

from holdgw.policy.actions import (
    Action,
    AttemptPurpose,
    CheckHealth,
    Fail,
    Reject,
    SendAttempt,
    SetTimer,
    Subscribe,
)
from holdgw.policy.disabled_features import disabled_features
from holdgw.policy.endpoints import Endpoint, EndpointsChanged, EndpointState, UpdateKind
from holdgw.policy.events import (
    AttemptEnded,
    CacheStatus,
    Event,
    HealthCheckEnded,
    LimitSharesChanged,
    LoadSnapshotChanged,
    Outcome,
    RequestArrived,
    RequestCancelled,
    StreamStarted,
    TimerFired,
)
from holdgw.policy.handover_state import EndpointHandover, HandoverState, TenantHandover
from holdgw.policy.routing_policy import RoutingPolicy
from holdgw.policy.settings import DedupScope, Idempotency, RequestClass, Settings, Tenant
from holdgw.policy.settings_reader import WireFormatError, read_settings, require_type
from holdgw.policy.units import NS_PER_S

__all__ = [
    "NS_PER_S",
    "Action",
    "AttemptEnded",
    "AttemptPurpose",
    "CacheStatus",
    "CheckHealth",
    "DedupScope",
    "Endpoint",
    "EndpointHandover",
    "EndpointState",
    "EndpointsChanged",
    "Event",
    "Fail",
    "HandoverState",
    "HealthCheckEnded",
    "Idempotency",
    "LimitSharesChanged",
    "LoadSnapshotChanged",
    "Outcome",
    "Reject",
    "RequestArrived",
    "RequestCancelled",
    "RequestClass",
    "RoutingPolicy",
    "SendAttempt",
    "SetTimer",
    "Settings",
    "StreamStarted",
    "Subscribe",
    "Tenant",
    "TenantHandover",
    "TimerFired",
    "UpdateKind",
    "WireFormatError",
    "disabled_features",
    "read_settings",
    "require_type",
]
