"""What verbs that need no running fleet print with `--json`, and how they exit, from fixed files.

What is measured in a run is kept by its keys and types; all else byte for byte.
"""

import hashlib
import json
import socket
import threading
from pathlib import Path
from types import SimpleNamespace

import pytest
from click.testing import CliRunner

from whinpier.cli import demo
from whinpier.cli.main import cli
from whinpier.testbed import files
from whinpier.testbed.load import Load
from whinpier.testbed.process import Balancer
from whinpier.testbed.upstream_fleet import UpstreamFleet

DATA = Path(__file__).parent / "data" / "kept"
CASES = json.loads((DATA / "file_outputs.json").read_text("utf-8"))
FORMS = json.loads((DATA / "run_forms.json").read_text("utf-8"))
SECRET = b"partner"
LIMITS = {
    "rate": {"kind": "rate", "amount": 30, "burst": 10, "homes": ["m0", "m1"]},
    "jobs": {"kind": "in_flight", "amount": 4, "homes": ["m0"], "each": "upstream"},
    "links": {"kind": "connections", "amount": 8, "homes": ["m0", "m1"], "each": "upstream"},
    "day": {"kind": "count", "amount": 100, "homes": ["m0"], "window": "day", "each": "tenant"},
    "most": {"kind": "rate", "amount": 20, "promise": "nearly"},
    "few": {"kind": "in_flight", "amount": 20, "promise": "nearly"},
    "hour": {"kind": "count", "amount": 20, "promise": "nearly", "window": "hour"},
}
EXPERIMENT = """name = "story"
seconds = 2.0
warm = 0.5
seeds = 2
[fleet]
balancers = 2
machines = [{ count = 4, cores = 2, queue = 16 }]
[[streams]]
name = "charge"
rate = 80.0
work = 0.03
patience = 1.0
"""
DAYS = """name = "days"
seconds = 10.0
[bank]
members = 3
"""


def secret_file(path, secret):
    path.write_bytes(secret)
    path.chmod(0o600)
    return str(path)


def put_files(folder):
    """The files that the verbs are given, under names that do not depend on the folder."""
    key = secret_file(folder / "key", b"a key for a trial, not a secret")
    secret_file(folder / "secret", SECRET)
    pools = {
        "t": files.service("t", "exclusive", {"s-0": "127.0.0.1:9"}, 0.25, 1.5),
        "r": files.service("r", "rerunnable", {"s-1": "127.0.0.1:10"}, 0.1, 1.0),
    }
    routes = [
        files.route("t", "exclusive", "t"),
        files.route("r", "rerunnable", "r") | {"patience": "800ms"},
    ]
    whole = {
        "version": 1,
        "name": "m0",
        "listen": ["127.0.0.1:9000"],
        "pools": pools,
        "routes": routes,
    }
    later = whole | {
        "listen": ["127.0.0.1:9001"],
        "up": "/ready",
        "routes": routes[:1],
        "pools": pools | {"t": pools["t"] | {"connect_timeout": "200ms"}},
    }
    fleet = {"listen": "127.0.0.1:7000", "key_files": [key], "limits": LIMITS}
    acct = files.records("127.0.0.1:1813", {"a": "127.0.0.1:1"}, ["old", SECRET.decode()])
    texts = {
        "old.toml": whole,
        "new.toml": later,
        "bank.toml": whole | {"bank": fleet},
        "acct.toml": {"version": 1, "name": "m0", "listen": ["127.0.0.1:9000"]} | acct,
    }
    for name, table in texts.items():
        (folder / name).write_text(files.document(table))
    (folder / "platform.json").write_text((DATA / "platform.json").read_text("utf-8"))
    (folder / "e.toml").write_text(EXPERIMENT)
    (folder / "d.toml").write_text(DAYS)


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    found = tmp_path_factory.mktemp("kept")
    put_files(found)
    return found


@pytest.fixture(autouse=True)
def inside(folder, monkeypatch):
    monkeypatch.chdir(folder)
    for name in ("BALANCER_OPERATOR", "BALANCER_CONFIG"):
        monkeypatch.delenv(name, raising=False)


def run(words):
    found = CliRunner().invoke(cli, words)
    return {"output": found.stdout, "error": found.stderr, "exit": found.exit_code}


def form(value):
    """Keys in their order, and types; of a list what its first holds."""
    if isinstance(value, dict):
        return {key: form(one) for key, one in value.items()}
    if isinstance(value, list):
        return [form(one) for one in value[:1]]
    return type(value).__name__


def printed(words):
    found = run(words)
    return {"exit": found["exit"], "form": form(json.loads(found["output"]))}


@pytest.mark.parametrize("case", CASES, ids=lambda case: " ".join(case["words"])[:60])
def test_a_verb_prints_and_exits_as_it_did(case):
    assert run(case["words"]) == case["found"]


class Answering:
    """A RADIUS server that accepts all records."""

    def __init__(self):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.target = "%s:%d" % self.sock.getsockname()
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self):
        while (came := self.sock.recvfrom(4_096))[0] != b"end":
            data, source = came
            head = b"\5" + data[1:2] + b"\0\x14"
            proof = hashlib.md5(head + data[4:20] + SECRET).digest()
            self.sock.sendto(head + proof, source)

    def end(self):
        self.sock.sendto(b"end", self.sock.getsockname())
        self.thread.join()
        self.sock.close()


@pytest.fixture
def server():
    found = Answering()
    yield found
    found.end()


@pytest.mark.parametrize(
    "verb, words",
    [
        ("send", ["--rate", "50", "--seconds", "0.1", "--bind", "127.0.0.1"]),
        ("flood", ["--records", "3", "--copies", "2"]),
    ],
)
def test_records_sent_are_told_in_the_same_form(server, verb, words):
    given = ["radius", verb, server.target, "--secret-file", "secret", *words, "--json"]
    assert json.dumps(printed(given)) == json.dumps(FORMS[f"radius {verb}"])


def lab_forms():
    """The lab's verbs on one small experiment, one after the other."""
    out = ["--out", "out", "--jobs", "1", "--json"]
    return {
        "lab list": printed(["lab", "list", "--json"]),
        "lab run": printed(["lab", "run", "e.toml", *out]),
        "lab compare": printed(["lab", "compare", "out", "out", "--json"]),
        "lab compare, figures": [
            row["figure"]
            for row in json.loads(run(["lab", "compare", "out", "out", "--json"])["output"])
        ],
        "lab report": printed(["lab", "report", "out", "--json"]),
        "lab run days": printed(["lab", "run", "d.toml", "--out", "days", *out[2:]]),
    }


def test_the_lab_prints_the_same_forms():
    found = lab_forms()
    assert json.dumps(found) == json.dumps({name: FORMS[name] for name in found})


class Nothing:
    """Stands in for a fleet, a balancer and a load that ran and saw nothing wrong."""

    def __init__(self, *given, **more):
        self.address = "127.0.0.1:9"
        self.addresses = dict.fromkeys(given[0], self.address) if type(given[0]) is dict else {}
        self.by = {"posting-1": 2}
        self.told = [SimpleNamespace(due=0.0, latency=0.01, status=200)]

    def wait_ready(self):
        pass

    stop = wait_ready

    def kill(self, name):
        pass

    def log(self):
        return ""

    def ledger(self):
        return self

    def result(self):
        return self

    def twice(self, name):
        return []

    def unanswered(self):
        return []

    def share_on_time(self, begins, ends):
        return 1.0


def demo_form():
    with pytest.MonkeyPatch.context() as patch:
        for one in (UpstreamFleet, Balancer, Load):
            patch.setattr(demo, one.__name__, Nothing)
        return printed(["demo", "--seconds", "2", "--json"])


def test_the_demonstration_prints_the_same_form():
    assert json.dumps(demo_form()) == json.dumps(FORMS["demo"])
