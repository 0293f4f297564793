"""Queries of the durable state, their results and their envelopes."""

from __future__ import annotations

from typing import TypeAlias

from wigeonreach.wire._base import WireMessage


class ReadAccepted(WireMessage, frozen=True):
    """Read the accepted text of a version; version 0 is the newest."""

    version: int = 0


class AcceptedText(WireMessage, frozen=True):
    """An accepted text; ``version`` is 0 if no such text is known."""

    version: int
    text: str


class ReadHistory(WireMessage, frozen=True):
    """Read the history of accepted versions, newest first."""

    limit: int = 20


class HistoryEntry(WireMessage, frozen=True):
    """Author, time and summary of the change that made one version."""

    version: int
    command_id: str
    author: str
    at_s: float
    summary: str


class History(WireMessage, frozen=True):
    """History entries, newest first."""

    entries: tuple[HistoryEntry, ...]


class ReadWaves(WireMessage, frozen=True):
    """Read all waves that are recorded."""


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
    """Read the VMs of a pool, or of every pool if ``pool`` is empty."""

    pool: str = ''


class VmRecord(WireMessage, frozen=True):
    """Ownership of a VM: its phase, pool, token and the end of the lease."""

    vm: str
    phase: str
    pool: str
    token: int
    lease_ends_s: float


class Vms(WireMessage, frozen=True):
    """VMs ordered by name; a VM that no pool ever owned is not listed."""

    vms: tuple[VmRecord, ...]


class ReadLease(WireMessage, frozen=True):
    """Read the holder of a named lease."""

    name: str


class LeaseRecord(WireMessage, frozen=True):
    """A named lease; ``holder`` is empty if it was released or never held."""

    name: str
    holder: str
    token: int
    ends_s: float


class ReadProcesses(WireMessage, frozen=True):
    """Read which processes follow the accepted text."""


class ProcessRecord(WireMessage, frozen=True):
    """A process that follows the accepted text."""

    process: str
    zone: str
    registered_s: float


class Processes(WireMessage, frozen=True):
    """Processes ordered by name."""

    processes: tuple[ProcessRecord, ...]


Question: TypeAlias = (
    ReadAccepted | ReadHistory | ReadWaves | ReadVms | ReadLease | ReadProcesses
)
Answer: TypeAlias = (
    AcceptedText | History | Waves | Vms | LeaseRecord | Processes
)


class Submit(WireMessage, frozen=True):
    """Ask a replica to replicate and apply an encoded command."""

    command: bytes


class Submitted(WireMessage, frozen=True):
    """Result of a ``Submit``: a result code and, if 0, the encoded reply."""

    code: int
    detail: str
    reply: bytes


class Ask(WireMessage, frozen=True):
    """Send a query to a replica.

    If ``is_local``, the replica answers from its own, possibly stale state.
    Otherwise it first confirms with a quorum that it has everything that was
    accepted before.
    """

    question: Question
    is_local: bool = False


class Answered(WireMessage, frozen=True):
    """Result of an ``Ask``; ``answer`` is missing unless ``code`` is 0."""

    code: int
    detail: str
    revision: int
    answer: Answer | None = None


StateMessage: TypeAlias = Submit | Submitted | Ask | Answered
