"""Cache the placement tickets that some queues require for a start.

An external advisor decides which workers may run a step of such a queue.  It
handles one call at a time and takes time for each worker in the call, so each
call names only a few workers, and its tickets are reused for all tasks of the
step while they are valid.

An answer also refuses the workers that it leaves out.  While a step lacks
workers with a ticket, each call names others than the calls before, and more of
them, so that a worker that may run the step is found however few there are.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from wigeonreach.jobs import AdvicePolicy, TaskKey
from wigeonreach.observe import LogEvent
from wigeonreach.scheduling._notes import LogNote
from wigeonreach.scheduling._ready import ReadyStep
from wigeonreach.scheduling.placing._advice_calls import CallSizes
from wigeonreach.scheduling.placing._gang_calls import workers_for_gang
from wigeonreach.scheduling.placing._locality import fits_all_tasks
from wigeonreach.scheduling.placing._step_tickets import (
    NEVER_S,
    REFUSAL_TTL_S,
    RETRY_DELAY_S,
    StepTickets,
)
from wigeonreach.scheduling.placing._worker_capacity import WorkerCapacity

# A ticket must still be valid when the order arrives, a few heartbeats later.
_MIN_VALIDITY_S = 0.6
# Most of a ticket's validity that is kept for that.
_MAX_UNUSED_RATIO = 0.5
# Most of a ticket's validity that may count as over when it is received.
_MAX_AGE_RATIO = 0.5
# The first calls may find tickets of earlier ones expired, or be too many for
# one call.
_NOTED_RENEWALS = 3
StepKey = tuple[str, int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request to the advisor: which of these workers may run a step.

    Attributes
    ----------
    step
        The step.
    workers
        The workers.
    expected_s
        How long the advisor should take.
    margin_s
        How much longer it may take until the call is given up.
    """

    step: StepKey
    workers: tuple[str, ...]
    expected_s: float
    margin_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """The advisor's answer.

    Attributes
    ----------
    tickets
        The ticket of each allowed worker.
    valid_s
        How long the tickets are valid.
    unreadable
        Number of entries in the answer that could not be decoded.
    """

    tickets: Mapping[str, str]
    valid_s: float
    unreadable: int = 0


def age_tickets(advice: Advice, overrun_s: float) -> Advice:
    """Return advice whose tickets have been valid for some time already.

    The time counts from the answer.  What a call takes beyond the time that was
    expected may have passed after the answer, or before it: then tickets that
    are taken for expired would never be used, however often they are renewed.

    Parameters
    ----------
    advice
        Advice as it was received.
    overrun_s
        How much longer the call took than expected.
    """
    most_s = advice.valid_s * _MAX_AGE_RATIO
    age_s = min(max(overrun_s, 0), most_s)
    return dataclasses.replace(advice, valid_s=advice.valid_s - age_s)


class TicketCache:
    """Tickets received in this term, and the requests for more.

    Attributes
    ----------
    notes
        Notes that are not logged yet.
    """

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._by_step: dict[StepKey, StepTickets] = {}
        self._pending: dict[StepKey, AdviceRequest] = {}
        # By queue, when a worker was last refused for one of its steps.  Only a
        # hint for other steps, as each may be allowed on other workers.
        self._refused_s: dict[str, dict[str, float]] = {}
        self.notes: list[LogNote] = []

    def ticket(self, key: TaskKey, worker: str, now_s: float) -> str:
        """Return the valid ticket for a task on a worker, or an empty text."""
        known = self._by_step.get(_step_of(key))
        return '' if known is None else known.ticket(worker, now_s)

    def workers_with_ticket(
        self,
        step: ReadyStep,
        workers: Iterable[WorkerCapacity],
        policy: AdvicePolicy,
        now_s: float,
    ) -> list[WorkerCapacity]:
        """Return the workers with a ticket; request more if needed.

        Parameters
        ----------
        step, workers
            The step, and the workers that may run it as far as is known.
        policy
            The present policy of its queue.
        now_s
            Clock in seconds.
        """
        known = self._tickets_of(step)
        candidates = list(workers)
        with_ticket = [
            worker for worker in candidates if known.ticket(worker.name, now_s)
        ]
        has_enough = fits_all_tasks(step, with_ticket)
        if known.is_stuck(has_enough, now_s) or not has_enough:
            sizes = CallSizes(policy, known.short_answers, known.failures)
            self._request_tickets(step, known, candidates, sizes, now_s)
        return with_ticket

    def pop_requests(self) -> list[AdviceRequest]:
        """Return the pending requests and mark them as in flight."""
        asked = list(self._pending.values())
        self._pending.clear()
        for request in asked:
            self._by_step[request.step].is_requested = True
        return asked

    def record_advice(
        self,
        request: AdviceRequest,
        advice: Advice | None,
        now_s: float,
    ) -> None:
        """Store the answer to a request; None if the call failed."""
        known = self._by_step.get(request.step)
        if known is None:
            # Its job has ended.
            return
        known.is_requested = False
        known.asked_s.update(dict.fromkeys(request.workers, now_s))
        if advice is None:
            known.failures += 1
            known.next_request_s = now_s + RETRY_DELAY_S
            return
        known.failures = 0
        known.note_allowed(advice.tickets, now_s + _usable_s(advice.valid_s))
        is_short = len(advice.tickets) * 2 < len(request.workers)
        known.short_answers = known.short_answers + 1 if is_short else 0
        if advice.unreadable:
            # It is not known which of the others were refused.
            known.next_request_s = now_s + RETRY_DELAY_S
        else:
            self._note_refused(request, known, now_s)

    def forget(self, job_id: str) -> None:
        """Drop the tickets and requests of a job that ended."""
        ended = [step for step in self._by_step if step[0] == job_id]
        for step in ended:
            self._by_step.pop(step)
            self._pending.pop(step, None)

    def _tickets_of(self, step: ReadyStep) -> StepTickets:
        name = _name_of(step)
        known = self._by_step.get(name)
        if known is None:
            known = StepTickets(step.job.queue.name)
            self._by_step[name] = known
        return known

    def _note_refused(
        self, request: AdviceRequest, known: StepTickets, now_s: float
    ) -> None:
        of_queue = {
            worker: refused_s
            for worker, refused_s in self._refused_of(known.queue).items()
            if now_s - refused_s < REFUSAL_TTL_S
        }
        for worker in request.workers:
            if known.ticket(worker, now_s):
                of_queue.pop(worker, None)
            else:
                known.refused_s[worker] = now_s
                of_queue[worker] = now_s
        self._refused_s[known.queue] = of_queue

    def _refused_of(self, queue: str) -> Mapping[str, float]:
        return self._refused_s.get(queue, {})

    def _request_tickets(
        self,
        step: ReadyStep,
        known: StepTickets,
        candidates: Iterable[WorkerCapacity],
        sizes: CallSizes,
        now_s: float,
    ) -> None:
        if known.is_requested or now_s < known.next_request_s:
            return
        name = _name_of(step)
        first = TaskKey(*name, 0)
        suitable = [
            worker for worker in candidates if worker.holds(first, step.spec)
        ]
        open_ones = self._in_order(
            (
                worker
                for worker in suitable
                if not known.is_refused(worker.name, now_s)
            ),
            known,
        )
        chosen = _workers_of_call(step, known, open_ones, sizes, now_s)
        if not chosen:
            self._note_too_few_allowed(step, known, suitable)
            return
        if step.spec.is_gang:
            self._note_expiring(step, known, chosen)
        self._pending[name] = AdviceRequest(
            name,
            tuple(worker.name for worker in chosen),
            sizes.expected_s(len(chosen)),
            sizes.margin_s,
        )

    def _in_order(
        self, workers: Iterable[WorkerCapacity], known: StepTickets
    ) -> list[WorkerCapacity]:
        """Return workers in the order in which the advisor is asked.

        Those that may run the step come first, then those that no call has
        named for it, without those that the queue's other steps were refused,
        then those named longest ago.  The emptiest of each come first.
        """
        refused = self._refused_of(known.queue)
        return sorted(
            workers,
            key=lambda worker: (
                worker.name not in known.tickets,
                known.asked_s.get(worker.name, NEVER_S),
                worker.name in refused,
                -worker.free.processors,
            ),
        )

    def _note_too_few_allowed(
        self,
        step: ReadyStep,
        known: StepTickets,
        suitable: Sequence[WorkerCapacity],
    ) -> None:
        """Log once that the workers with capacity for a step are refused.

        A gang waits too if some are allowed that do not fit all of it.
        """
        allowed = [worker for worker in suitable if known.allows(worker.name)]
        if known.is_noted or not suitable:
            return
        if allowed and not _is_short_gang(step, suitable, allowed):
            return
        known.is_noted = True
        reason = (
            f'step {step.step}: allowed on {len(allowed)} of {len(suitable)}'
            ' suitable workers'
        )
        job_id = step.job.spec.job_id
        self.notes.append(LogNote(LogEvent.STEP_REFUSED, job_id, reason))

    def _note_expiring(
        self,
        step: ReadyStep,
        known: StepTickets,
        chosen: Sequence[WorkerCapacity],
    ) -> None:
        """Log once that a gang's tickets expire before all can be used."""
        if not all(known.allows(worker.name) for worker in chosen):
            return
        known.renewals += 1
        if known.renewals == _NOTED_RENEWALS:
            reason = f'step {step.step}: tickets of {len(chosen)} workers'
            job_id = step.job.spec.job_id
            self.notes.append(LogNote(LogEvent.TICKETS_EXPIRE, job_id, reason))


def _workers_of_call(
    step: ReadyStep,
    known: StepTickets,
    open_workers: Sequence[WorkerCapacity],
    sizes: CallSizes,
    now_s: float,
) -> Sequence[WorkerCapacity]:
    """Return the workers that the next call for a step names, or none."""
    if step.spec.is_gang:
        return workers_for_gang(step, known, open_workers, sizes, now_s)
    without = [
        worker
        for worker in open_workers
        if not known.ticket(worker.name, now_s)
    ]
    return without[: sizes.workers(len(step.waiting_tasks))]


def _is_short_gang(
    step: ReadyStep,
    suitable: Iterable[WorkerCapacity],
    allowed: Iterable[WorkerCapacity],
) -> bool:
    """Whether a gang fits on the suitable workers, but not on the allowed."""
    return (
        step.spec.is_gang
        and fits_all_tasks(step, suitable)
        and not fits_all_tasks(step, allowed)
    )


def _usable_s(valid_s: float) -> float:
    """Return how long a ticket can be used of the time that it is valid."""
    return valid_s - min(_MIN_VALIDITY_S, valid_s * _MAX_UNUSED_RATIO)


def _name_of(step: ReadyStep) -> StepKey:
    return step.job.spec.job_id, step.occurrence, step.step


def _step_of(key: TaskKey) -> StepKey:
    return key.job_id, key.occurrence, key.step
