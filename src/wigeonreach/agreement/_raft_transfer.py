"""Send a snapshot in chunks to a replica that is too far behind."""

from __future__ import annotations

import msgspec
import xxhash

from wigeonreach.agreement._raft_following import hear_leader, reply
from wigeonreach.agreement._raft_log import RaftLog
from wigeonreach.agreement._raft_state import Incoming, Progress, RaftState
from wigeonreach.agreement._raft_types import Snapshot
from wigeonreach.wire._raft_messages import (
    MemberId,
    SnapshotChunk,
    SnapshotReply,
)

_SNAPSHOT = msgspec.msgpack.Decoder(Snapshot)


def send_chunk(
    state: RaftState,
    member: MemberId,
    progress: Progress,
) -> None:
    """Send the chunk that a replica needs next; one is under way at a time.

    Sending it again, as a heartbeat does, keeps the replica from campaigning
    and covers loss.
    """
    if progress.transfer is None:
        _begin(state, progress)
    assert progress.transfer is not None
    start = progress.sent_offset_bytes
    payload = progress.transfer[start : start + state.settings.chunk_bytes]
    chunk = SnapshotChunk(
        sender=state.me,
        target_incarnation=member.incarnation,
        term=state.hard.term,
        index=progress.transfer_index,
        offset_bytes=start,
        total_bytes=len(progress.transfer),
        checksum=xxhash.xxh3_64_intdigest(payload),
        payload=payload,
    )
    state.send(member, chunk)


def on_snapshot_reply(state: RaftState, message: SnapshotReply) -> None:
    """Send the next chunk."""
    state.see_term(message.term)
    if state.leading is None or message.term < state.hard.term:
        return
    progress = state.leading.progress.get(message.sender)
    if progress is None:
        return
    progress.heard_s = state.now_s
    is_current = message.index == progress.transfer_index
    if progress.transfer is None or not is_current:
        return
    is_new = message.offset_bytes != progress.sent_offset_bytes
    progress.sent_offset_bytes = message.offset_bytes
    if is_new and message.offset_bytes < len(progress.transfer):
        send_chunk(state, message.sender, progress)


def on_chunk(state: RaftState, chunk: SnapshotChunk) -> None:
    """Gather a chunk and install the snapshot once it is whole."""
    if not hear_leader(state, chunk.sender, chunk.term):
        reply(state, chunk.sender, heartbeat_round=0, is_accepted=False)
        return
    if chunk.index <= state.commit_index:
        # Whatever is committed here agrees with the leader.
        state.verified_index = max(state.verified_index, chunk.index)
        state.incoming = None
        reply(state, chunk.sender, heartbeat_round=0, is_accepted=True)
        return
    incoming = _incoming(state, chunk)
    _gather(incoming, chunk)
    if len(incoming.chunks) == chunk.total_bytes:
        _install(state, bytes(incoming.chunks))
        state.incoming = None
    _ask_for_next(state, chunk, len(incoming.chunks))


def take(state: RaftState, index: int, machine_state: bytes) -> None:
    """Keep the state machine's state and trim the log behind it.

    Some entries stay, so that a replica that missed a moment needs no
    snapshot.
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


def _begin(state: RaftState, progress: Progress) -> None:
    assert state.snapshot is not None
    progress.transfer = msgspec.msgpack.encode(state.snapshot)
    progress.transfer_index = state.snapshot.index
    progress.sent_offset_bytes = 0


def _incoming(state: RaftState, chunk: SnapshotChunk) -> Incoming:
    known = state.incoming
    if known is None or (known.index, known.term) != (chunk.index, chunk.term):
        state.incoming = Incoming(chunk.index, chunk.term)
    assert state.incoming is not None
    return state.incoming


def _gather(incoming: Incoming, chunk: SnapshotChunk) -> None:
    is_next = chunk.offset_bytes == len(incoming.chunks)
    if is_next and xxhash.xxh3_64_intdigest(chunk.payload) == chunk.checksum:
        incoming.chunks.extend(chunk.payload)


def _install(state: RaftState, encoded: bytes) -> None:
    snapshot = _SNAPSHOT.decode(encoded)
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
    state.follow_voters()


def _ask_for_next(
    state: RaftState,
    chunk: SnapshotChunk,
    offset_bytes: int,
) -> None:
    state.send(
        chunk.sender,
        SnapshotReply(
            sender=state.me,
            target_incarnation=chunk.sender.incarnation,
            term=state.hard.term,
            index=chunk.index,
            offset_bytes=offset_bytes,
        ),
    )
