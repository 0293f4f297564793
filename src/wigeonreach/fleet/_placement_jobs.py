"""Track the state of each job according to its state chart."""

from __future__ import annotations

import dataclasses
import enum

from wigeonreach._resources import NO_RESOURCES, Resources
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
    """Events of the chart that don't come from the platform."""

    PLACE = 'place'
    CANCEL = 'cancel'
    STOP = 'stop'
    LOST = 'lost'
    LEASE_ENDED = 'lease_ended'
    SET_ASIDE = 'set_aside'
    MAY_HAVE_RUN = 'may_have_run'


# Ends after which a non-idempotent job may or may not have taken effect.
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
    """State of one job: its worker, or why it is not running."""

    job: Job
    state: JobState = JobState.WAITING
    worker: str = ''
    lease_token: int = 0
    lease_ends_s: float = 0.0
    started_at_s: float = 0.0
    need: Resources = NO_RESOURCES
    reason: Reason | None = None
    # Earliest time to preempt a further job for this one; stopping takes time.
    next_preemption_s: float = 0.0

    def apply(self, event: str) -> None:
        """Apply an event to the state.

        Raises
        ------
        ChartError
            If the chart has no transition for the event.
        """
        next_state = self._next_state(event)
        if next_state is None:
            raise ChartError(
                ResultCode.CHART_NO_TRANSITION,
                f'job {self.job.job_id!r}: no transition for event {event}'
                f' in state {self.state}',
            )
        self.state = JobState(next_state)

    def allows(self, event: str) -> bool:
        """Whether the chart has a transition for an event now."""
        return self._next_state(event) is not None

    def _next_state(self, event: str) -> str | None:
        if event in _ENDS_WITHOUT_PROOF and not self.job.is_idempotent:
            event = JobEvent.MAY_HAVE_RUN
        return load_chart('job').step(self.state, event)
