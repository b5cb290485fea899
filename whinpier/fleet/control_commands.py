"""What operators ask of the fleet's record, and say to it, by the control socket.

Reads what they say into commands with an id each, and shows what is agreed. Must never say that
something is done before the record does, or let a command through that the record could not read.
"""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any

import msgspec

from whinpier.fleet.consensus.node import LEADER
from whinpier.fleet.messages import MAX_LOG_ENTRY_BYTES
from whinpier.fleet.rollouts.commands import (
    ENTRY_TYPES,
    MAX_TEXT,
    AnalysisSettings,
    BudgetRule,
    CommandHeader,
    DrainCommand,
    EntryKind,
    FileChunk,
    NamedCommand,
    ReleaseCommand,
    SetBudget,
    encode,
)
from whinpier.fleet.rollouts.controller import describe_pending
from whinpier.fleet.rollouts.disruption_budget import find_unavailable, rule_applies
from whinpier.fleet.rollouts.history import is_intact
from whinpier.fleet.rollouts.model import DrainPhase, HistoryEntry, Rollout, display_name
from whinpier.fleet.rollouts.release_files import hash_file

if TYPE_CHECKING:
    from whinpier.fleet.consensus.service import ConsensusService

KINDS = {
    "drain": EntryKind.DRAIN,
    "undrain": EntryKind.UNDRAIN,
    "release": EntryKind.RELEASE,
    "halt": EntryKind.HALT,
    "resume": EntryKind.RESUME,
    "undo": EntryKind.ROLL_BACK,
    "permits": EntryKind.SET_BUDGET,
    "strike": EntryKind.WRITE_OFF,
}

# The settings of an analysis, as callers name them.
ANALYSIS_FIELDS = {
    "window_ms": "window_ms",
    "on_time": "max_on_time_drop",
    "errors": "max_error_increase",
    "turned_back": "max_rejected_increase",
    "memory": "max_memory_ratio",
    "least": "min_requests",
    "back_ms": "return_timeout_ms",
}


class Fault(Exception):
    """What is asked can't be done; the text says why."""


def found(agreed: ConsensusService, ask: str, name: str, value: dict[str, Any]) -> Any:
    """The answer to one question. Raises Fault."""
    if ask == "status":
        return status(agreed)
    if ask == "command":
        return command(agreed, name, value)
    if ask == "outcome":
        return outcome(agreed, name)
    if ask == "put":
        return put(agreed, name, value)
    if ask == "has":
        return {"whole": agreed.state_machine.read_file(name) is not None}
    if ask == "history":
        history = agreed.state_machine.state.history
        return {"checked": is_intact(history), "items": [row_of(item) for item in history]}
    if ask == "file":
        return file(agreed, name)
    if ask == "permits":
        return permits(agreed)
    if ask == "read":
        nonce = number(name)
        agreed.request_read(nonce)
        return {
            "read": agreed.is_read_complete(nonce),
            "revision": agreed.state_machine.state.revision,
        }
    if ask == "voters":
        return voters(agreed, name, value)
    if agreed.node.cluster_id == 0:
        raise Fault("this process has no record to go on from")
    agreed.recover()
    return agreed.status()


def number(text: str) -> int:
    if not text.isascii() or not text.isdigit() or not 0 < int(text) < 2**63:
        raise Fault(f"{text!r} is no number of a command")
    return int(text)


# What is said.


def said(value: dict[str, Any]) -> CommandHeader:
    return msgspec.convert(
        {
            "id": value.get("id"),
            "who": value.get("who", ""),
            "why": value.get("why", ""),
            "wall": value.get("wall", 0),
            "based": value.get("based", -1),
        },
        _Said,
    ).made()


class _Said(msgspec.Struct, forbid_unknown_fields=True):
    """As it comes from a caller."""

    id: int
    who: str
    why: str = ""
    wall: int = 0
    based: int = -1

    def made(self) -> CommandHeader:
        if not 0 < self.id < 2**62:
            raise Fault("id: is not between 1 and 2**62")
        return CommandHeader(
            self.id, self.who[:MAX_TEXT], self.why[:MAX_TEXT], self.wall, self.based
        )


def command(agreed: ConsensusService, what: str, value: dict[str, Any]) -> Any:
    """Bring a command into the record, or say what it would come to (`dry`)."""
    kind = KINDS.get(what)
    if kind is None:
        raise Fault(f"{what!r} is none of {', '.join(KINDS)}")
    try:
        given = made(agreed, kind, value, said(value))
        data = encode(given)
        msgspec.msgpack.decode(data, type=ENTRY_TYPES[kind])
    except (
        msgspec.ValidationError,
        msgspec.DecodeError,
        ValueError,
        KeyError,
        OverflowError,
    ) as fault:
        raise Fault(f"{what}: {fault}") from None
    if len(data) > MAX_LOG_ENTRY_BYTES:
        raise Fault(
            f"{what}: {len(data)} bytes, {MAX_LOG_ENTRY_BYTES} at most; name fewer, or say less"
        )
    if not agreed.node.cluster_id:
        raise Fault("there is no record yet: its voters have not all met")
    identity = given.header.id
    if value.get("dry"):
        result = agreed.state_machine.dry_run(
            agreed.state_machine.state.last_applied + 1, kind, data
        )
        return {"id": identity, "dry": True, "good": result.succeeded, "text": result.text}
    if not agreed.submit_command(
        kind, data, lambda: identity in agreed.state_machine.state.results
    ):
        raise Fault("too many commands are on their way; ask again")
    return {"id": identity, "leader": agreed.node.leader}


def made(agreed: ConsensusService, kind: int, value: dict[str, Any], who: CommandHeader) -> Any:
    """A command's form, with what this process knows of whom it names."""
    if kind in (EntryKind.DRAIN, EntryKind.UNDRAIN):
        return drain(agreed, str(value.get("name", "")), str(value.get("pool", "")), who)
    if kind == EntryKind.SET_BUDGET:
        return SetBudget(
            who, [rule(text) for text in str(value.get("rules", "")).split(";") if text]
        )
    if kind == EntryKind.RELEASE:
        gate = AnalysisSettings(
            **{field: value[key] for key, field in ANALYSIS_FIELDS.items() if key in value},
            hold_on_failure=bool(value.get("hold", 0)),
        )
        waves = [wave for wave in str(value.get("waves", "")).split(",") if wave]
        return ReleaseCommand(
            who,
            str(value.get("content", "")),
            str(value.get("build", "")),
            str(value.get("selector", "all")) or "all",
            waves,
            gate,
            agreed.spec.build,
        )
    return NamedCommand(who, str(value.get("name", "")))


def rule(text: str) -> BudgetRule:
    """NAME|balancers|OUT|POOL|ZONE. Raises ValueError."""
    name, of, out, pool, zone = (text.split("|") + ["", ""])[:5]
    return BudgetRule(name, of, int(out), pool, zone)


def drain(agreed: ConsensusService, name: str, pool: str, who: CommandHeader) -> DrainCommand:
    if pool:
        known = agreed.process.pools.get(pool)
        if known is None:
            raise Fault(f"{pool!r} is no pool of this process")
        peer = known.endpoints.get(name)
        if peer is None and f"u/{pool}/{name}" not in agreed.state_machine.state.drains:
            raise Fault(f"{name!r} is no upstream of pool {pool}")
        names = known.spec.zones
        zone = names[peer.zone] if peer and peer.zone < len(names) else ""
        return DrainCommand(who, name, pool, zone)
    seats = agreed.member_views()
    if name not in seats and f"b/{name}" not in agreed.state_machine.state.drains:
        raise Fault(f"{name!r} is no member that is known here")
    return DrainCommand(who, name, "", seats[name].zone if name in seats else "")


def outcome(agreed: ConsensusService, name: str) -> Any:
    """What became of a command, by its id."""
    result = agreed.state_machine.state.results.get(number(name))
    if result is None:
        return {"known": False, "leader": agreed.node.leader}
    return {"known": True, "line": result[0], "good": result[1], "text": result[2]}


def put(agreed: ConsensusService, name: str, value: dict[str, Any]) -> Any:
    """A piece of a file, in base 64, on its way into the record."""
    try:
        data = base64.b64decode(str(value["data"]), validate=True)
        piece = FileChunk(name, int(value["at"]), int(value["size"]), data)
        line = encode(piece)
        msgspec.msgpack.decode(line, type=FileChunk)
    except (KeyError, ValueError, msgspec.ValidationError) as fault:
        raise Fault(f"put: {fault}") from None

    def there() -> bool:
        return piece.offset in agreed.state_machine.state.file_chunks.get(name, {})

    if not there() and not agreed.submit_command(EntryKind.FILE_CHUNK, line, there):
        raise Fault("too many pieces are on their way; ask again")
    return {"put": piece.offset}


def voters(agreed: ConsensusService, name: str, value: dict[str, Any]) -> Any:
    """Who votes; with `do` = add or remove, one is changed, at the member that leads."""
    agreement, config = agreed.node, dict(agreed.node.config)
    if what := value.get("do"):
        if agreement.role != LEADER:
            raise Fault(
                f"voters are changed at the member that leads: {agreement.leader or 'none is known'}"
            )
        if what == "add":
            disk, told = agreed.announced_disks.get(name, (0, 0))
            if not disk or told != agreement.cluster_id:
                raise Fault(f"{name!r} is not here, or has not learned the record")
            config[name] = disk
        elif name in agreed.spec.voters:
            raise Fault(
                f"{name!r} stands in bank.agreement.voters of {agreement.name}, which would add it"
            )
        else:
            config.pop(name, None)
        if fault := agreed.change_voters(config):
            raise Fault(fault)
        agreed.flush()
    return {
        "leader": agreement.leader,
        "voters": [
            {
                "name": one,
                "disk": f"{disk:x}",
                "here": one == agreement.name or one in agreed.connected_members(),
                "same_disk": agreed.announced_disks.get(one, (disk, 0))[0] == disk,
            }
            for one, disk in sorted(config.items())
        ],
    }


# What is shown.


def row_of(item: HistoryEntry) -> dict[str, Any]:
    return {
        "line": item.index,
        "wall": item.wall_ms,
        "who": item.actor,
        "what": item.action,
        "why": item.reason,
        "good": item.succeeded,
        "text": item.text,
        "chain": item.digest.hex(),
    }


def release_row(release: Rollout) -> dict[str, Any]:
    command = release.command
    return {
        "number": release.number,
        "what": command.version,
        "parent": release.previous_default,
        "selector": command.selector,
        "phase": release.phase,
        "reason": release.reason,
        "wave": release.current_wave + 1,
        "waves": [len(wave) for wave in release.waves],
        "runs": sorted(release.updated),
        "waiting": list(release.pending),
        "failed": dict(release.failed),
        "undoing": release.is_rollback,
        "who": command.header.operator,
        "why": command.header.reason,
        "wall": command.header.wall_ms,
    }


def status(agreed: ConsensusService) -> Any:
    """All that is agreed and not done, as this process knows it."""
    state, controller = agreed.state_machine.state, agreed.controller
    seats = agreed.member_views() if controller else {}
    rows = []
    for key, drain in state.drains.items():
        left = drain.pending
        if controller and drain.phase == DrainPhase.DRAINING:
            left = describe_pending(controller.find_unconfirmed(key, drain, seats))
        rows.append(
            {
                "name": display_name(key),
                "of": "balancers" if key.startswith("b/") else "upstreams",
                "state": drain.phase,
                "permit": drain.permit_number,
                "who": drain.operator,
                "why": drain.reason,
                "wall": drain.wall_ms,
                "left": left,
            }
        )
    return agreed.status() | {
        "drains": rows,
        "release": release_row(state.rollout) if state.rollout else None,
        "closed": [release_row(one) for one in state.closed_rollouts],
        "good": state.default_content,
        "good_build": state.default_build,
        "lost": sorted(state.lost),
        "on_their_way": len(agreed.pending_commands),
    }


def permits(agreed: ConsensusService) -> Any:
    """Who may be out, and who is."""
    record = agreed.state_machine
    outside = find_unavailable(record.state)
    rules = [
        {
            "name": rule.name,
            "of": rule.target,
            "pool": rule.pool,
            "zone": rule.zone,
            "may": rule.max_out,
            "out": sorted(
                display_name(key)
                for key, location in outside.items()
                if rule_applies(rule, location)
            ),
        }
        for rule in record.state.rules
    ]
    outs = [
        {"name": display_name(key), "why": permit.purpose, "permit": permit.number}
        for key, permit in record.state.permits.items()
    ]
    outs += [
        {"name": name, "why": "lost", "permit": 0}
        for name in record.state.lost
        if f"b/{name}" not in record.state.permits
    ]
    return {"rules": rules, "out": outs}


def file(agreed: ConsensusService, name: str) -> Any:
    """A released file: by its name, or the one that is good."""
    from whinpier.fleet.consensus.service import decompress_release

    name = name or agreed.state_machine.state.default_content
    data = agreed.state_machine.read_file(name) if name else None
    if data is None:
        raise Fault(f"the record holds no file {name!r}" if name else "nothing was released yet")
    return {"name": hash_file(data), "text": decompress_release(data).decode("utf-8", "replace")}
