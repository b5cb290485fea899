"""The control socket's requests and answers as they stand, byte for byte: stories played again.

`data/kept/control.json` holds three: of a process with all that a fleet has, of one with nothing of
it, of one whose record has not begun. Each step waits so long, asks one line, and has its answer.
"""

import json

import pytest

from tests.kept_control_stage import Stage, kept

STORIES = kept("control.json")
STEPS = [(story, number) for story, steps in STORIES.items() for number in range(len(steps))]
ASKS = {
    "members",
    "links",
    "limits",
    "figures",
    "watch",
    "strike",
    "begin",
    "register",
    "say",
    "command",
    "file",
    "has",
    "history",
    "outcome",
    "permits",
    "put",
    "read",
    "recover",
    "status",
    "voters",
    "verdicts",
}


@pytest.fixture
def stage(monkeypatch, tmp_path):
    return Stage(monkeypatch, tmp_path)


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """What each step of each story is answered now."""
    found = {}
    for story, steps in STORIES.items():
        with pytest.MonkeyPatch.context() as patch:
            stage = Stage(patch, tmp_path_factory.mktemp("kept"), whole=story != "bare")
            found[story] = stage.play(steps, begun=story != "no record yet")
    return found


@pytest.mark.parametrize("story, number", STEPS)
def test_a_request_is_answered_with_the_same_bytes(played, story, number):
    step = STORIES[story][number]
    assert played[story][number] == step["answered"], step["asked"]


def test_each_kind_of_request_and_of_command_is_in_the_record():
    done = [
        json.loads(step["asked"])
        for step in STORIES["whole"]
        if json.loads(step["answered"][0])["ok"]
    ]
    assert {one["ask"] for one in done} == ASKS - {"watch"}
    assert {one["name"] for one in done if one["ask"] == "command"} == {
        "drain",
        "undrain",
        "release",
        "halt",
        "resume",
        "undo",
        "permits",
        "strike",
    }


def test_a_watcher_is_told_what_happens_in_the_same_form(stage):
    stage.advance(100)
    found = stage.ask(b'{"ask":"watch","id":"w"}\n', lambda: stage.meet("m1", "here", 7001))
    assert found == kept("watch.json")["member"]
    found = stage.ask(
        b'{"ask":"watch","id":2}\n', lambda: stage.happens("ejection_started", pool="t")
    )
    assert found == kept("watch.json")["said"]


def test_a_watcher_that_reads_too_slowly_is_told_how_many_events_it_missed(stage):
    def burst():
        for _ in range(1_003):
            stage.happens("x")

    found = stage.ask(b'{"ask":"watch","id":3}\n', burst)
    assert len(found) == 1_002 and found[-1] == '{"id":3,"missed":3}'


def test_a_line_that_is_too_long_ends_the_call_with_one_answer(stage):
    found = stage.ask(b" " * 9_000 + b'\n{"ask":"links"}\n')
    assert found == ['{"id":0,"ok":false,"fault":"a line of over 4096 bytes"}']


def test_empty_lines_are_passed_over_and_several_requests_are_answered_in_turn(stage):
    found = stage.ask(b'\n \n{"ask":"verdicts","id":1}\n{"ask":"links","id":2}\n')
    assert found == ['{"id":1,"ok":true,"result":[]}', '{"id":2,"ok":true,"result":[]}']
