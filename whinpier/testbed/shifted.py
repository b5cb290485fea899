"""`python -m whinpier.testbed.shifted SECONDS`: one balancer on a machine whose wall clock is
wrong.
"""

from __future__ import annotations

import sys
import time


def main() -> int:
    wrong, real = int(float(sys.argv[1]) * 1e9), time.time_ns
    time.time_ns = lambda: real() + wrong
    from whinpier.__main__ import main as start  # only now: it must not see the real one

    return start()


if __name__ == "__main__":
    sys.exit(main())
