"""Keep the tickets without which some queues' steps may not start.

Only an outside advisor knows which workers may run such a step.  It answers
one call after the other and takes time for each worker that is named, so it is
asked about few workers at once, ahead of need, and its tickets are kept for
all tasks of a step while they are valid.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

from wigeonreach.jobs import TaskKey
from wigeonreach.scheduling._ready import ReadyStep
from wigeonreach.scheduling._room_left import WorkerRoom

# Workers named in one call, and how many more than there are tasks, as the
# advisor may allow only some.
_MOST_WORKERS = 30
_SPARE_RATIO = 2
# A ticket has to be valid when its order arrives, some heartbeats later.
_LEAST_LEFT_S = 0.6
# After a call that failed, or allowed nobody.
_RETRY_S = 0.5

Step = tuple[str, int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """Which of these workers may run a step."""

    step: Step
    workers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """The advisor's answer: tickets by worker, for so long.

    Attributes
    ----------
    unreadable
        How many others there were that can't be read.
    """

    tickets: Mapping[str, str]
    valid_s: float
    unreadable: int = 0


@dataclasses.dataclass(slots=True)
class _Known:
    """What is known for one step: tickets and until when, by worker."""

    tickets: dict[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict,
    )
    ask_after_s: float = 0.0
    is_asked: bool = False


class TicketCache:
    """Tickets of this term."""

    def __init__(self) -> None:
        """Have no ticket."""
        self._known: dict[Step, _Known] = {}
        self._wanted: dict[Step, Question] = {}

    def ticket(self, key: TaskKey, worker: str, now_s: float) -> str:
        """Return the ticket for a task on a worker, or nothing."""
        known = self._known.get(_step_of(key))
        if known is None:
            return ''
        ticket, until_s = known.tickets.get(worker, ('', 0))
        return ticket if until_s - now_s > _LEAST_LEFT_S else ''

    def allowed(
        self,
        step: ReadyStep,
        rooms: Iterable[WorkerRoom],
        now_s: float,
    ) -> list[WorkerRoom]:
        """Return the workers with a ticket; take note if more are wanted."""
        key = TaskKey(step.job.spec.job_id, step.occurrence, step.step, 0)
        all_rooms = list(rooms)
        found = [
            room
            for room in all_rooms
            if self.ticket(key, room.incarnation.report.worker, now_s)
        ]
        if len(found) < len(step.waiting):
            self._want(step, all_rooms, now_s)
        return found

    def questions(self) -> list[Question]:
        """Return what is to be asked, and take it as being asked."""
        asked = list(self._wanted.values())
        self._wanted.clear()
        for question in asked:
            self._known[question.step].is_asked = True
        return asked

    def note(
        self,
        question: Question,
        advice: Advice | None,
        now_s: float,
    ) -> None:
        """Take an answer, or that there was none."""
        known = self._known.setdefault(question.step, _Known())
        known.is_asked = False
        known.ask_after_s = now_s + _RETRY_S
        if advice is None:
            return
        until_s = now_s + advice.valid_s
        for worker, ticket in advice.tickets.items():
            known.tickets[worker] = (ticket, until_s)

    def forget(self, job_id: str) -> None:
        """Drop the tickets of a job that ended."""
        ended = [step for step in self._known if step[0] == job_id]
        for step in ended:
            self._known.pop(step)
            self._wanted.pop(step, None)

    def _want(
        self,
        step: ReadyStep,
        rooms: list[WorkerRoom],
        now_s: float,
    ) -> None:
        name = (step.job.spec.job_id, step.occurrence, step.step)
        known = self._known.setdefault(name, _Known())
        if known.is_asked or now_s < known.ask_after_s:
            return
        count = min(len(step.waiting) * _SPARE_RATIO, _MOST_WORKERS)
        fitting = [room for room in rooms if room.left.holds(step.spec.room)]
        fitting.sort(key=lambda room: -room.left.processors)
        workers = tuple(
            room.incarnation.report.worker for room in fitting[:count]
        )
        if workers:
            self._wanted[name] = Question(name, workers)


def _step_of(key: TaskKey) -> Step:
    return key.job_id, key.occurrence, key.step
