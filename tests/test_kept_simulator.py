"""The simulator's frames: each kind of event read to stated values, of action written to the byte.

Frames are kept as hexadecimal text; events and actions are also given by their layout as literals.
"""

import io
import json
import struct
from pathlib import Path

import pytest

from whinpier.policy import model
from whinpier.policy.model import Request, Upstream, WireError
from whinpier.simhost import wire
from whinpier.simhost.__main__ import Process
from whinpier.simhost.instance import Instance

KEPT = Path("tests/data/kept").resolve()
SETTINGS = """balancers=1
discovery=automatic
limits.max_hand_offs=3
limits.second_copies=true
limits.cancelling=true
limits.retry_after=true
report.source=inline
report.columns=busy_reqs,pending,cpu_share,svc_ms,served_ps,failed_ps
rules.cold_us=10000000
workloads.count=2
workloads.0.name=charge
workloads.0.agreed_time_us=800000
workloads.0.patience_us=3000000
workloads.0.payoff=5.0
workloads.0.semantics=once
workloads.1.name=look
workloads.1.agreed_time_us=500000
workloads.1.patience_us=2000000
workloads.1.semantics=repeatable
zone=0
"""
NOW = 6_000_000_000  # nanoseconds


# What the tests know of the code.


def batches(data):
    source, found = io.BytesIO(data), []
    while (batch := wire.read_batch(source)) is not None:
        found.append(batch)
    return found


def events(data):
    return [
        [code, list(fields), rest.hex()]
        for number, count, _, body in batches(data)
        for code, fields, rest in wire.records(number, count, body)
    ]


def entries(rest, count):
    return wire.entries(rest, count)


def report(rest, count, columns):
    return wire.report(rest, count, columns)


def settings(text):
    return wire.settings(text)


def fault_of(call, *given):
    with pytest.raises(WireError) as caught:
        call(*given)
    return str(caught.value)


def read_whole(data):
    for number, count, _, body in batches(data):
        list(wire.records(number, count, body))


def replies(frames):
    process = Process()
    return [process.batch(*batch).hex() for frame in frames for batch in batches(frame)]


class Written:
    """What an instance writes, call by call."""

    def __init__(self):
        self.instance = Instance(3, 7, SETTINGS, NOW)
        self.request = Request(99, self.instance.request_classes[0], NOW, NOW + 10**9)
        self.upstream = Upstream(222, model.UpstreamState.READY, 0, 0, 0)
        self.instance.output.clear()

    def of(self, call, *given):
        call(*given)
        data = bytes(self.instance.output)
        self.instance.output.clear()
        return data.hex()

    def all(self):
        of, to = self.of, self.instance
        found = {
            "hand off": of(to.start_attempt, self.request, self.upstream, 7_000_001_000),
            "hand off without an end": of(to.start_attempt, self.request, self.upstream),
            "withdraw": of(to.cancel, self.request.attempts[1]),
            "alarm": of(to.set_timer, 6_000_000_001, 2),
            "probe": of(to.probe, self.upstream),
            "close idle": of(to.close_idle, self.upstream),
            "tell one": of(to.send_peer_message, 5, b"hello"),
            "tell all": of(to.send_peer_message, None, b"hello"),
            "follow": of(to.follow_endpoint_list, True),
            "follow no longer": of(to.follow_endpoint_list, False),
            "fetch": of(to.fetch_endpoint_list),
            "log": of(to.log, "a l\u00efne"),
            "turn back": of(to.reject, self.request, 250_001_000),
            "turn back without a wait": of(to.reject, self.request),
            "scrap": of(to.fail, self.request),
        }
        return found


# Events.


def record(code, fields):
    return struct.pack("<BI", code, len(fields)) + fields


def frame(number, now, *found):
    """A batch with the clock in microseconds."""
    body = b"".join(found)
    return struct.pack("<IIIQ", number, len(found), 8 + len(body), now) + body


def started(text=SETTINGS):
    return record(90, struct.pack("<IQI", 3, 7, len(text)) + text.encode())


ENTRIES = [(1, 222, 4, 11, 1.0, 5, 6), (2, 333, 0, 0, 2.5, 0, 0), (0, 444, 0, 0, 1.0, 0, 0)]
EVENTS = [
    (started("zone=0\n"), [90, [3, 7, 7], b"zone=0\n".hex()]),
    (
        record(10, struct.pack("<IIBIHQfHH", 2, 1, *ENTRIES[0])),
        [10, [2, 1], struct.pack("<BIHQfHH", *ENTRIES[0]).hex()],
    ),
    (record(100, struct.pack("<IBII", 3, 2, 1, 2)), [100, [3, 2, 1, 2], ""]),
    (
        record(50, struct.pack("<IIBQIQBI", 3, 99, 1, 2**40, 4, 9_000_000, 0, 1500)),
        [50, [3, 99, 1, 2**40, 4, 9_000_000, 0, 1500], ""],
    ),
    (record(80, struct.pack("<I", 3)), [80, [3], ""]),
    (record(40, struct.pack("<II", 3, 99)), [40, [3, 99], ""]),
    (record(20, struct.pack("<IHH", 3, 2, 2) + b"hi"), [20, [3, 2, 2], b"hi".hex()]),
    (record(60, struct.pack("<IQ", 3, 2)), [60, [3, 2], ""]),
    (
        record(
            70,
            struct.pack("<IIHIHIBB", 3, 99, 1, 222, 110, 1500, 1, 2) + struct.pack("<2f", 5.0, 0.5),
        ),
        [70, [3, 99, 1, 222, 110, 1500, 1, 2], struct.pack("<2f", 5.0, 0.5).hex()],
    ),
    (
        record(30, struct.pack("<IHIIB", 3, 5, 1400, 222, 1) + struct.pack("<f", 5.0)),
        [30, [3, 5, 1400, 222, 1], struct.pack("<f", 5.0).hex()],
    ),
    (record(110, struct.pack("<IIIHI", 3, 1, 2, 4, 5)), [110, [3, 1, 2, 4, 5], ""]),
]


@pytest.mark.parametrize("data, values", EVENTS, ids=lambda given: str(given[0]))
def test_an_event_is_read_to_the_stated_values(data, values):
    assert events(frame(1, 5, data)) == [values]


def test_events_of_one_frame_come_in_order_and_an_unknown_one_is_passed_over():
    data = frame(9, 5, *[data for data, _ in EVENTS], record(250, b"??"))
    assert events(data) == [values for _, values in EVENTS]
    number, count, now, body = batches(data)[0]
    assert (number, count, now, len(body)) == (9, 12, 5000, len(data) - 20)


def test_a_roster_a_report_and_settings_are_read_to_the_stated_values():
    packed = b"".join(struct.pack("<BIHQfHH", *entry) for entry in ENTRIES)
    assert entries(packed + b"more", 3) == ENTRIES
    packed = struct.pack("<3f", 1.5, -1.0, 2.5) + b"more"
    assert report(packed, 3, ["a", "b", "c"]) == {"a": 1.5, "c": 2.5}
    assert report(b"", 0, ["a"]) is None
    found = settings("a=1\nb_us=5\nc=true\nd=x=y\nnothing\ne=0.5\n")
    assert [found[key] for key in "abcde"] == [1, 5000, True, "x=y", 0.5]


def test_each_column_of_a_report_has_a_name_of_its_own_here():
    given = ["busy_reqs", "pending", "cpu_share", "svc_ms", "served_ps", "failed_ps"]
    found = settings("report.columns=" + ",".join(given))["report.columns"]
    assert len(set(found)) == 6 and not set(given) & set(found)


def test_states_and_outcomes_have_the_stated_numbers():
    assert wire.STATES == {
        0: model.UpstreamState.REMOVED,
        1: model.UpstreamState.READY,
        2: model.UpstreamState.DRAINING,
    }
    assert wire.OUTCOMES == {
        0: model.Outcome.SUCCEEDED,
        5: model.Outcome.FAILED,
        11: model.Outcome.OVERLOADED,
        104: model.Outcome.RESET,
        110: model.Outcome.TIMED_OUT,
        111: model.Outcome.CONNECT_FAILED,
        114: model.Outcome.NOT_SENT,
        125: model.Outcome.CANCELLED,
    }


@pytest.mark.parametrize(
    "data, said",
    [
        (b"\1\0", "batch header of 2 bytes, 20 expected"),
        (struct.pack("<IIIQ", 4, 0, 7, 0), "batch 4: length 7 does not even hold the clock"),
        (struct.pack("<IIIQ", 4, 0, 9, 0), "batch 4: 0 bytes of records, 1 announced"),
        (struct.pack("<IIIQ", 4, 1, 8, 0), "batch 4: record 0 of 1 is missing"),
        (
            frame(4, 0, record(80, b"\3\0\0\0"))[:-9]
            + record(80, b"\3\0\0\0")[:1]
            + b"\5"
            + bytes(7),
            "batch 4: record 0 (code 80) runs past the end",
        ),
        (frame(4, 0, record(60, b"\3\0")), "batch 4: record 0 (code 60) has 2 bytes, 12 expected"),
        (struct.pack("<IIIQ", 4, 0, 9, 0) + b"!", "batch 4: 1 bytes after the last record"),
    ],
)
def test_a_frame_that_cannot_be_read_is_refused_with_the_kept_words(data, said):
    assert fault_of(read_whole, data) == said


# Actions.


def action(code, form, *values, rest=b""):
    fields = struct.pack(form, *values) + rest
    return record(code, fields).hex()


ACTIONS = {
    "hand off": action(60, "<IIIQ", 3, 99, 222, 7_000_001),
    "hand off without an end": action(60, "<IIIQ", 3, 99, 222, 0),
    "withdraw": action(120, "<IIH", 3, 99, 1),
    "alarm": action(10, "<IQQ", 3, 2, 6_000_001),
    "probe": action(100, "<II", 3, 222),
    "close idle": action(30, "<II", 3, 222),
    "tell one": action(40, "<IIH", 3, 5, 5, rest=b"hello"),
    "tell all": action(40, "<IIH", 3, 0xFFFFFFFF, 5, rest=b"hello"),
    "follow": action(20, "<IB", 3, 1),
    "follow no longer": action(20, "<IB", 3, 0),
    "fetch": action(70, "<I", 3),
    "log": action(90, "<IH", 3, 7, rest=b"a l\xc3\xafne"),
    "turn back": action(80, "<III", 3, 99, 250_001),
    "turn back without a wait": action(80, "<III", 3, 99, 0),
    "scrap": action(110, "<II", 3, 99),
}


@pytest.mark.parametrize("name", ACTIONS)
def test_an_action_is_written_to_the_stated_bytes(name):
    assert Written().all()[name] == ACTIONS[name]


def test_every_action_is_stated():
    assert list(Written().all()) == list(ACTIONS)


def test_a_fault_of_an_event_is_written_as_the_fatal_action(capsys):
    text = b"ValueError: could not convert string to float: 'x'"
    body = action(50, "<IH", 3, len(text), rest=text)
    given = frame(8, 6_000_000, started(SETTINGS.replace("payoff=5.0", "payoff=x")))
    assert replies([given]) == [struct.pack("<III", 8, 1, len(body) // 2).hex() + body]


# Whole frames.


def story():
    """Frames of one instance: a list, requests, responses, a client that leaves, an end."""
    columns = struct.pack("<6f", 4.0, 1.0, 0.5, 20.0, 30.0, 0.0)

    def came(number, lane, bits=0):
        return record(50, struct.pack("<IIBQIQBI", 3, number, bits, 8, 1, 9_000_000, lane, 1500))

    def over(number, trial, reason, final, report=b""):
        return record(
            70,
            struct.pack("<IIHIHIBB", 3, number, trial, 222, reason, 1500, final, len(report) // 4)
            + report,
        )

    roster = struct.pack("<II", 2, 3) + b"".join(
        struct.pack("<BIHQfHH", *one)
        for one in ((1, 222, 0, 0, 1.0, 0, 0), (1, 333, 0, 0, 1.0, 0, 0), (2, 444, 1, 5, 2.0, 1, 1))
    )
    return [
        frame(1, 6_000_000, started()),
        frame(2, 6_000_010, record(10, roster), record(100, struct.pack("<IBII", 3, 2, 3, 2))),
        frame(3, 6_000_020, came(1, 0), came(2, 1), came(3, 0, 7), came(4, 9)),
        frame(4, 6_002_000, over(1, 0, 0, 1, columns), over(2, 0, 5, 0), over(3, 0, 111, 0)),
        frame(
            5,
            6_003_000,
            record(30, struct.pack("<IHIIB", 3, 0, 1400, 333, 6) + columns),
            record(20, struct.pack("<IHH", 3, 2, 2) + b"hi"),
            record(40, struct.pack("<II", 3, 2)),
        ),
        frame(
            6,
            6_500_000,
            record(60, struct.pack("<IQ", 3, 1)),
            record(60, struct.pack("<IQ", 3, 2)),
            record(110, struct.pack("<IIIHI", 3, 1, 2, 4, 5)),
            record(250, b"??"),
        ),
        frame(7, 8_999_000, over(3, 1, 110, 0), record(60, struct.pack("<IQ", 3, 2)), came(5, 0)),
        frame(8, 9_000_000, record(100, struct.pack("<IBII", 3, 3, 0, 9)), came(6, 1), came(7, 0)),
        frame(9, 9_100_000, record(80, struct.pack("<I", 3)), came(8, 0)),
    ]


def test_a_story_of_frames_has_the_kept_bytes_both_ways():
    frames = [one.hex() for one in story()]
    kept = json.loads((KEPT / "simulator.frames.json").read_text())
    assert [there for there, _ in kept] == frames
    assert replies(map(bytes.fromhex, frames)) == [back for _, back in kept]
