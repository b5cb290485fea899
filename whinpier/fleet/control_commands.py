"""Requests of the control socket about the replicated state: queries and commands.

A command gets an id from its caller, is encoded as a log entry and submitted to the consensus
service; its outcome is asked for later by the id.

Invariants: no command is reported as done before it is applied to the replicated state, and none is
submitted that the members could not decode.
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

# Kinds of log entries, by the command names of the control socket.
ENTRY_KINDS = {
    "drain": EntryKind.DRAIN,
    "undrain": EntryKind.UNDRAIN,
    "release": EntryKind.RELEASE,
    "halt": EntryKind.HALT,
    "resume": EntryKind.RESUME,
    "undo": EntryKind.ROLL_BACK,
    "permits": EntryKind.SET_BUDGET,
    "strike": EntryKind.WRITE_OFF,
}

# Fields of AnalysisSettings, by the names that callers use.
ANALYSIS_FIELDS = {
    "window_ms": "window_ms",
    "on_time": "max_on_time_drop",
    "errors": "max_error_increase",
    "turned_back": "max_rejected_increase",
    "memory": "max_memory_ratio",
    "least": "min_requests",
    "back_ms": "return_timeout_ms",
}


class CommandError(Exception):
    """A request that can't be served; the text tells the caller why."""


def answer_request(agreed: ConsensusService, ask: str, name: str, value: dict[str, Any]) -> Any:
    """Carry out one request and return its result. Raises CommandError."""
    if ask == "status":
        return describe_status(agreed)
    if ask == "command":
        return submit_command(agreed, name, value)
    if ask == "outcome":
        return describe_outcome(agreed, name)
    if ask == "put":
        return submit_file_chunk(agreed, name, value)
    if ask == "has":
        return {"whole": agreed.state_machine.read_file(name) is not None}
    if ask == "history":
        history = agreed.state_machine.state.history
        return {"checked": is_intact(history), "items": [history_row(item) for item in history]}
    if ask == "file":
        return describe_file(agreed, name)
    if ask == "permits":
        return describe_budgets(agreed)
    if ask == "read":
        nonce = parse_id(name)
        agreed.request_read(nonce)
        return {
            "read": agreed.is_read_complete(nonce),
            "revision": agreed.state_machine.state.revision,
        }
    if ask == "voters":
        return describe_voters(agreed, name, value)
    if agreed.node.cluster_id == 0:
        raise CommandError("this process has no record to go on from")
    agreed.recover()
    return agreed.status()


def parse_id(text: str) -> int:
    """Return the id of a command or a read: 1 to 2**63 - 1. Raises CommandError."""
    if not text.isascii() or not text.isdigit() or not 0 < int(text) < 2**63:
        raise CommandError(f"{text!r} is no number of a command")
    return int(text)


def parse_header(value: dict[str, Any]) -> CommandHeader:
    """Return the header of a command. Raises msgspec.ValidationError and CommandError."""
    return msgspec.convert(
        {
            "id": value.get("id"),
            "who": value.get("who", ""),
            "why": value.get("why", ""),
            "wall": value.get("wall", 0),
            "based": value.get("based", -1),
        },
        _HeaderFields,
    ).to_header()


class _HeaderFields(msgspec.Struct, forbid_unknown_fields=True):
    """The fields of a command's header, under the names that callers use."""

    id: int
    who: str
    why: str = ""
    wall: int = 0
    based: int = -1

    def to_header(self) -> CommandHeader:
        """Return the header, its texts cut to MAX_TEXT. Raises CommandError."""
        if not 0 < self.id < 2**62:
            raise CommandError("id: is not between 1 and 2**62")
        return CommandHeader(
            self.id, self.who[:MAX_TEXT], self.why[:MAX_TEXT], self.wall, self.based
        )


def submit_command(agreed: ConsensusService, what: str, value: dict[str, Any]) -> Any:
    """Submit a command to the replicated log, or try it on the current state (`dry`).

    Raises CommandError for a command that is invalid or can't be submitted.
    """
    kind = ENTRY_KINDS.get(what)
    if kind is None:
        raise CommandError(f"{what!r} is none of {', '.join(ENTRY_KINDS)}")
    try:
        entry = make_command(agreed, kind, value, parse_header(value))
        data = encode(entry)
        msgspec.msgpack.decode(data, type=ENTRY_TYPES[kind])
    except (
        msgspec.ValidationError,
        msgspec.DecodeError,
        ValueError,
        KeyError,
        OverflowError,
    ) as error:
        raise CommandError(f"{what}: {error}") from None
    if len(data) > MAX_LOG_ENTRY_BYTES:
        raise CommandError(
            f"{what}: {len(data)} bytes, {MAX_LOG_ENTRY_BYTES} at most; name fewer, or say less"
        )
    if not agreed.node.cluster_id:
        raise CommandError("there is no record yet: its voters have not all met")
    command_id = entry.header.id
    if value.get("dry"):
        result = agreed.state_machine.dry_run(
            agreed.state_machine.state.last_applied + 1, kind, data
        )
        return {"id": command_id, "dry": True, "good": result.succeeded, "text": result.text}
    if not agreed.submit_command(
        kind, data, lambda: command_id in agreed.state_machine.state.results
    ):
        raise CommandError("too many commands are on their way; ask again")
    return {"id": command_id, "leader": agreed.node.leader}


def make_command(
    agreed: ConsensusService, kind: int, value: dict[str, Any], header: CommandHeader
) -> Any:
    """Return a command as a log entry; its targets are looked up at this process."""
    if kind in (EntryKind.DRAIN, EntryKind.UNDRAIN):
        return make_drain(agreed, str(value.get("name", "")), str(value.get("pool", "")), header)
    if kind == EntryKind.SET_BUDGET:
        return SetBudget(
            header, [parse_rule(text) for text in str(value.get("rules", "")).split(";") if text]
        )
    if kind == EntryKind.RELEASE:
        analysis = AnalysisSettings(
            **{field: value[key] for key, field in ANALYSIS_FIELDS.items() if key in value},
            hold_on_failure=bool(value.get("hold", 0)),
        )
        waves = [wave for wave in str(value.get("waves", "")).split(",") if wave]
        return ReleaseCommand(
            header,
            str(value.get("content", "")),
            str(value.get("build", "")),
            str(value.get("selector", "all")) or "all",
            waves,
            analysis,
            agreed.spec.build,
        )
    return NamedCommand(header, str(value.get("name", "")))


def parse_rule(text: str) -> BudgetRule:
    """Parse NAME|balancers|OUT|POOL|ZONE, or upstreams; POOL and ZONE may be left out.

    Raises ValueError.
    """
    name, target, max_out, pool, zone = [*text.split("|"), "", ""][:5]
    return BudgetRule(name, target, int(max_out), pool, zone)


def make_drain(
    agreed: ConsensusService, name: str, pool_name: str, header: CommandHeader
) -> DrainCommand:
    """Return the command that drains, or no longer drains, an upstream of a pool or a member.

    Raises CommandError for one that neither this process knows nor is drained already.
    """
    drains = agreed.state_machine.state.drains
    if pool_name:
        pool = agreed.process.pools.get(pool_name)
        if pool is None:
            raise CommandError(f"{pool_name!r} is no pool of this process")
        endpoint = pool.endpoints.get(name)
        if endpoint is None and f"u/{pool_name}/{name}" not in drains:
            raise CommandError(f"{name!r} is no upstream of pool {pool_name}")
        zones = pool.spec.zones
        zone = zones[endpoint.zone] if endpoint and endpoint.zone < len(zones) else ""
        return DrainCommand(header, name, pool_name, zone)
    members = agreed.member_views()
    if name not in members and f"b/{name}" not in drains:
        raise CommandError(f"{name!r} is no member that is known here")
    return DrainCommand(header, name, "", members[name].zone if name in members else "")


def describe_outcome(agreed: ConsensusService, name: str) -> Any:
    """Return the outcome of the command with an id, as far as it is known here."""
    result = agreed.state_machine.state.results.get(parse_id(name))
    if result is None:
        return {"known": False, "leader": agreed.node.leader}
    return {"known": True, "line": result[0], "good": result[1], "text": result[2]}


def submit_file_chunk(agreed: ConsensusService, name: str, value: dict[str, Any]) -> Any:
    """Submit a chunk of a release file, sent in base 64, unless the replicated state holds it.

    Raises CommandError.
    """
    try:
        data = base64.b64decode(str(value["data"]), validate=True)
        chunk = FileChunk(name, int(value["at"]), int(value["size"]), data)
        entry = encode(chunk)
        msgspec.msgpack.decode(entry, type=FileChunk)
    except (KeyError, ValueError, msgspec.ValidationError) as error:
        raise CommandError(f"put: {error}") from None

    def is_applied() -> bool:
        return chunk.offset in agreed.state_machine.state.file_chunks.get(name, {})

    if not is_applied() and not agreed.submit_command(EntryKind.FILE_CHUNK, entry, is_applied):
        raise CommandError("too many pieces are on their way; ask again")
    return {"put": chunk.offset}


def describe_voters(agreed: ConsensusService, name: str, value: dict[str, Any]) -> Any:
    """Return who votes, after adding or removing the member `name` if `do` is add or remove.

    Only the leader changes voters. Raises CommandError.
    """
    node = agreed.node
    config = dict(node.config)
    if action := value.get("do"):
        if node.role != LEADER:
            raise CommandError(
                f"voters are changed at the member that leads: {node.leader or 'none is known'}"
            )
        if action == "add":
            disk, cluster_id = agreed.announced_disks.get(name, (0, 0))
            if not disk or cluster_id != node.cluster_id:
                raise CommandError(f"{name!r} is not here, or has not learned the record")
            config[name] = disk
        elif name in agreed.spec.voters:
            raise CommandError(
                f"{name!r} stands in bank.agreement.voters of {node.name}, which would add it"
            )
        else:
            config.pop(name, None)
        if error := agreed.change_voters(config):
            raise CommandError(error)
        agreed.flush()
    return {
        "leader": node.leader,
        "voters": [
            {
                "name": voter,
                "disk": f"{disk:x}",
                "here": voter == node.name or voter in agreed.connected_members(),
                "same_disk": agreed.announced_disks.get(voter, (disk, 0))[0] == disk,
            }
            for voter, disk in sorted(config.items())
        ],
    }


def history_row(item: HistoryEntry) -> dict[str, Any]:
    """Return one entry of the history as the control socket shows it."""
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
    """Return a release as the control socket shows it."""
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


def describe_status(agreed: ConsensusService) -> Any:
    """Return the consensus status with drains and releases, as this process knows them."""
    state = agreed.state_machine.state
    controller = agreed.controller
    members = agreed.member_views() if controller else {}
    rows = []
    for key, drain in state.drains.items():
        pending = drain.pending
        if controller and drain.phase == DrainPhase.DRAINING:
            pending = describe_pending(controller.find_unconfirmed(key, drain, members))
        rows.append(
            {
                "name": display_name(key),
                "of": "balancers" if key.startswith("b/") else "upstreams",
                "state": drain.phase,
                "permit": drain.permit_number,
                "who": drain.operator,
                "why": drain.reason,
                "wall": drain.wall_ms,
                "left": pending,
            }
        )
    return agreed.status() | {
        "drains": rows,
        "release": release_row(state.rollout) if state.rollout else None,
        "closed": [release_row(rollout) for rollout in state.closed_rollouts],
        "good": state.default_content,
        "good_build": state.default_build,
        "lost": sorted(state.lost),
        "on_their_way": len(agreed.pending_commands),
    }


def describe_budgets(agreed: ConsensusService) -> Any:
    """Return the disruption budgets' rules, and which members and upstreams are out."""
    state = agreed.state_machine.state
    unavailable = find_unavailable(state)
    rules = [
        {
            "name": rule.name,
            "of": rule.target,
            "pool": rule.pool,
            "zone": rule.zone,
            "may": rule.max_out,
            "out": sorted(
                display_name(key)
                for key, location in unavailable.items()
                if rule_applies(rule, location)
            ),
        }
        for rule in state.rules
    ]
    outs = [
        {"name": display_name(key), "why": permit.purpose, "permit": permit.number}
        for key, permit in state.permits.items()
    ]
    outs += [
        {"name": name, "why": "lost", "permit": 0}
        for name in state.lost
        if f"b/{name}" not in state.permits
    ]
    return {"rules": rules, "out": outs}


def describe_file(agreed: ConsensusService, name: str) -> Any:
    """Return a released file, by its name or the default one. Raises CommandError."""
    from whinpier.fleet.consensus.service import decompress_release

    name = name or agreed.state_machine.state.default_content
    data = agreed.state_machine.read_file(name) if name else None
    if data is None:
        raise CommandError(
            f"the record holds no file {name!r}" if name else "nothing was released yet"
        )
    return {"name": hash_file(data), "text": decompress_release(data).decode("utf-8", "replace")}
