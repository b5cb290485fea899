"""Run balancers for the simulator: `python -m whinpier.simhost`.

Reads batches of events from standard input and writes one reply for each to standard output.
"""

from __future__ import annotations

import sys
import traceback
from typing import Any

from whinpier.policy.model import WireError
from whinpier.simhost import wire
from whinpier.simhost.instance import Instance, text_record


class Process:
    """Holds the instances of one process, which share only the endpoint lists (rosters) by number."""

    def __init__(self) -> None:
        """Start without instances and rosters."""
        self.instances: dict[int, Instance] = {}
        self.rosters: dict[int, list[tuple[Any, ...]]] = {}

    def batch(self, number: int, count: int, now: int, body: bytes) -> bytes:
        """Process the events of one batch and return the encoded reply.

        An exception in an instance becomes a fatal action: the simulation ends and shows its text to the
        operators.
        Raises WireError if the batch is malformed.
        """
        reply = bytearray()
        action_count = 0
        for code, fields, rest in wire.records(number, count, body):
            if code == wire.ROSTER:
                self.rosters[fields[0]] = wire.entries(rest, fields[1])
                continue
            instance_id = fields[0]
            try:
                if code == wire.UP:
                    text = wire.counted(rest, fields[2]).decode("utf-8", "replace")
                    self.instances[instance_id] = Instance(instance_id, fields[1], text, now)
                instance = self.instances.get(instance_id)
                if instance is None:
                    continue
                instance.now = now
                self.event(instance, code, fields, rest)
            except WireError:
                raise
            except Exception as error:
                traceback.print_exc()
                message = f"{type(error).__name__}: {error}"
                reply += text_record(wire.FATAL_CODE, instance_id, message)
                action_count += 1
                continue
            if instance.output:
                reply += instance.output
                action_count += instance.action_count
                instance.output.clear()
                instance.action_count = 0
        return wire.REPLY.pack(number, action_count, len(reply)) + reply

    def event(self, instance: Instance, code: int, fields: tuple[Any, ...], rest: bytes) -> None:
        """Pass one event to its instance."""
        if code == wire.RESOLVED:
            _, number, attempt_number, _, reason, duration_us, ends_request, column_count = fields
            load = wire.report(rest, column_count, instance.columns)
            instance.resolved(number, attempt_number, reason, duration_us, ends_request, load)
        elif code == wire.INGRESS:
            instance.ingress(*fields[1:])
        elif code == wire.BELL:
            instance.policy.on_timer(fields[1])
        elif code == wire.TARGETS:
            _, scope, _, roster = fields
            instance.targets(scope, self.rosters.get(roster, []))
        elif code == wire.CLIENT_LEFT:
            instance.client_left(fields[1])
        elif code == wire.SAMPLED:
            _, _, _, upstream, column_count = fields
            instance.sampled(upstream, wire.report(rest, column_count, instance.columns))
        elif code == wire.DATAGRAM:
            instance.policy.on_peer_message(fields[1], wire.counted(rest, fields[2]))
        elif code == wire.DESTROY:
            del self.instances[instance.instance_id]


def main() -> int:
    """Serve until the end of input; return 1 if the input is malformed, else 0."""
    source = sys.stdin.buffer
    sink = sys.stdout.buffer
    process = Process()
    try:
        while (batch := wire.read_batch(source)) is not None:
            sink.write(process.batch(*batch))
            sink.flush()
    except WireError as error:
        print(f"whinpier.simhost: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
