"""Send task actions to the platform, each taking effect at most once."""

from __future__ import annotations

import asyncio
import enum
import functools
from collections.abc import Iterable, Iterator

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import PlatformError, StateError
from wigeonreach.fleet._placement import LEASE_S
from wigeonreach.fleet._placement_model import (
    Effect,
    ReportRun,
    SetAside,
    StartTask,
    StopTask,
    TaskChanged,
    TaskEnd,
    ThrottleTask,
)
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.provider import ActionKind, Platform, TaskAction
from wigeonreach.state import StateAccess
from wigeonreach.wire._command_messages import AcquireLease

# Ten years: a claim must never expire, or the job could be started again.
_CLAIM_DURATION_S = 10 * 365 * 86_400.0
_FIRST_TOKEN = 1


class _Claim(enum.Enum):
    """Result of claiming the start of a non-idempotent job."""

    GRANTED = 1
    REFUSED = 2
    UNKNOWN = 3


class JobActions:
    """Pending actions, resent until the platform confirms or fences them.

    Parameters
    ----------
    holder
        Name of the manager.
    platform, state
        Services to which actions and claims are sent.
    metrics, logger
        For actions sent and jobs not run.
    """

    def __init__(
        self,
        holder: str,
        platform: Platform,
        state: StateAccess,
        metrics: Metrics,
        logger: Logger,
    ) -> None:
        """Start with no pending action."""
        self._holder = holder
        self._platform = platform
        self._state = state
        self._metrics = metrics
        self._log = logger
        self._pending: dict[str, TaskAction] = {}

    def add(self, effects: Iterable[Effect]) -> None:
        """Queue the actions of placement effects."""
        for effect in effects:
            self._report(effect)
            for action in _actions(effect):
                self._pending[action.action_id] = action

    async def send(self, non_idempotent: frozenset[str]) -> list[TaskChanged]:
        """Send all pending actions.

        Parameters
        ----------
        non_idempotent
            Ids of non-idempotent jobs, which must be started at most once.

        Returns
        -------
        list of TaskChanged
            Failures of jobs whose start had already been claimed.
        """
        by_worker: dict[str, list[TaskAction]] = {}
        for action in self._pending.values():
            by_worker.setdefault(action.worker, []).append(action)
        ends = await asyncio.gather(
            *(
                self._send_to_worker(actions, non_idempotent)
                for actions in by_worker.values()
            ),
        )
        return [end for worker_ends in ends for end in worker_ends]

    async def _send_to_worker(
        self,
        actions: list[TaskAction],
        non_idempotent: frozenset[str],
    ) -> list[TaskChanged]:
        ends: list[TaskChanged] = []
        # Actions of one worker keep their order, because a stop frees the
        # resources that a later start needs.
        for action in actions:
            claim = await self._claim_for(action, non_idempotent)
            if claim is _Claim.REFUSED:
                self._pending.pop(action.action_id)
                ends.append(_possible_run(action))
            elif claim is _Claim.UNKNOWN or not await self._send(action):
                break
        return ends

    async def _claim_for(
        self,
        action: TaskAction,
        non_idempotent: frozenset[str],
    ) -> _Claim:
        if action.kind is ActionKind.START and action.job_id in non_idempotent:
            return await self._claim(action)
        return _Claim.GRANTED

    async def _claim(self, action: TaskAction) -> _Claim:
        """Record a durable claim, so that the job is never started twice."""
        claim = AcquireLease(
            f'job/{action.job_id}',
            self._holder,
            _CLAIM_DURATION_S,
        )
        try:
            reply = await self._state.submit(claim, f'job/{action.action_id}')
        except StateError:
            self._metrics.count('job_claims_unknown')
            return _Claim.UNKNOWN
        is_first = reply.code == ResultCode.OK and reply.token == _FIRST_TOKEN
        return _Claim.GRANTED if is_first else _Claim.REFUSED

    async def _send(self, action: TaskAction) -> bool:
        self._metrics.count('task_actions', action.kind.value)
        try:
            await self._platform.act(action)
        except PlatformError as error:
            if error.code is ResultCode.PLATFORM_FENCED:
                self._pending.pop(action.action_id)
            return False
        self._pending.pop(action.action_id)
        return True

    def _report(self, effect: Effect) -> None:
        if isinstance(effect, SetAside):
            event = LogEvent.JOB_SET_ASIDE
        elif isinstance(effect, ReportRun):
            event = LogEvent.JOB_MAY_HAVE_RUN
        else:
            return
        self._metrics.count('jobs_not_run', effect.reason.value)
        self._log.warning(event, job=effect.job_id, reason=effect.reason.value)


def _possible_run(action: TaskAction) -> TaskChanged:
    return TaskChanged(action.job_id, action.lease_token, TaskEnd.FAILED)


@functools.singledispatch
def _actions(effect: Effect) -> Iterator[TaskAction]:
    """Yield the platform actions that an effect requires."""
    yield from iter(())


@_actions.register
def _start_actions(effect: StartTask) -> Iterator[TaskAction]:
    yield _action(ActionKind.START, effect)


@_actions.register
def _stop_actions(effect: StopTask) -> Iterator[TaskAction]:
    if effect.with_checkpoint:
        yield _action(ActionKind.CHECKPOINT, effect)
    yield _action(ActionKind.STOP, effect)


@_actions.register
def _throttle_actions(effect: ThrottleTask) -> Iterator[TaskAction]:
    yield _action(ActionKind.THROTTLE, effect, effect.ratio)


def _action(
    kind: ActionKind,
    effect: StartTask | StopTask | ThrottleTask,
    ratio: float = 1,
) -> TaskAction:
    return TaskAction(
        kind=kind,
        job_id=effect.job_id,
        worker=effect.worker,
        lease_token=effect.lease_token,
        action_id=f'{effect.job_id}/{effect.lease_token}/{kind}/{ratio:g}',
        lease_s=LEASE_S,
        ratio=ratio,
    )
