"""Messages between processes of one router keep their encoding: the other process may be an earlier version.

Two versions run side by side during a takeover. If a field or a tag were encoded under another name, the
other process would close the link on a malformed message, or use a default in place of the value sent.
"""

from __future__ import annotations

import msgspec
import pytest

from holdgw.cores import messages
from holdgw.operation import process_link, takeover
from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.policy import (
    Endpoint,
    EndpointHandover,
    EndpointsChanged,
    EndpointState,
    HandoverState,
    TenantHandover,
    UpdateKind,
)

# The messages as an earlier version encoded them.
HANDOVER_PART = bytes.fromhex(
    "82a474797065a96b6e6f776c65646765a66c6561726e7487a77365727665727381a763616368652d3186a663"
    "68616e6365cb3fe0000000000000a4646f776ec3a57368617265cb3fe8000000000000a3626164cb3fd00000"
    "00000000a470616365cb413e848000000000aa757375616c5f6c6f6164cb3ff8000000000000a774656e616e"
    "747381a377656282a56c696d6974cb4029000000000000a563616c6c73929201c29202c3a4686561748107cb"
    "4008000000000000a5757361676581a3776562cb4000000000000000ab6f726967696e5f74696d65cb415312"
    "d000000000a57769647468cb4010000000000000a473656e74cb4024000000000000"
)
HELLO = bytes.fromhex("82a474797065a568656c6c6fa776657273696f6e01")
OVERRIDE_LIST = bytes.fromhex("83a474797065a46f757473a776657273696f6e01a573696e636581a763616368652d3105")
OVERRIDE_CHANGED = bytes.fromhex("84a474797065a468616e64a6736572766572a763616368652d31a36f7574c3a2617405")
READY = bytes.fromhex("81a474797065a57265616479")
CLIENT_HANDOVER = bytes.fromhex(
    "85a474797065a6636c69656e74a468656c64c403474554a561736b6564c3a6776169746564cb3fe000000000"
    "0000a573696e636509"
)
ENDPOINT_UPDATE_PART = bytes.fromhex(
    "83a474797065a66c6973746564a76c697374696e6783aa67656e65726174696f6e03a66368616e676582a46b"
    "696e64a564656c7461a7736572766572739187a26964a763616368652d31a46b696e64a56361636865a57374"
    "617465a8647261696e696e67a6776569676874cb4000000000000000a77374617274656407a47a6f6e65a161"
    "a463656c6c01a961646472657373657381a763616368652d3192a93132372e302e302e31cd18eba46d6f7265"
    "c2"
)
LIMIT_SHARES = bytes.fromhex(
    "83a474797065a6736861726573a66e756d62657202a673686172657381a3776562cb3fe0000000000000"
)
NEW_CLIENT = bytes.fromhex("82a474797065a56672657368a573696e636509")
HAND_OVER = bytes.fromhex("81a474797065a868616e646f766572")
SERVING = bytes.fromhex("81a474797065a773657276696e67")
CLIENTS_ACCEPTED = bytes.fromhex("82a474797065a4746f6f6ba56465616c7403")
WORKER_REPORT = bytes.fromhex(
    "88a474797065a76163636f756e74a9636f6e6e656374656401a673686172657302a764656d616e647381a377"
    "6562cb3ff0000000000000a7726573756c747381a5666574636893010203a8666f72776172647304ab6f7574"
    "7374616e64696e6705a761766f6964656491a763616368652d31"
)


STATE = HandoverState(
    endpoints={"cache-1": EndpointHandover(0.5, True, 0.75, 0.25, 2e6, 1.5)},
    tenants={"web": TenantHandover(12.5, ((1, False), (2, True)))},
    slot_popularity={7: 3.0},
    tenant_usage={"web": 2.0},
    origin_latency_ns=5e6,
    write_concurrency_limit=4.0,
    cache_answers=10.0,
)
ENDPOINT = Endpoint("cache-1", "cache", EndpointState.DRAINING, 2.0, 7, "a", 1)
UPDATE = EndpointUpdate(3, EndpointsChanged(UpdateKind.DELTA, (ENDPOINT,)), {"cache-1": ("127.0.0.1", 6379)})

BETWEEN_VERSIONS = [
    (HANDOVER_PART, process_link.HandoverPart(state=STATE)),
    (HELLO, takeover.Hello(version=1)),
    (OVERRIDE_LIST, takeover.OverrideList(version=1, since_ns={"cache-1": 5})),
    (OVERRIDE_CHANGED, takeover.OverrideChanged(endpoint_id="cache-1", overridden=True, at_ns=5)),
    (READY, takeover.Ready()),
    (
        CLIENT_HANDOVER,
        process_link.ClientHandover(
            pending_bytes=b"GET", has_sent_command=True, waited_s=0.5, unread_since_ns=9
        ),
    ),
]
TO_WORKER = [
    (ENDPOINT_UPDATE_PART, messages.EndpointUpdatePart(update=UPDATE, more=False)),
    (LIMIT_SHARES, messages.LimitShares(number=2, shares={"web": 0.5})),
    (NEW_CLIENT, messages.NewClient(accepted_ns=9)),
    (HAND_OVER, messages.HandOver()),
]
TO_SUPERVISOR = [
    (SERVING, messages.Serving()),
    (CLIENTS_ACCEPTED, messages.ClientsAccepted(accepted=3)),
    (
        WORKER_REPORT,
        messages.WorkerReport(
            connected=1,
            shares_number=2,
            demands={"web": 1.0},
            results={"fetch": [1, 2, 3]},
            forwards=4,
            outstanding=5,
            ejected=["cache-1"],
        ),
    ),
]


@pytest.mark.parametrize(("data", "message"), BETWEEN_VERSIONS)
def test_a_message_of_a_takeover_is_decoded_from_and_encoded_to_the_earlier_bytes(
    data: bytes, message: takeover.Message
) -> None:
    assert takeover.decode(data) == message
    assert process_link.encode(message) == data


@pytest.mark.parametrize(("data", "message"), TO_WORKER)
def test_a_message_to_a_worker_is_decoded_from_and_encoded_to_the_earlier_bytes(
    data: bytes, message: messages.ToWorker
) -> None:
    assert messages.decode_to_worker(data) == message
    assert process_link.encode(message) == data


@pytest.mark.parametrize(("data", "message"), TO_SUPERVISOR)
def test_a_message_to_the_supervisor_is_decoded_from_and_encoded_to_the_earlier_bytes(
    data: bytes, message: messages.ToSupervisor
) -> None:
    assert messages.decode_to_supervisor(data) == message
    assert process_link.encode(message) == data


def test_a_client_handover_of_a_version_without_the_unread_time_is_decoded() -> None:
    fields = {"type": "client", "held": b"", "asked": False, "waited": 1.5}
    message = takeover.decode(msgspec.msgpack.encode(fields))
    assert message == process_link.ClientHandover(b"", False, 1.5, unread_since_ns=0)
