"""Define what is replicated about jobs, the manifest and waves."""

from __future__ import annotations

import enum
from typing import TypeAlias

import msgspec

from wigeonreach.jobs._model import JobSpec, Manifest, RunEnd, TaskKey
from wigeonreach.workspaces import NO_CREDENTIAL, Credential


class Command(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all commands."""


class SetManifest(Command, frozen=True):
    """Put a manifest in force unless a higher version is."""

    manifest: Manifest


class AddJob(Command, frozen=True):
    """Accept a job for a queue.

    Attributes
    ----------
    accepted_ms
        The leader's time of day; 0 if it isn't known.
    credential
        Stands for the workspace whose job it is.
    """

    spec: JobSpec
    queue: str
    accepted_ms: float = 0
    credential: Credential = NO_CREDENTIAL


class CancelJob(Command, frozen=True):
    """Let nothing more of a job start."""

    job_id: str


class RunStarted(msgspec.Struct, frozen=True, array_like=True):
    """A run that is about to be ordered from a worker, on the VM under it."""

    task: TaskKey
    run: int
    worker: str
    vm: str = ''


class RunEnded(msgspec.Struct, frozen=True, array_like=True):
    """How a run ended; ``checkpoint`` is the progress that it saved."""

    task: TaskKey
    run: int
    worker: str
    end: RunEnd
    checkpoint: str = ''


class CrashEvidence(enum.IntEnum):
    """What speaks for it that a run brought its worker down.

    ``SOUND`` speaks against it: the run had worked for long.  The others up to
    ``ALONE`` speak for it, each more than the one before: the worker went down,
    but perhaps after the run's lease, or with others for another cause; other
    work was there that may be the cause as well; nothing else may be, but the
    run had been at work; nothing else may be, and the run had just begun.

    ``UNSETTLED`` is a run whose worker fell silent, until it is known why; then
    another takes its place, or ``EXPLAINED`` if it was for another cause.
    """

    SOUND = 0
    UNCERTAIN = 1
    BESIDE_OTHERS = 2
    AT_WORK = 3
    ALONE = 4
    EXPLAINED = 5
    UNSETTLED = 6


class RunCrashed(msgspec.Struct, frozen=True, array_like=True):
    """A run was on a worker that fell silent, and what that proves.

    Attributes
    ----------
    is_at_start
        The worker was told to start it, and not heard any more.
    """

    task: TaskKey
    run: int
    evidence: CrashEvidence
    is_at_start: bool = False


class BeginTerm(Command, frozen=True):
    """Let only the records of this term's leader count from now on."""

    term: int


class RecordRuns(Command, frozen=True):
    """Note ends, crashes, then starts, as the leader of a term saw them."""

    term: int
    ends: tuple[RunEnded, ...] = ()
    starts: tuple[RunStarted, ...] = ()
    crashes: tuple[RunCrashed, ...] = ()


class ForgetJobs(Command, frozen=True):
    """Drop jobs that ended long ago."""

    job_ids: tuple[str, ...]


class StartWave(Command, frozen=True):
    """Have VMs maintained, at most ``limit`` of them at once.

    Attributes
    ----------
    due_after_s
        How long the operator gives, from when the wave is accepted.
    """

    wave: int
    vms: tuple[str, ...]
    due_after_s: float
    limit: int


class VmStep(enum.IntEnum):
    """How far the maintenance of one VM of a wave is."""

    WAITING = 0
    ORDERED = 1
    DONE = 2
    GONE = 3


class RecordVmStep(Command, frozen=True):
    """Note how far a VM of a wave is, as the leader of a term saw it.

    ``worker`` is the incarnation that the order ends, when one is ordered.
    """

    term: int
    wave: int
    vm: str
    step: VmStep
    worker: str = ''


class RecordVmOrders(Command, frozen=True):
    """Note that VMs are about to be ordered, as the leader of a term.

    Attributes
    ----------
    workers
        For each of the VMs, the incarnation that its order ends, or nothing.
    settled
        VMs whose last order was answered so long ago that any leader may give
        them another.
    answered
        VMs whose last order was answered just now.
    """

    term: int
    vms: tuple[str, ...]
    settled: tuple[str, ...] = ()
    answered: tuple[str, ...] = ()
    workers: tuple[str, ...] = ()


AnyCommand: TypeAlias = (
    AddJob
    | BeginTerm
    | CancelJob
    | ForgetJobs
    | RecordRuns
    | RecordVmOrders
    | RecordVmStep
    | SetManifest
    | StartWave
)


class Verdict(enum.IntEnum):
    """What became of a command."""

    DONE = 0
    KNOWN = 1
    UNKNOWN = 2
    NO_QUEUE = 3
    OUTDATED = 4
    UNAUTHORIZED = 5
    OTHERS = 6


class CommandReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to whoever proposed a command.

    ``version`` is the manifest's version in force.
    """

    verdict: Verdict
    version: int = 0


def encode_command(command: Command) -> bytes:
    """Return the bytes that are replicated."""
    return msgspec.msgpack.encode(command)


def decode_reply(encoded: bytes) -> CommandReply:
    """Return the reply that a replica gave."""
    return msgspec.msgpack.decode(encoded, type=CommandReply)
