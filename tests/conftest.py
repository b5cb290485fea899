"""How many tests are run side by side, and in which event loop.

Tests that start several processes or hold something to a time are in groups (`xdist_group`): those of one
group are run one after the other, by one worker.
"""

import os

import pytest


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_auto_num_workers():
    """Two thirds of the cores, two at least: what the tests start needs cores too."""
    return max(2, -(-len(os.sched_getaffinity(0)) * 2 // 3))


@pytest.fixture
def anyio_backend():
    """Run tests in asyncio's event loop, as the balancer does."""
    return "asyncio"
