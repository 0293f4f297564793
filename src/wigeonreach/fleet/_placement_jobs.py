"""Keep the state of each job by its state chart."""

from __future__ import annotations

import dataclasses
import enum

from wigeonreach._room import NO_ROOM, Room
from wigeonreach.charts import load_chart
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import ChartError
from wigeonreach.fleet._placement_model import (
    Job,
    Reason,
    TaskEnd,
)


class JobState(enum.StrEnum):
    """States of the chart ``job.yaml``."""

    WAITING = 'waiting'
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    CANCELLING = 'cancelling'
    UNCERTAIN = 'uncertain'
    FINISHED = 'finished'
    CANCELLED = 'cancelled'
    SET_ASIDE = 'set_aside'
    REPORTED = 'reported'


class JobEvent(enum.StrEnum):
    """Events of the chart that the platform does not tell."""

    PLACE = 'place'
    CANCEL = 'cancel'
    STOP = 'stop'
    LOST = 'lost'
    LEASE_ENDED = 'lease_ended'
    SET_ASIDE = 'set_aside'
    MAY_HAVE_RUN = 'may_have_run'


# Ends that prove nothing about what a non-idempotent job has done.
_ENDS_WITHOUT_PROOF = frozenset(
    (TaskEnd.FAILED, TaskEnd.STOPPED, JobEvent.LEASE_ENDED),
)
DONE_STATES = frozenset(
    (
        JobState.FINISHED,
        JobState.CANCELLED,
        JobState.SET_ASIDE,
        JobState.REPORTED,
    )
)


@dataclasses.dataclass(slots=True)
class JobRecord:
    """One job, where it is and why it is not running."""

    job: Job
    state: JobState = JobState.WAITING
    worker: str = ''
    lease_token: int = 0
    lease_ends_s: float = 0.0
    started_at_s: float = 0.0
    need: Room = NO_ROOM
    reason: Reason | None = None
    # Until then no more room is made for it: stops take their time.
    next_room_s: float = 0.0

    def step(self, event: str) -> None:
        """Go to the next state; raise ``ChartError`` if there is none."""
        target = self._target(event)
        if target is None:
            raise ChartError(
                ResultCode.CHART_NO_TRANSITION,
                f'{self.job.job_id}: {event} while {self.state}',
            )
        self.state = JobState(target)

    def allows(self, event: str) -> bool:
        """Whether an event means anything now."""
        return self._target(event) is not None

    def _target(self, event: str) -> str | None:
        if event in _ENDS_WITHOUT_PROOF and not self.job.is_idempotent:
            event = JobEvent.MAY_HAVE_RUN
        return load_chart('job').step(self.state, event)
