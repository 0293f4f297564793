"""Take snapshots, and send them in chunks to replicas that lag too far."""

from __future__ import annotations

import msgspec
import xxhash

from wigeonreach.agreement._raft_following import (
    accept_leader,
    send_append_reply,
)
from wigeonreach.agreement._raft_log import RaftLog
from wigeonreach.agreement._raft_state import (
    IncomingSnapshot,
    Progress,
    RaftState,
)
from wigeonreach.agreement._raft_types import Snapshot
from wigeonreach.wire._raft_messages import (
    MemberId,
    SnapshotChunk,
    SnapshotReply,
)

_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)


def send_chunk(
    state: RaftState,
    member: MemberId,
    progress: Progress,
) -> None:
    """Send the next chunk of a snapshot; one is in flight at a time.

    Each heartbeat sends the chunk again, which makes up for lost chunks and
    keeps the replica from starting an election.
    """
    if progress.encoded_snapshot is None:
        _start_transfer(state, progress)
    assert progress.encoded_snapshot is not None
    start = progress.sent_offset_bytes
    payload = progress.encoded_snapshot[
        start : start + state.settings.chunk_bytes
    ]
    chunk = SnapshotChunk(
        sender=state.me,
        target_incarnation=member.incarnation,
        term=state.hard_state.term,
        index=progress.snapshot_index,
        offset_bytes=start,
        total_bytes=len(progress.encoded_snapshot),
        checksum=xxhash.xxh3_64_intdigest(payload),
        payload=payload,
    )
    state.send(member, chunk)


def on_snapshot_reply(state: RaftState, message: SnapshotReply) -> None:
    """Send the chunk at the offset that a replica asks for."""
    state.observe_term(message.term)
    if state.leader_state is None or message.term < state.hard_state.term:
        return
    progress = state.leader_state.progress.get(message.sender)
    if progress is None:
        return
    progress.last_heard_s = state.now_s
    is_current = message.index == progress.snapshot_index
    if progress.encoded_snapshot is None or not is_current:
        return
    is_new = message.offset_bytes != progress.sent_offset_bytes
    progress.sent_offset_bytes = message.offset_bytes
    if is_new and message.offset_bytes < len(progress.encoded_snapshot):
        send_chunk(state, message.sender, progress)


def on_chunk(state: RaftState, chunk: SnapshotChunk) -> None:
    """Store a chunk, and install the snapshot once it is complete."""
    if not accept_leader(state, chunk.sender, chunk.term):
        send_append_reply(
            state, chunk.sender, heartbeat_round=0, is_accepted=False
        )
        return
    if chunk.index <= state.commit_index:
        # Committed entries always match those of the leader.
        state.verified_index = max(state.verified_index, chunk.index)
        state.incoming_snapshot = None
        send_append_reply(
            state, chunk.sender, heartbeat_round=0, is_accepted=True
        )
        return
    incoming = _current_transfer(state, chunk)
    _append_chunk(incoming, chunk)
    if len(incoming.chunks) == chunk.total_bytes:
        _install(state, bytes(incoming.chunks))
        state.incoming_snapshot = None
    _request_chunk(state, chunk, len(incoming.chunks))


def store_snapshot(state: RaftState, index: int, machine_state: bytes) -> None:
    """Store a snapshot of the state machine and compact the log.

    The last entries before the snapshot are kept, so that a replica that
    lags only a little does not need the snapshot.
    """
    if state.snapshot is not None and index <= state.snapshot.index:
        return
    term = state.log.term_at(index)
    assert term is not None
    state.snapshot = Snapshot(
        index=index,
        term=term,
        voters=state.log.voters_at(index),
        state=machine_state,
    )
    state.log.compact(index - state.settings.trailing_entries)
    state.write(snapshot=state.snapshot)


def _start_transfer(state: RaftState, progress: Progress) -> None:
    assert state.snapshot is not None
    progress.encoded_snapshot = msgspec.msgpack.encode(state.snapshot)
    progress.snapshot_index = state.snapshot.index
    progress.sent_offset_bytes = 0


def _current_transfer(
    state: RaftState, chunk: SnapshotChunk
) -> IncomingSnapshot:
    known = state.incoming_snapshot
    if known is None or (known.index, known.term) != (chunk.index, chunk.term):
        state.incoming_snapshot = IncomingSnapshot(chunk.index, chunk.term)
    assert state.incoming_snapshot is not None
    return state.incoming_snapshot


def _append_chunk(incoming: IncomingSnapshot, chunk: SnapshotChunk) -> None:
    is_next = chunk.offset_bytes == len(incoming.chunks)
    if is_next and xxhash.xxh3_64_intdigest(chunk.payload) == chunk.checksum:
        incoming.chunks.extend(chunk.payload)


def _install(state: RaftState, encoded: bytes) -> None:
    snapshot = _SNAPSHOT_DECODER.decode(encoded)
    if state.log.term_at(snapshot.index) == snapshot.term:
        state.log.compact(snapshot.index)
    else:
        state.log = RaftLog(snapshot.index, snapshot.term, snapshot.voters)
        state.synced_index = min(state.synced_index, snapshot.index - 1)
    state.snapshot = snapshot
    state.commit_index = snapshot.index
    state.applied_index = snapshot.index
    state.verified_index = max(state.verified_index, snapshot.index)
    state.output.restored = snapshot
    state.output.committed.clear()
    state.write(snapshot=snapshot)
    state.update_voter_role()


def _request_chunk(
    state: RaftState,
    chunk: SnapshotChunk,
    offset_bytes: int,
) -> None:
    state.send(
        chunk.sender,
        SnapshotReply(
            sender=state.me,
            target_incarnation=chunk.sender.incarnation,
            term=state.hard_state.term,
            index=chunk.index,
            offset_bytes=offset_bytes,
        ),
    )
