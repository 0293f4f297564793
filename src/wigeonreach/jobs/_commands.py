"""Commands of the replicated state machine for jobs, manifest and waves."""

from __future__ import annotations

import enum
from typing import TypeAlias

import msgspec

from wigeonreach.jobs._model import JobSpec, Manifest, RunEnd, TaskKey
from wigeonreach.workspaces import NO_CREDENTIAL, Credential


class Command(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all commands; the class name is the tag on the wire and on disk."""


class SetManifest(Command, frozen=True):
    """Activate a manifest if its version is higher than the active one's."""

    manifest: Manifest


class AddJob(Command, frozen=True):
    """Accept a job for a queue.

    Attributes
    ----------
    accepted_ms
        The leader's wall clock time in milliseconds; 0 if unknown.
    credential
        Identifies the workspace that owns the job.
    """

    spec: JobSpec
    queue: str
    accepted_ms: float = 0
    credential: Credential = NO_CREDENTIAL


class CancelJob(Command, frozen=True):
    """Cancel a job: no further run of it starts.

    Attributes
    ----------
    owner
        The workspace that may own the job: if the job is not known, it is
        cancelled when it is submitted.  None, in the commands of earlier
        versions, cancels a known job of any workspace.
    """

    job_id: str
    owner: str | None = None


class EarlyCancel(msgspec.Struct, frozen=True, array_like=True):
    """The cancel of a job that was not known.

    Attributes
    ----------
    job_id
        Id of the job.
    owner
        The workspace that may own it.
    count
        How often it was cancelled.
    """

    job_id: str
    owner: str
    count: int


class RunStarted(msgspec.Struct, frozen=True, array_like=True):
    """A run that is about to be sent to a worker, and the worker's VM."""

    task: TaskKey
    run: int
    worker: str
    vm: str = ''


class RunEnded(msgspec.Struct, frozen=True, array_like=True):
    """How a run ended.

    Attributes
    ----------
    checkpoint
        Its saved progress, if any.
    may_have_begun
        Whether its worker may have begun the run before it was lost.
    """

    task: TaskKey
    run: int
    worker: str
    end: RunEnd
    checkpoint: str = ''
    may_have_begun: bool = True


class CrashEvidence(enum.IntEnum):
    """How strongly the loss of a worker suggests that a run crashed it.

    ``SOUND`` clears the run, which had worked for a long time.  The suspicion
    that the run crashed its worker grows from ``UNCERTAIN`` to ``ALONE``:

    - ``UNCERTAIN``: the worker went down, but perhaps after the run's lease,
      or together with other workers for another cause;
    - ``BESIDE_OTHERS``: other work on the worker, or its VM, may be the cause;
    - ``AT_WORK``: a heartbeat had listed the run, and all runs of other jobs on
      the worker were sound, so that none of them can be the cause;
    - ``ALONE``: no heartbeat had listed the run, and no run of another job on
      the worker had just begun or was of a task with earlier crashes.

    ``UNSETTLED`` means that the worker stopped responding and the cause is
    still unknown.  Another value replaces it later: ``EXPLAINED`` if the cause
    was unrelated to the run.
    """

    SOUND = 0
    UNCERTAIN = 1
    BESIDE_OTHERS = 2
    AT_WORK = 3
    ALONE = 4
    EXPLAINED = 5
    UNSETTLED = 6


class RunCrashed(msgspec.Struct, frozen=True, array_like=True):
    """Evidence whether a run crashed its worker, which stopped responding.

    Attributes
    ----------
    is_at_start
        Whether no heartbeat came after the worker was told to start the run.
    has_returned
        Whether the worker was heard again, so that it never went down.
    is_coincident
        Whether a worker that failed by itself was lost at the same moment.
    """

    task: TaskKey
    run: int
    evidence: CrashEvidence
    is_at_start: bool = False
    has_returned: bool = False
    is_coincident: bool = False


class BeginTerm(Command, frozen=True):
    """Reject records of the leaders of earlier terms from now on."""

    term: int


class RecordRuns(Command, frozen=True):
    """Record ends, crashes, then starts, as seen by the leader of a term."""

    term: int
    ends: tuple[RunEnded, ...] = ()
    starts: tuple[RunStarted, ...] = ()
    crashes: tuple[RunCrashed, ...] = ()


class ForgetJobs(Command, frozen=True):
    """Delete jobs that ended and have no assigned runs, and early cancels.

    An early cancel that was repeated in between stays.
    """

    job_ids: tuple[str, ...]
    early_cancels: tuple[EarlyCancel, ...] = ()


class StartWave(Command, frozen=True):
    """Start a maintenance wave over VMs, at most ``limit`` of them at once.

    Attributes
    ----------
    due_after_s
        Deadline in seconds, counted from when the wave is accepted.
    """

    wave: int
    vms: tuple[str, ...]
    due_after_s: float
    limit: int


class VmStep(enum.IntEnum):
    """State of the maintenance of one VM of a wave."""

    WAITING = 0
    ORDERED = 1
    DONE = 2
    # The platform refused the VM for good, for example as not part of the wave.
    GONE = 3


class RecordVmStep(Command, frozen=True):
    """Record the maintenance state of a VM, as seen by the leader of a term.

    ``worker`` is the worker incarnation that the order terminates; only given
    for ``VmStep.ORDERED``.
    """

    term: int
    wave: int
    vm: str
    step: VmStep
    worker: str = ''


class RecordVmOrders(Command, frozen=True):
    """Record orders that the leader of a term is about to send for VMs.

    Attributes
    ----------
    workers
        For each of the VMs, the worker incarnation that its order terminates,
        or an empty string.
    settled
        VMs whose last order was answered so long ago that any leader may send
        another.
    answered
        VMs whose last order was answered since the previous record.
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


class CommandResult(enum.IntEnum):
    """Result of applying a command."""

    DONE = 0
    KNOWN = 1
    UNKNOWN = 2
    NO_QUEUE = 3
    OUTDATED = 4
    UNAUTHORIZED = 5
    OTHERS = 6
    # A job is cancelled by a cancel that came before it.
    CANCELLED = 7
    # Too many cancels of unknown jobs are remembered.
    FULL = 8


class CommandReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to the proposer of a command.

    ``version`` is the version of the active manifest in the reply to
    ``SetManifest``, and 0 in all others.
    """

    verdict: CommandResult
    version: int = 0


def encode_command(command: Command) -> bytes:
    """Serialize a command for replication."""
    return msgspec.msgpack.encode(command)


def decode_reply(encoded: bytes) -> CommandReply:
    """Deserialize the reply that ``JobStore.apply`` returned."""
    return msgspec.msgpack.decode(encoded, type=CommandReply)
