"""Questions about the durable state, their answers and their envelopes."""

from __future__ import annotations

from typing import TypeAlias

from wigeonreach.wire._base import WireMessage


class ReadAccepted(WireMessage, frozen=True):
    """Ask for the newest accepted text, or for that of one version.

    ``version`` 0 stands for the newest.
    """

    version: int = 0


class AcceptedText(WireMessage, frozen=True):
    """An accepted text; ``version`` is 0 where none was accepted yet."""

    version: int
    text: str


class ReadHistory(WireMessage, frozen=True):
    """Ask who changed what, newest first."""

    limit: int = 20


class HistoryEntry(WireMessage, frozen=True):
    """Who made one version, when, and what changed."""

    version: int
    command_id: str
    author: str
    at_s: float
    summary: str


class History(WireMessage, frozen=True):
    """Entries, newest first."""

    entries: tuple[HistoryEntry, ...]


class ReadWaves(WireMessage, frozen=True):
    """Ask for all waves that are remembered."""


class WaveRecord(WireMessage, frozen=True):
    """A wave: its phase, and its progress as an opaque body."""

    wave_id: str
    version: int
    phase: str
    author: str
    at_s: float
    body: bytes


class Waves(WireMessage, frozen=True):
    """Waves, oldest first."""

    waves: tuple[WaveRecord, ...]


class ReadVms(WireMessage, frozen=True):
    """Ask for the VMs of a pool, or of every pool if ``pool`` is empty."""

    pool: str = ''


class VmRecord(WireMessage, frozen=True):
    """Who owns a VM: its phase, pool, token and the end of the lease."""

    vm: str
    phase: str
    pool: str
    token: int
    lease_ends_s: float


class Vms(WireMessage, frozen=True):
    """VMs by name; one that no pool ever owned is missing."""

    vms: tuple[VmRecord, ...]


class ReadLease(WireMessage, frozen=True):
    """Ask who holds a named lease."""

    name: str


class LeaseRecord(WireMessage, frozen=True):
    """A named lease; ``holder`` is empty where it was given up."""

    name: str
    holder: str
    token: int
    ends_s: float


class ReadProcesses(WireMessage, frozen=True):
    """Ask which processes follow the accepted text."""


class ProcessRecord(WireMessage, frozen=True):
    """A process that follows the accepted text."""

    process: str
    zone: str
    registered_s: float


class Processes(WireMessage, frozen=True):
    """Processes by name."""

    processes: tuple[ProcessRecord, ...]


Question: TypeAlias = (
    ReadAccepted | ReadHistory | ReadWaves | ReadVms | ReadLease | ReadProcesses
)
Answer: TypeAlias = (
    AcceptedText | History | Waves | Vms | LeaseRecord | Processes
)


class Submit(WireMessage, frozen=True):
    """Ask a replica to have an encoded command agreed on and applied."""

    command: bytes


class Submitted(WireMessage, frozen=True):
    """What became of it: a result code and, if 0, the encoded reply."""

    code: int
    detail: str
    reply: bytes


class Ask(WireMessage, frozen=True):
    """Ask a replica a question.

    With ``is_local`` the replica answers from what it has; without, it first
    confirms with a quorum that it has everything accepted before.
    """

    question: Question
    is_local: bool = False


class Answered(WireMessage, frozen=True):
    """An answer: ``answer`` is missing where ``code`` is not 0."""

    code: int
    detail: str
    revision: int
    answer: Answer | None = None


StateMessage: TypeAlias = Submit | Submitted | Ask | Answered
