"""Tests that deferred work shares the event loop with what arrives meanwhile."""

import asyncio

import pytest

from whinpier.runtime import turn_queue
from whinpier.runtime.turn_queue import TurnQueue

pytestmark = pytest.mark.anyio


async def test_deferred_work_runs_in_turns_and_lets_others_run_between(monkeypatch):
    # Guards against a queue that works off all that is deferred in one iteration of the event loop.
    monkeypatch.setattr(turn_queue, "ROUND_NS", 0)
    turns, order = TurnQueue(), []

    def work(name, left):
        order.append(name)
        if left:
            turns.defer(lambda: work(name, left - 1))

    turns.defer(lambda: work("a", 2))
    turns.defer(lambda: work("b", 2))
    for _ in range(7):
        await asyncio.sleep(0)
        order.append("-")
    assert "".join(order).strip("-") == "a-b-a-b-a-b"


async def test_a_round_works_off_what_was_deferred_before_it_once():
    turns, order = TurnQueue(), []

    def again():
        order.append(len(order))
        if len(order) < 5:
            turns.defer(again)

    turns.defer(again)
    await asyncio.sleep(0)
    assert order == [0]
    for _ in range(5):
        await asyncio.sleep(0)
    assert order == [0, 1, 2, 3, 4]
    assert not turns.deferred


async def test_turns_of_one_iteration_share_its_time(monkeypatch):
    # Guards against an iteration that gives each of hundreds of connections a whole turn.
    turns = TurnQueue()
    monkeypatch.setattr(turn_queue, "ITERATION_NS", 0)
    assert turns.begin_turn().is_over()
    monkeypatch.setattr(turn_queue, "ITERATION_NS", 10**12)
    monkeypatch.setattr(turn_queue, "TURN_NS", 10**12)
    assert turns.begin_turn().is_over()
    await asyncio.sleep(0)
    assert not turns.begin_turn().is_over()
