"""Cache the placement tickets that some queues require for a start.

An external advisor decides which workers may run a step of such a queue.  It
handles one call at a time and takes time for each worker in the call, so each
call names only a few workers, is made only if a step has fewer tickets than
waiting tasks, and its tickets are reused for all tasks of the step while they
are valid.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

from wigeonreach.jobs import TaskKey
from wigeonreach.scheduling._ready import ReadyStep
from wigeonreach.scheduling.placing._worker_capacity import WorkerCapacity

# Limits the workers named in one call.
_MAX_WORKERS_PER_CALL = 30
# Up to that limit a call names more workers than there are tasks, as the
# advisor may refuse some.
_WORKERS_PER_TASK = 2
# A ticket must still be valid when the order arrives, a few heartbeats later.
_MIN_VALIDITY_S = 0.6
# Delay between the end of a call, even a successful one, and the next call for
# the same step.
_RETRY_DELAY_S = 0.5

StepKey = tuple[str, int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request to the advisor: which of these workers may run a step."""

    step: StepKey
    workers: tuple[str, ...]


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


@dataclasses.dataclass(slots=True)
class _StepTickets:
    """Tickets of one step and the state of its requests.

    Attributes
    ----------
    tickets
        Ticket and the time at which it expires, by worker.
    next_request_s
        Earliest time of the next request.
    is_requested
        Whether a request is in flight.
    """

    tickets: dict[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict,
    )
    next_request_s: float = 0.0
    is_requested: bool = False


class TicketCache:
    """Tickets received in this term, and the requests for more."""

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._by_step: dict[StepKey, _StepTickets] = {}
        self._pending: dict[StepKey, AdviceRequest] = {}

    def ticket(self, key: TaskKey, worker: str, now_s: float) -> str:
        """Return the valid ticket for a task on a worker, or an empty text."""
        known = self._by_step.get(_step_of(key))
        if known is None:
            return ''
        ticket, until_s = known.tickets.get(worker, ('', 0))
        return ticket if until_s - now_s > _MIN_VALIDITY_S else ''

    def workers_with_ticket(
        self,
        step: ReadyStep,
        workers: Iterable[WorkerCapacity],
        now_s: float,
    ) -> list[WorkerCapacity]:
        """Return the workers with a ticket; request more if needed."""
        key = TaskKey(step.job.spec.job_id, step.occurrence, step.step, 0)
        candidates = list(workers)
        with_ticket = [
            worker
            for worker in candidates
            if self.ticket(key, worker.incarnation.report.worker, now_s)
        ]
        if len(with_ticket) < len(step.waiting_tasks):
            self._request_tickets(step, candidates, now_s)
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
        known = self._by_step.setdefault(request.step, _StepTickets())
        known.is_requested = False
        known.next_request_s = now_s + _RETRY_DELAY_S
        if advice is None:
            return
        until_s = now_s + advice.valid_s
        for worker, ticket in advice.tickets.items():
            known.tickets[worker] = (ticket, until_s)

    def forget(self, job_id: str) -> None:
        """Drop the tickets and requests of a job that ended."""
        ended = [step for step in self._by_step if step[0] == job_id]
        for step in ended:
            self._by_step.pop(step)
            self._pending.pop(step, None)

    def _request_tickets(
        self,
        step: ReadyStep,
        candidates: list[WorkerCapacity],
        now_s: float,
    ) -> None:
        name = (step.job.spec.job_id, step.occurrence, step.step)
        known = self._by_step.setdefault(name, _StepTickets())
        if known.is_requested or now_s < known.next_request_s:
            return
        count = min(
            len(step.waiting_tasks) * _WORKERS_PER_TASK, _MAX_WORKERS_PER_CALL
        )
        first = TaskKey(*name, 0)
        suitable = [
            worker for worker in candidates if worker.holds(first, step.spec)
        ]
        suitable.sort(key=lambda worker: -worker.free.processors)
        workers = tuple(
            worker.incarnation.report.worker for worker in suitable[:count]
        )
        if workers:
            self._pending[name] = AdviceRequest(name, workers)


def _step_of(key: TaskKey) -> StepKey:
    return key.job_id, key.occurrence, key.step
