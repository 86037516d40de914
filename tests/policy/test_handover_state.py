"""Messages of an earlier version are read completely, and written again byte for byte.

During an upgrade processes of two versions run side by side. If a renamed field changed a message, the
new process would start without what the old one had learned, and flood the origin at its full limits.
"""

from __future__ import annotations

import msgspec

from holdgw.cores.messages import EndpointUpdatePart, decode_to_worker
from holdgw.operation.process_link import HandoverPart
from holdgw.policy import (
    Endpoint,
    EndpointHandover,
    EndpointsChanged,
    EndpointState,
    HandoverState,
    TenantHandover,
    UpdateKind,
)

HANDOVER_PART = bytes.fromhex(
    "82a474797065a96b6e6f776c65646765a66c6561726e7487a77365727665727381a763616368652d3186a66368616e63"
    "65cb3fe0000000000000a4646f776ec3a57368617265cb3fe8000000000000a3626164cb3fd0000000000000a4706163"
    "65cb413e848000000000aa757375616c5f6c6f6164cb3ff8000000000000a774656e616e747381a377656282a56c696d"
    "6974cb4029000000000000a563616c6c73929201c29202c3a4686561748107cb4008000000000000a5757361676581a3"
    "776562cb4000000000000000ab6f726967696e5f74696d65cb415312d000000000a57769647468cb4010000000000000"
    "a473656e74cb4024000000000000"
)
ENDPOINT_UPDATE_PART = bytes.fromhex(
    "83a474797065a66c6973746564a76c697374696e6783aa67656e65726174696f6e03a66368616e676582a46b696e64a5"
    "64656c7461a7736572766572739187a26964a763616368652d31a46b696e64a56361636865a57374617465a864726169"
    "6e696e67a6776569676874cb4000000000000000a77374617274656407a47a6f6e65a161a463656c6c01a96164647265"
    "7373657381a763616368652d3192a93132372e302e302e31cd18eba46d6f7265c2"
)
encode = msgspec.msgpack.Encoder().encode


def test_handover_state_of_an_earlier_version_is_read_whole() -> None:
    message = decode_to_worker(HANDOVER_PART)
    assert isinstance(message, HandoverPart)
    assert message.state == HandoverState(
        endpoints={
            "cache-1": EndpointHandover(
                admission_probability=0.5,
                ejected=True,
                slot_retention=0.75,
                failure_fraction=0.25,
                latency_ns=2e6,
                usual_in_flight=1.5,
            )
        },
        tenants={"web": TenantHandover(rate_limit=12.5, calls=((1, False), (2, True)))},
        slot_popularity={7: 3.0},
        tenant_usage={"web": 2.0},
        origin_latency_ns=5e6,
        write_concurrency_limit=4.0,
        cache_answers=10.0,
    )


def test_handover_state_is_written_as_an_earlier_version_wrote_it() -> None:
    assert encode(decode_to_worker(HANDOVER_PART)) == HANDOVER_PART


def test_endpoint_update_of_an_earlier_version_is_read_whole() -> None:
    message = decode_to_worker(ENDPOINT_UPDATE_PART)
    assert isinstance(message, EndpointUpdatePart)
    assert not message.more
    endpoint = Endpoint("cache-1", "cache", EndpointState.DRAINING, 2.0, started_ns=7, zone="a", cell=1)
    assert message.update.change == EndpointsChanged(UpdateKind.DELTA, (endpoint,))
    assert message.update.addresses == {"cache-1": ("127.0.0.1", 6379)}


def test_endpoint_update_is_written_as_an_earlier_version_wrote_it() -> None:
    assert encode(decode_to_worker(ENDPOINT_UPDATE_PART)) == ENDPOINT_UPDATE_PART
