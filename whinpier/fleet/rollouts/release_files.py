"""The released files, stored in chunks in the replicated state.

Decides which files are held. Invariants: at most MAX_FILES files are held; a file that a member is
assigned or could be rolled back to is never dropped.
"""

from __future__ import annotations

import hashlib

from whinpier.fleet.rollouts.commands import MAX_FILES, FileChunk
from whinpier.fleet.rollouts.model import ReplicatedState


def store_chunk(state: ReplicatedState, chunk: FileChunk) -> None:
    """Store a chunk; ignore it if there is no room for its file or it exceeds the file's size."""
    chunks = state.file_chunks.get(chunk.content_hash)
    if chunks is None:
        _drop_unused_files(state)
        if len(state.file_chunks) >= MAX_FILES:
            return
        chunks = {}
        state.file_chunks[chunk.content_hash] = chunks
        state.file_sizes[chunk.content_hash] = chunk.file_size
    if chunk.offset + len(chunk.data) <= state.file_sizes[chunk.content_hash]:
        chunks[chunk.offset] = chunk.data


def _drop_unused_files(state: ReplicatedState) -> None:
    """Make room for one more file by dropping unused ones, the oldest first."""
    used = _find_used_files(state)
    for content_hash in list(state.file_chunks):
        if len(state.file_chunks) < MAX_FILES:
            return
        if content_hash not in used:
            del state.file_chunks[content_hash]
            del state.file_sizes[content_hash]


def _find_used_files(state: ReplicatedState) -> set[str]:
    """Return the hashes of files that are assigned, or that a rollback could need."""
    used = {state.default_content, *state.assigned_content.values()}
    rollouts = state.closed_rollouts[-1:]
    if state.rollout is not None:
        rollouts.append(state.rollout)
    for rollout in rollouts:
        used.add(rollout.command.content_hash)
        used.add(rollout.previous_default)
        used.update(rollout.previous.values())
    return used


def read_file(state: ReplicatedState, content_hash: str) -> bytes | None:
    """Return a file, still compressed, or None while chunks of it are missing."""
    chunks = state.file_chunks.get(content_hash)
    if chunks is None or sum(map(len, chunks.values())) < state.file_sizes[content_hash]:
        return None
    return b"".join(data for _, data in sorted(chunks.items()))


def hash_file(data: bytes) -> str:
    """Return the hash that identifies a file."""
    return hashlib.blake2b(data, digest_size=10, person=b"release").hexdigest()
