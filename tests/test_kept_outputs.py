"""What each verb of `whinpier fleet` prints with `--json`, exits with and asks of a process.

A process is played by a thread that answers each kind of request with one kept result.
"""

import json
import socket
import tempfile
import threading
import time
from contextlib import suppress
from pathlib import Path

import pytest
from click.testing import CliRunner

from whinpier.cli.main import cli

DATA = Path(__file__).parent / "data" / "kept"
CASES = json.loads((DATA / "bank_outputs.json").read_text("utf-8"))
NOW = 1_700_000_000.0  # what the wall clock shows


class Answering:
    """The control socket of a process that has one answer to each kind of request."""

    def __init__(self, answers):
        self.answers, self.asked = answers, []
        self.folder = tempfile.TemporaryDirectory()
        self.path = str(Path(self.folder.name) / "s")
        self.listener = socket.socket(socket.AF_UNIX)
        self.listener.bind(self.path)
        self.listener.listen()
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self):
        caller, _ = self.listener.accept()
        # One that ends with its first line does not take the others.
        with suppress(ConnectionError), caller, caller.makefile("rb") as lines:
            for line in lines:
                given = json.loads(line)
                self.asked.append(line.decode().strip())
                for answer in self.answers.get(given["ask"], []):
                    caller.sendall(json.dumps({"id": given["id"]} | answer).encode() + b"\n")
                if given["ask"] == "watch" or given["ask"] not in self.answers:
                    return

    def end(self):
        self.listener.close()
        self.folder.cleanup()


def run(words, answers, folder):
    """What a verb asked, printed and came to; a number that it drew is `N`."""
    there = Answering(answers)
    try:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(time, "time", lambda: NOW)
            patch.chdir(folder)
            found = CliRunner().invoke(
                cli, ["bank", *words, "--socket", there.path], env={"BALANCER_OPERATOR": ""}
            )
    finally:
        there.end()
    asked = []
    for line in there.asked:
        given = json.loads(line)
        if given["ask"] == "read":
            given["name"] = "N"
        elif given["ask"] == "command" and "--id" not in words:
            given["value"]["id"] = "N"
        if given not in asked[-1:]:  # how often it looked is a matter of time
            asked.append(given)
    return {"asked": asked, "output": found.stdout, "error": found.stderr, "exit": found.exit_code}


@pytest.fixture
def folder(tmp_path):
    (tmp_path / "new.toml").write_text('up = "/ready"\n')
    return tmp_path


@pytest.mark.parametrize("case", CASES, ids=lambda case: " ".join(case["words"]))
def test_a_verb_asks_prints_and_exits_as_it_did(case, folder):
    found = run(case["words"], case["answers"], folder)
    assert json.dumps(found) == json.dumps(case["found"])


def verbs(command, path=()):
    if "--json" in [name for one in command.params for name in one.opts]:
        yield " ".join(path)
    for name, one in getattr(command, "commands", {}).items():
        yield from verbs(one, (*path, name))


def test_each_verb_of_the_fleet_that_prints_json_is_in_the_record():
    named = {name for name in verbs(cli.commands["bank"])} - {"limits explain"}
    assert named == {case["verb"] for case in CASES if case["found"]["exit"] == 0}
