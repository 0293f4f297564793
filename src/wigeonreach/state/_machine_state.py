"""Records of the replicated state, as they are stored in snapshots."""

from __future__ import annotations

import msgspec

from wigeonreach.rollout import LineEdit
from wigeonreach.wire._command_messages import Reply
from wigeonreach.wire._state_messages import (
    HistoryEntry,
    LeaseRecord,
    ProcessRecord,
    VmRecord,
    WaveRecord,
)


class Limits(msgspec.Struct, frozen=True):
    """How much the state remembers.

    ``history`` and ``history_bytes`` limit the past versions of the text,
    ``results`` and ``result_age`` (in revisions) the replies to commands,
    ``ended_waves`` the waves that ended.
    """

    history: int = 4096
    history_bytes: int = 4 * 1024 * 1024
    results: int = 8192
    result_age: int = 65_536
    ended_waves: int = 256


class PastVersion(msgspec.Struct, frozen=True, array_like=True):
    """One accepted version and the edits that restore the one before it."""

    entry: HistoryEntry
    back_edits: tuple[LineEdit, ...]
    size_bytes: int


class AcceptedState(msgspec.Struct):
    """The newest accepted text and its past versions, oldest first."""

    version: int = 0
    text: str = ''
    past: list[PastVersion] = []
    past_bytes: int = 0


class KnownResult(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a command, and the revision at which it was executed.

    ``text_version`` is the version that an accepted change of the text
    created, and 0 for every other command.
    """

    revision: int
    reply: Reply
    text_version: int = 0


class ResultTable(msgspec.Struct):
    """Replies to recent commands by command id, oldest first.

    ``forgotten_revision`` is the highest revision whose reply was dropped,
    ``forgotten_version`` the highest text version among the dropped replies.
    """

    results: dict[str, KnownResult] = {}
    forgotten_revision: int = 0
    forgotten_version: int = 0


class MachineState(msgspec.Struct):
    """The whole replicated state.

    ``revision`` counts applied commands; ``clock_s`` is the latest time that a
    command carried, Unix time in seconds; ``vm_token`` is the highest token
    that was granted for any VM.
    """

    revision: int = 0
    clock_s: float = 0.0
    accepted: AcceptedState = msgspec.field(default_factory=AcceptedState)
    results: ResultTable = msgspec.field(default_factory=ResultTable)
    waves: dict[str, WaveRecord] = {}
    vms: dict[str, VmRecord] = {}
    vm_token: int = 0
    leases: dict[str, LeaseRecord] = {}
    processes: dict[str, ProcessRecord] = {}
