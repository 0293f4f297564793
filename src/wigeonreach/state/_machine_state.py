"""Hold all state that survives, in a form that a snapshot can carry."""

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
    """How much the state remembers."""

    history: int = 4096
    history_bytes: int = 4 * 1024 * 1024
    results: int = 8192
    result_age: int = 65_536
    ended_waves: int = 256


class PastVersion(msgspec.Struct, frozen=True, array_like=True):
    """One accepted version and the edits back to the one before it."""

    entry: HistoryEntry
    back_edits: tuple[LineEdit, ...]
    size_bytes: int


class AcceptedState(msgspec.Struct):
    """The accepted text and how it came about, oldest version first."""

    version: int = 0
    text: str = ''
    past: list[PastVersion] = []
    past_bytes: int = 0


class KnownResult(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a command, and when it was given.

    ``text_version`` is the version that an accepted change of the text made,
    and 0 for every other command.
    """

    revision: int
    reply: Reply
    text_version: int = 0


class ResultTable(msgspec.Struct):
    """Replies to recent commands by id, oldest first.

    ``forgotten_revision`` is the highest revision whose reply was dropped,
    ``forgotten_version`` the highest version of the text among those.
    """

    results: dict[str, KnownResult] = {}
    forgotten_revision: int = 0
    forgotten_version: int = 0


class MachineState(msgspec.Struct):
    """All state that survives.

    ``clock_s`` is the highest time that a command carried, in seconds of Unix
    time; ``vm_token`` is the newest token that was granted for any VM.
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
