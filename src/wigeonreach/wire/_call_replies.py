"""Replies to the calls of callers, workers and operators."""

from __future__ import annotations

import enum
from typing import TypeAlias

import msgspec

from wigeonreach.jobs._model import JobPhase
from wigeonreach.wire._worker_messages import WorkerOrders
from wigeonreach.workspaces import Denial


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all replies."""


class Done(Reply, frozen=True):
    """The call has had its effect, and lasts."""


class JobState(Reply, frozen=True):
    """Where a job is."""

    phase: JobPhase
    has_started: bool


class WaitingJobs(Reply, frozen=True):
    """How many accepted jobs of a queue have not started."""

    count: int


class ManifestText(Reply, frozen=True):
    """The newest manifest as its operator sent it."""

    document: bytes


class WaveState(Reply, frozen=True):
    """Whether a wave is done."""

    is_done: bool


class Orders(Reply, frozen=True):
    """Answer to a heartbeat."""

    orders: WorkerOrders


class NotFound(Reply, frozen=True):
    """There is no such queue, or no manifest names it any more."""


class NoSuchJob(Reply, frozen=True):
    """No such job is known."""


class Unauthorized(Reply, frozen=True):
    """The call's credential stands for no workspace; nothing changed.

    Attributes
    ----------
    workspace
        Whose credential it was; it is told to nobody but the log.
    version
        Of the manifest by which it was refused.
    """

    denial: Denial
    workspace: str = ''
    version: int = 0


class Forbidden(Reply, frozen=True):
    """The job is of another workspace than its caller; nothing changed.

    ``workspace`` is the caller's; it is told to nobody but the log.
    """

    workspace: str


class Invalid(Reply, frozen=True):
    """The call itself is wrong; nothing changed."""

    detail: str


class WhyNot(enum.StrEnum):
    """Why a call had no effect."""

    NO_LEADER = 'no-leader'
    NO_MANIFEST = 'no-manifest'
    OVERLOADED = 'overloaded'
    SHUTTING_DOWN = 'shutting-down'


class NotDone(Reply, frozen=True):
    """The call truly had no effect, and this very call never will."""

    reason: WhyNot
    retry_after_s: int = 1


def lacks_leader(reply: Reply) -> bool:
    """Whether whoever answered does not lead and knows nobody who does."""
    return isinstance(reply, NotDone) and reply.reason is WhyNot.NO_LEADER


class Unknown(Reply, frozen=True):
    """Whether the call has had its effect is not known."""


AnyReply: TypeAlias = (
    Done
    | Forbidden
    | Invalid
    | JobState
    | ManifestText
    | NoSuchJob
    | NotDone
    | NotFound
    | Orders
    | Unauthorized
    | Unknown
    | WaitingJobs
    | WaveState
)
