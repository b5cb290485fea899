"""The paths in the deployment file exist."""

import tomllib
from pathlib import Path

DEPLOYMENT = tomllib.loads(Path("deploy/balancer.toml").read_text())


def test_policy_paths_are_files():
    """Guards against a folder among them, which the deployment tool reports as not there."""
    paths = DEPLOYMENT["policy"]
    assert paths
    assert [path for path in paths if not Path(path).is_file()] == []


def test_node_paths_exist():
    paths = DEPLOYMENT["node"]
    assert paths
    assert [path for path in paths if not Path(path).exists()] == []
