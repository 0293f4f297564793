"""Decide which recorded starts must not be sent to their worker any more.

A start is recorded first and sent with a later answer to its worker.  What was
decided on may change in between.  A start that must not be sent has to be
withdrawn, so that its task does not stay assigned to a worker that never hears
of it.  So one function gives all reasons, for the orders as well as for the
withdrawals.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Collection, Iterable, Iterator, Mapping

from wigeonreach.jobs import JobRecord, JobStore, Run, TaskKey
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling.placing._advice import TicketCache
from wigeonreach.workspaces import NO_AMOUNTS


class Hindrance(enum.StrEnum):
    """Why a recorded start is not sent to its worker."""

    # The job is over, or its deletion has overtaken the start.
    JOB_ENDED = 'job-ended'
    # The worker drains or announced its end.
    WORKER_LEAVES = 'worker-leaves'
    # The run is being stopped, as its VM is needed or its gang lost a member.
    STOPPED = 'stopped'
    # The queue has another service by now.
    OTHER_SERVICE = 'other-service'
    # The worker does not have the label that the step requires.
    NO_LABEL = 'no-label'
    # The worker reports fewer resources than before.
    OVER_CAPACITY = 'over-capacity'
    # The cap of the workspace was lowered.  The other members of a gang are
    # stopped.
    OVER_CAP = 'over-cap'
    # The ticket of the advisor has expired, or is needed only now.
    NO_TICKET = 'no-ticket'


@dataclasses.dataclass(frozen=True, slots=True)
class StartChecks:
    """Checks the recorded starts that a worker does not list.

    Attributes
    ----------
    store
        The replicated state; it is only read.
    advice
        The tickets that some runs need to begin.
    """

    store: JobStore
    advice: TicketCache

    def hindered(
        self,
        incarnation: Incarnation,
        stopping: Collection[Run],
        now_s: float,
    ) -> dict[Run, Hindrance]:
        """Return the starts that must not be sent, with the reason for each.

        Parameters
        ----------
        incarnation
            The worker, as of its newest heartbeat.
        stopping
            Runs that are being stopped.
        now_s
            Clock in seconds.
        """
        unlisted = tuple(unlisted_runs(incarnation, self.store))
        if not unlisted:
            return {}
        found: dict[Run, Hindrance] = {}
        for run in unlisted:
            reason = self._hindrance(incarnation, run, stopping, now_s)
            if reason is not None:
                found[run] = reason
        for exceeding in _runs_over_capacity(incarnation, self.store, unlisted):
            found.setdefault(exceeding, Hindrance.OVER_CAPACITY)
        return found

    def _hindrance(
        self,
        incarnation: Incarnation,
        run: Run,
        stopping: Collection[Run],
        now_s: float,
    ) -> Hindrance | None:
        job = self.store.job_of(run[0])
        if job is None or not job.is_active:
            return Hindrance.JOB_ENDED
        if incarnation.is_ending:
            return Hindrance.WORKER_LEAVES
        if run in stopping:
            return Hindrance.STOPPED
        return self._changed_condition(incarnation, job, run[0], now_s)

    def _changed_condition(
        self,
        incarnation: Incarnation,
        job: JobRecord,
        key: TaskKey,
        now_s: float,
    ) -> Hindrance | None:
        """Return the condition of the placement that no longer holds."""
        report = incarnation.report
        if self.store.service_of(job) != report.service:
            return Hindrance.OTHER_SERVICE
        spec = job.step_spec(key)
        if spec.label and spec.label not in report.labels:
            return Hindrance.NO_LABEL
        least = NO_AMOUNTS - spec.min_start_amounts
        if not self.store.is_under_cap(job, spec, least):
            return Hindrance.OVER_CAP
        needs_ticket = self.store.advice_of(job) is not None
        if needs_ticket and not self.advice.ticket(key, report.worker, now_s):
            return Hindrance.NO_TICKET
        return None


def unlisted_runs(incarnation: Incarnation, store: JobStore) -> Iterator[Run]:
    """Yield the assigned runs of a worker that it does not list."""
    listed = incarnation.report.listed_runs()
    for run in store.runs_of(incarnation.report.worker).items():
        if run not in listed:
            yield run


def proves_not_begun(
    reason: Hindrance, incarnation: Incarnation, run: Run
) -> bool:
    """Whether a start that is not sent can be withdrawn at once.

    Otherwise a former leader may have sent it with an answer that the newest
    heartbeat does not show yet; it is withdrawn with one of the next ones, or
    ends with the last lease of a worker that announced its end.
    """
    if reason is Hindrance.JOB_ENDED:
        # If it has begun nevertheless, it is stopped.
        return True
    if reason is Hindrance.WORKER_LEAVES and incarnation.report.is_draining:
        # No leader has answered a draining worker with starts.
        return True
    return incarnation.has_not_begun(run)


def withdrawals(
    hindered: Mapping[Run, Hindrance], incarnation: Incarnation
) -> Iterator[Run]:
    """Yield those of the hindered starts that are withdrawn now."""
    for run, reason in hindered.items():
        if proves_not_begun(reason, incarnation, run):
            yield run


def _runs_over_capacity(
    incarnation: Incarnation, store: JobStore, unlisted: Iterable[Run]
) -> Iterator[Run]:
    """Yield those of a worker's unlisted runs that exceed its resources.

    A worker may report fewer resources than before.  If it does not enforce
    them itself, it would start these runs all the same and disturb its other
    runs.
    """
    left = incarnation.resources
    for row in incarnation.running:
        spec = store.spec_of(row.task)
        if spec is not None:
            left -= spec.resources
    for run in unlisted:
        asked = store.spec_of(run[0])
        if asked is None:
            continue
        if left.covers(asked.resources):
            left -= asked.resources
        else:
            yield run
