"""Calls of callers, workers and operators."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from wigeonreach.jobs._model import JobSpec, Manifest
from wigeonreach.wire._base import WireMessage
from wigeonreach.wire._call_replies import AnyReply
from wigeonreach.wire._worker_messages import WorkerReport
from wigeonreach.workspaces import NO_CREDENTIAL, Credential


class Call(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all calls.  Each may be made again: it has one effect."""


class QueueCall(Call, frozen=True):
    """Base of the calls that name a queue by host and path."""

    host: str
    path: str


class SubmitJob(QueueCall, frozen=True):
    """Accept a job; its id is what follows the queue's prefix."""

    spec: JobSpec
    credential: Credential = NO_CREDENTIAL

    def spec_for(self, job_id: str) -> JobSpec:
        """Return the job with the id that its path turned out to hold."""
        return msgspec.structs.replace(self.spec, job_id=job_id)


class ReadJob(QueueCall, frozen=True):
    """Tell where a job is."""

    credential: Credential = NO_CREDENTIAL


class CancelJobCall(QueueCall, frozen=True):
    """Let nothing more of a job start."""

    credential: Credential = NO_CREDENTIAL


class ReadManifest(Call, frozen=True):
    """Return the newest manifest."""


class PutManifest(Call, frozen=True):
    """Put a manifest in force."""

    manifest: Manifest


class StartWaveCall(Call, frozen=True):
    """Have VMs maintained."""

    wave: int
    vms: tuple[str, ...]
    due_after_s: float
    limit: int


class ReadWave(Call, frozen=True):
    """Tell whether a wave is done."""

    wave: int


class HearWorker(Call, frozen=True):
    """Take a worker's heartbeat and return its orders."""

    report: WorkerReport


class DropWorker(Call, frozen=True):
    """Take note that a worker ends now.

    ``worker`` is the name of the incarnation, or an id where the start is not
    told.
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


# Calls that a workspace makes.
WorkspaceCall: TypeAlias = CancelJobCall | ReadJob | SubmitJob

# Calls without an effect that anybody could miss: one whose reply is lost may
# truly be said not to have run.
READS = (HearWorker, ReadJob, ReadManifest, ReadWave)


class CallRequest(WireMessage, frozen=True):
    """A call on a channel to a core process.

    ``hops_left`` bounds how often it may be passed on.
    """

    number: int
    hops_left: int
    call: AnyCall


class CallReply(WireMessage, frozen=True):
    """The reply to the call of a number."""

    number: int
    reply: AnyReply


class CoreHello(WireMessage, frozen=True):
    """First message to a core process: tell me where the others are."""

    process: str


class CoreNotice(WireMessage, frozen=True):
    """Who leads and which core processes there are, as the sender knows it.

    Sent at once when it changes, and regularly, so that a channel that went
    silent shows.  ``version`` is that of the manifest that the sender has.
    """

    leader: str
    cores: tuple[str, ...]
    term: int
    version: int = 0


CallMessage: TypeAlias = CallReply | CallRequest | CoreHello | CoreNotice
