"""The simulator adapter: replies to batches of events, and errors for malformed input."""

import io
import struct
import sys

import pytest

from whinpier.policy.model import WireError
from whinpier.policy.rate_gossip import PeerRates
from whinpier.simhost import wire
from whinpier.simhost.__main__ import Process, main

SETTINGS = """balancers=1
discovery=automatic
limits.max_hand_offs=3
later.setting=kept
workloads.count=1
workloads.0.agreed_time_us=800000
workloads.0.patience_us=3000000
workloads.0.payoff=5.0
workloads.0.semantics=once
zone=0
"""


def record(code: int, fields: bytes) -> bytes:
    return struct.pack("<BI", code, len(fields)) + fields


def up(settings: str = SETTINGS) -> bytes:
    text = settings.encode()
    return record(90, struct.pack("<IQI", 3, 7, len(text)) + text)


def actions(reply: bytes) -> list[tuple[int, bytes]]:
    _, count, length = struct.unpack_from("<III", reply)
    at = 12
    found = []
    for _ in range(count):
        code, size = struct.unpack_from("<BI", reply, at)
        found.append((code, reply[at + 5 : at + 5 + size]))
        at += 5 + size
    assert at == 12 + length
    return found


def test_a_request_goes_to_the_upstream_of_the_last_roster_sent_under_its_number():
    replaced = struct.pack("<IIBIHQfHH", 2, 1, 1, 111, 0, 0, 1.0, 0, 0)
    ready = struct.pack("<IIBIHQfHH", 2, 1, 1, 222, 0, 0, 1.0, 0, 0)
    targets = record(100, struct.pack("<IBII", 3, wire.SCOPE_FULL, 1, 2))
    request = record(50, struct.pack("<IIBQIQBI", 3, 99, 0, 0, 0, 9_000_000, 0, 0))
    unknown = record(250, b"??")  # an event of an unknown code is skipped
    body = up() + record(10, replaced) + targets + unknown + record(10, ready) + targets + request
    sent = [
        fields for code, fields in actions(Process().batch(1, 7, 6_000_000_000, body)) if code == 60
    ]
    assert [struct.unpack("<IIIQ", fields)[:3] for fields in sent] == [(3, 99, 222)]


@pytest.mark.parametrize(
    "body, count, text",
    [
        (up()[:-4], 1, "runs past the end"),
        (up(), 2, "is missing"),
        (up() + b"!", 1, "after the last record"),
        (record(60, b"\x03\x00"), 1, "expected"),
        (
            up(SETTINGS.replace("workloads.0.patience_us", "other")),
            1,
            "workloads.0.patience is missing",
        ),
    ],
)
def test_malformed_input_raises_an_error_that_says_what_is_wrong(body, count, text):
    with pytest.raises(WireError, match=text):
        Process().batch(1, count, 0, body)


@pytest.mark.parametrize(
    "given, code", [(b"", 0), (b"\x01\x00", 1), (struct.pack("<IIIQ", 1, 0, 8, 5), 0)]
)
def test_end_of_input_exits_normally_but_a_truncated_batch_is_an_error(
    monkeypatch, capsysbinary, given, code
):
    monkeypatch.setattr(sys, "stdin", io.TextIOWrapper(io.BytesIO(given)))
    assert main() == code
    assert bool(capsysbinary.readouterr().err) == bool(code)


def test_negative_and_nan_values_are_left_out_of_a_load_report():
    packed = struct.pack("<3f", float("nan"), -1.0, 4.0)
    assert wire.report(packed, 3, ["waiting", "service_ms", "scrapped_rate"]) == {
        "scrapped_rate": 4.0
    }


def test_probe_results_and_peer_messages_reach_the_policy_and_invalid_ones_are_ignored():
    settings = SETTINGS.replace("balancers=1", "balancers=4").replace("automatic", "subscribe") + (
        "limits.peers=true\nlimits.probes=true\nreport.source=on_probe\nreport.columns=busy_reqs,cpu_share\n"
    )
    ready = struct.pack("<IIBIHQfHH", 2, 1, 1, 222, 0, 0, 1.0, 0, 0)
    body = (
        up(settings)
        + record(10, ready)
        + record(100, struct.pack("<IBII", 3, wire.SCOPE_CACHED, 1, 2))
    )
    # Upstream 333 is not listed; the last report is empty.
    for upstream, columns in ((222, 2), (333, 2), (222, 0)):
        load = struct.pack(f"<{columns}f", *(5.0, 1.0)[:columns])
        body += record(30, struct.pack("<IHIIB", 3, 0, 1400, upstream, columns) + load)
    for contents in (PeerRates.pack(30.0), b"hi"):
        body += record(20, struct.pack("<IHH", 3, 2, len(contents)) + contents)
    body += record(100, struct.pack("<IBII", 3, wire.SCOPE_FAILED, 0, 0))
    process = Process()
    process.batch(1, 9, 6_000_000_000, body)
    policy = process.instances[3].policy
    assert process.instances[3].known[222].statistics.reported_in_flight == 5.0
    assert [rate for _, rate in policy.selector.peer_rates.received.values()] == [
        30.0
    ] and policy.selector.peer_rates.invalid_messages == 1
