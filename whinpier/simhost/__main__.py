"""`python -m whinpier.simhost`: batches of events on standard input, one reply each on standard
output.
"""

from __future__ import annotations

import sys
import traceback
from typing import Any

from whinpier.policy.model import WireError
from whinpier.simhost import wire
from whinpier.simhost.instance import Instance, text_record


class Process:
    """The instances of one process. They share nothing but the numbered lists the wire lends them."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.rosters: dict[int, list[tuple[Any, ...]]] = {}

    def batch(self, number: int, count: int, now: int, body: bytes) -> bytes:
        """The whole reply to one batch."""
        reply, actions = bytearray(), 0
        for code, fields, rest in wire.records(number, count, body):
            if code == wire.ROSTER:
                self.rosters[fields[0]] = wire.entries(rest, fields[1])
                continue
            who = fields[0]
            try:
                if code == wire.UP:
                    text = wire.counted(rest, fields[2]).decode("utf-8", "replace")
                    self.instances[who] = Instance(who, fields[1], text, now)
                instance = self.instances.get(who)
                if instance is None:
                    continue
                instance.now = now
                self.event(instance, code, fields, rest)
            except WireError:
                raise
            except (
                Exception
            ) as fault:  # the day must end here, with the reason where on-call staff see it
                traceback.print_exc()
                reply += text_record(wire.FATAL_CODE, who, f"{type(fault).__name__}: {fault}")
                actions += 1
                continue
            if instance.out:
                reply += instance.out
                actions += instance.actions
                instance.out.clear()
                instance.actions = 0
        return wire.REPLY.pack(number, actions, len(reply)) + reply

    def event(self, instance: Instance, code: int, fields: tuple[Any, ...], rest: bytes) -> None:
        """One event of one instance, straight into a call. Nothing is probed or told, so no finding comes."""
        if code == wire.RESOLVED:
            _, number, trial, _, reason, took, over, n = fields
            instance.resolved(
                number, trial, reason, took, over, wire.report(rest, n, instance.columns)
            )
        elif code == wire.INGRESS:
            _, number, bits, key, tenant, ends, lane, hint = fields
            instance.ingress(number, bits, key, tenant, ends, lane, hint)
        elif code == wire.BELL:
            instance.policy.on_timer(fields[1])
        elif code == wire.TARGETS:
            _, scope, _, roster = fields
            instance.targets(scope, self.rosters.get(roster, []))
        elif code == wire.CLIENT_LEFT:
            instance.client_left(fields[1])
        elif code == wire.SAMPLED:
            _, reason, took, upstream, n = fields
            instance.sampled(upstream, wire.report(rest, n, instance.columns))
        elif code == wire.DATAGRAM:
            instance.policy.on_peer_message(fields[1], wire.counted(rest, fields[2]))
        elif code == wire.DESTROY:
            del self.instances[instance.who]


def main() -> int:
    """Serve until the end of input."""
    source, sink, process = sys.stdin.buffer, sys.stdout.buffer, Process()
    try:
        while (batch := wire.read_batch(source)) is not None:
            sink.write(process.batch(*batch))
            sink.flush()
    except WireError as fault:
        print(f"whinpier.simhost: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
