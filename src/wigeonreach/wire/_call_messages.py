"""Calls that clients, workers and operators make to a core process."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from wigeonreach.jobs._model import JobSpec, Manifest
from wigeonreach.wire._base import WireMessage
from wigeonreach.wire._call_replies import AnyReply
from wigeonreach.wire._worker_messages import WorkerReport
from wigeonreach.workspaces import NO_CREDENTIAL, Credential


class Call(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all calls.

    Calls are idempotent: a call that is repeated takes effect once.
    """


class QueueCall(Call, frozen=True):
    """Base of the calls that identify a queue by host and path."""

    host: str
    path: str


class SubmitJob(QueueCall, frozen=True):
    """Submit a job; its id is the part of the path after the queue's prefix."""

    spec: JobSpec
    credential: Credential = NO_CREDENTIAL

    def spec_for(self, job_id: str) -> JobSpec:
        """Return the job with the id that was parsed from the path."""
        return msgspec.structs.replace(self.spec, job_id=job_id)


class ReadJob(QueueCall, frozen=True):
    """Read the state of a job, or how many jobs of a queue wait."""

    credential: Credential = NO_CREDENTIAL


class CancelJobCall(QueueCall, frozen=True):
    """Cancel a job: none of its tasks is started any more."""

    credential: Credential = NO_CREDENTIAL


class ReadManifest(Call, frozen=True):
    """Return the newest manifest."""


class PutManifest(Call, frozen=True):
    """Replace the manifest in force."""

    manifest: Manifest


class StartWaveCall(Call, frozen=True):
    """Start a maintenance wave over some VMs.

    Attributes
    ----------
    due_after_s
        Time allowed for the wave, in seconds.
    limit
        How many of its VMs may be down at the same time.
    """

    wave: int
    vms: tuple[str, ...]
    due_after_s: float
    limit: int


class ReadWave(Call, frozen=True):
    """Read whether a wave is done."""

    wave: int


class HearWorker(Call, frozen=True):
    """Deliver a worker's heartbeat; the reply holds its orders."""

    report: WorkerReport


class DropWorker(Call, frozen=True):
    """Deregister a worker that is shutting down.

    ``worker`` is the name of its incarnation, or the worker's id if it did
    not report when it started.
    """

    worker: str


AnyCall: TypeAlias = (
    CancelJobCall
    | DropWorker
    | HearWorker
    | PutManifest
    | ReadJob
    | ReadManifest
    | ReadWave
    | StartWaveCall
    | SubmitJob
)


# Calls made by clients on behalf of a workspace.
WorkspaceCall: TypeAlias = CancelJobCall | ReadJob | SubmitJob

# Calls whose effect nobody depends on: if the reply is lost, it is correct to
# report that the call did not run.
READS = (HearWorker, ReadJob, ReadManifest, ReadWave)


class CallRequest(WireMessage, frozen=True):
    """A call on a channel to a core process.

    ``hops_left`` limits how many more times it may be forwarded.
    """

    number: int
    hops_left: int
    call: AnyCall


class CallReply(WireMessage, frozen=True):
    """The reply to the ``CallRequest`` of the same number."""

    number: int
    reply: AnyReply


class CoreHello(WireMessage, frozen=True):
    """First message to a core process: asks for ``CoreNotice`` messages."""

    process: str


class CoreNotice(WireMessage, frozen=True):
    """The leader and all core processes, as far as the sender knows.

    Sent immediately on every change, and periodically so that the receiver
    detects a channel that went silent.  ``version`` is the version of the
    sender's manifest.
    """

    leader: str
    cores: tuple[str, ...]
    term: int
    version: int = 0


CallMessage: TypeAlias = CallReply | CallRequest | CoreHello | CoreNotice
