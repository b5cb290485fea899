"""The keys of the platform's settings and of an operator's file, and what is said of a wrong one.

Kept copies of the files are read and compared with kept values; each table is given one key
more, and each platform key a value that it cannot have, and what is said of it is compared to
the letter.
"""

import copy
import json
import tomllib
from dataclasses import fields, is_dataclass, replace
from pathlib import Path

import msgspec
import pytest

from whinpier.config import operator, platform
from whinpier.config.model import ConfigFault

KEPT = Path("tests/data/kept").resolve()
SECRETS = {
    "bank.key": "0123456789abcdef0123456789abcdef",
    "servers.secret": "for servers",
    "client.secret": "for a client",
}
OPERATOR_FILES = ("operator.example.toml", "operator.radius.example.toml", "operator.full.toml")
# Tables of the full file whose keys are names that the operator chooses.
FREE = {
    "/pools",
    "/pools/web/workloads",
    "/pools/shared/workloads",
    "/pools/acct/workloads",
    "/pools/plain/workloads",
    "/routes/0/headers",
    "/radius/clients",
    "/bank/limits",
    "/bank/limits/rated/tenants",
    "/bank/agreement/permits",
}
PLATFORM_FILES = ("config.json", "config.full.json")


# What the tests know of the code.


def read_operator(path, released=None):
    return operator.read(str(path), released, released is None)


def make_operator(given):
    return operator.made(given)


def read_platform(environment):
    return platform.read(environment)


def operator_values(spec, seeded):
    """What was read, by position; a seed that is not given is drawn."""
    spec = spec if seeded else replace(spec, seed=0)
    return plain([spec, spec.table.routes])


def fault_of(call, *given):
    with pytest.raises(ConfigFault) as caught:
        call(*given)
    return str(caught.value)


# Helpers.


def plain(value):
    """Values without the names of what holds them; what is no data is left out."""
    if is_dataclass(value):
        return [plain(getattr(value, one.name)) for one in fields(value)]
    if isinstance(value, msgspec.Struct):
        return [plain(inner) for inner in msgspec.structs.astuple(value)]
    if isinstance(value, dict):
        return [[plain(key), plain(inner)] for key, inner in value.items()]
    if isinstance(value, (set, frozenset)):
        return sorted(map(plain, value))
    if isinstance(value, (list, tuple)):
        return [plain(inner) for inner in value]
    if isinstance(value, bytes):
        return value.hex()
    if value is None or isinstance(value, (str, int, float)):
        return value
    return str(value) if type(value).__module__ == "ipaddress" else "(object)"


def kept(name):
    return json.loads((KEPT / name).read_text())


def put(given, path, value):
    """A copy with a value at a path such as pools/web/limits or routes/0."""
    given = copy.deepcopy(given)
    table, (*steps, last) = given, path.split("/")
    for step in steps:
        table = table[int(step)] if isinstance(table, list) else table.setdefault(step, {})
    table[int(last) if isinstance(table, list) else last] = value
    return given


@pytest.fixture
def folder(tmp_path, monkeypatch):
    """A folder with the kept files and the secrets that they name."""
    for name in OPERATOR_FILES:
        (tmp_path / name).write_bytes((KEPT / name).read_bytes())
    for name, text in SECRETS.items():
        (tmp_path / name).write_text(text)
        (tmp_path / name).chmod(0o600)
    monkeypatch.chdir(tmp_path)
    return tmp_path


def operator_given(name="operator.full.toml"):
    return tomllib.loads((KEPT / name).read_text())


def platform_read(tmp_path, given, **environment):
    (tmp_path / "config.json").write_text(json.dumps(given))
    return read_platform({"BALANCER_CONFIG": str(tmp_path / "config.json"), **environment})


# An operator's file.


@pytest.mark.parametrize("name", OPERATOR_FILES)
def test_a_kept_operator_file_is_read_to_the_kept_values(folder, name):
    spec = read_operator(name)
    assert operator_values(spec, name == "operator.full.toml") == kept("operator.values.json")[name]


OPERATOR_UNKNOWN = kept("operator.unknown.json")


@pytest.mark.parametrize("path", OPERATOR_UNKNOWN)
def test_an_unknown_key_of_a_table_is_refused_with_the_kept_words(folder, path):
    assert fault_of(make_operator, put(operator_given(), path, 1)) == OPERATOR_UNKNOWN[path]


def test_every_table_of_the_full_file_is_given_an_unknown_key():
    def tables(value, path):
        if isinstance(value, dict) and path not in FREE:
            yield f"{path}/unknown_key".lstrip("/")
        for step, inner in (
            value.items()
            if isinstance(value, dict)
            else enumerate(value)
            if isinstance(value, list)
            else ()
        ):
            yield from tables(inner, f"{path}/{step}")

    assert sorted(tables(operator_given(), "")) == sorted(OPERATOR_UNKNOWN)


OPERATOR_CHOICES = kept("operator.choices.json")


@pytest.mark.parametrize("path", OPERATOR_CHOICES)
def test_a_word_that_is_none_of_a_choice_is_refused_with_the_kept_words(folder, path):
    said = fault_of(make_operator, put(operator_given(), path, "nonsense"))
    assert said == OPERATOR_CHOICES[path]


@pytest.mark.parametrize(
    "released, said",
    [
        (b'listen = ["127.0.0.1:1"]', "released: listen: belongs into each process's own file"),
        (b'[bank]\nlisten = "x"', "released: bank: only limits and verdicts are released"),
        (b"[pools]\n", "pools: 0 of them; 1 to 256 are allowed"),
        (
            b'routes = [{ nam = "x" }]',
            "routes[0].nam: is no key here (meant: name); allowed: name, "
            "pool, host, path, prefix, methods, headers, lane, workload, patience, says",
        ),
        (b'up = "up"', "up: 'up' is no path"),
        (
            b"[bank.limits.x]\nkin = 1",
            "bank.limits.x.kin: is no key here (meant: kind); allowed: kind, "
            "amount, promise, homes, burst, window, time_zone, pools, routes, each, tenants, most",
        ),
        (
            b'[bank.verdicts]\nlife = "1s"',
            "bank.verdicts.life: is shorter than 2s; votes need some time to come",
        ),
    ],
)
def test_what_is_released_over_a_file_has_the_kept_keys(folder, released, said):
    assert fault_of(read_operator, "operator.full.toml", released) == f"operator.full.toml: {said}"


# The platform's settings.


@pytest.mark.parametrize("name", PLATFORM_FILES)
def test_a_kept_platform_file_is_read_to_the_kept_values(tmp_path, name):
    assert plain(platform_read(tmp_path, kept(name))) == kept("platform.values.json")[name]


PLATFORM_FAULTS = kept("platform.faults.json")


@pytest.mark.parametrize("path, value, said", PLATFORM_FAULTS)
def test_a_wrong_platform_value_is_refused_with_the_kept_words(tmp_path, path, value, said):
    assert fault_of(platform_read, tmp_path, put(kept("config.full.json"), path, value)) == said


@pytest.mark.parametrize(
    "path", ["unknown_key", "limits/unknown_key", "known/unknown_key", "known/hosts/0/unknown_key"]
)
def test_an_unknown_platform_key_is_passed_over(tmp_path, path):
    given = kept("config.full.json")
    values = plain(platform_read(tmp_path, given))
    assert plain(platform_read(tmp_path, put(given, path, 1))) == values


def test_an_unknown_setting_is_kept_by_its_path(tmp_path):
    given = put(kept("config.full.json"), "settings/later/unknown", 1)
    found = plain(platform_read(tmp_path, given))
    assert '["later.unknown", 1]' in json.dumps(found)


def test_the_environment_says_what_the_file_does_not(tmp_path):
    given = {
        key: value
        for key, value in kept("config.full.json").items()
        if key not in ("name", "listen", "discovery")
    }
    environment = {
        "BALANCER_NAME": "n7",
        "BALANCER_LISTEN": "127.0.0.1:9007",
        "BALANCER_DISCOVERY": "127.0.0.1:8507",
    }
    assert (
        plain(platform_read(tmp_path, given, **environment))
        == kept("platform.values.json")["config.full.json"]
    )
    assert fault_of(platform_read, tmp_path, given) == "discovery: None is not HOST:PORT"
    assert fault_of(read_platform, {}) == "BALANCER_CONFIG: is not set"
