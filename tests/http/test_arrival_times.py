"""Tests how the age of what was read is found, and which read a byte came with."""

import socket
import time

import pytest

from whinpier.http import arrival_times
from whinpier.http.arrival_times import (
    MAX_FAILURES,
    MAX_READS,
    SO_TIMESTAMPNS,
    TIMESPEC,
    ArrivalTimes,
    Stamps,
)
from whinpier.policy.decaying_sum import SECOND


def stamp(seconds_ago):
    at = time.time_ns() - int(seconds_ago * SECOND)
    return [(socket.SOL_SOCKET, SO_TIMESTAMPNS, TIMESPEC.pack(at // SECOND, at % SECOND))]


def test_age_is_that_of_the_stamp():
    assert 0.5 <= arrival_times.age(stamp(0.5)) / SECOND < 0.7


@pytest.mark.parametrize("seconds_ago", [-3600, -2, 3600])
def test_a_wall_clock_that_was_stepped_makes_nothing_old(seconds_ago):
    assert arrival_times.age(stamp(seconds_ago)) == 0


def test_nothing_is_old_without_a_stamp():
    assert arrival_times.age([]) == 0


def test_a_byte_arrived_with_the_read_that_brought_it():
    times = ArrivalTimes()
    for arrived_at in (10, 20, 30):
        times.add(100, arrived_at)
    assert [times.at(unparsed) for unparsed in (250, 200, 150, 100, 0)] == [10, 10, 20, 20, 30]


def test_of_many_reads_the_earliest_time_holds():
    # Guards against a table that grows with reads of a byte.
    times = ArrivalTimes()
    for number in range(10 * MAX_READS):
        times.add(1, number)
    assert len(times.reads) == MAX_READS
    assert times.at(0) == MAX_READS - 1


@pytest.mark.parametrize("fault", [OSError(38, "not implemented"), BlockingIOError(), 0])
def test_reading_goes_on_without_stamps_where_the_system_has_none(fault, monkeypatch):
    # Guards against clients that are never read, or closed, where a call is not supported.
    def receive_stamped(*_):
        if fault:
            raise fault
        return 0, [], 0, None

    monkeypatch.setattr(socket.socket, "recvmsg_into", receive_stamped)
    monkeypatch.setattr(Stamps, "is_enabled", True)
    here, there = socket.socketpair()
    with here, there:
        for _ in range(MAX_FAILURES + 1):
            there.sendall(b"data")
            assert arrival_times.receive(here, 100) == (b"data", 0)
        there.close()
        assert arrival_times.receive(here, 100) == (b"", 0)
    assert not Stamps.is_enabled
