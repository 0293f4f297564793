"""Say whether an entry is ready, takes new work, or closes connections."""

from __future__ import annotations

import enum

from wigeonreach.charts import load_chart


class Phase(enum.StrEnum):
    """States of ``charts/entry_lifecycle.yaml``."""

    LEARNING = 'learning'
    SERVING = 'serving'
    WITHDRAWN = 'withdrawn'
    REFUSING = 'refusing'
    CLOSING = 'closing'


class Step(enum.StrEnum):
    """Events of ``charts/entry_lifecycle.yaml``."""

    LEARNED = 'learned'
    TOLD_TO_STOP = 'told_to_stop'
    NOTICE_GIVEN = 'notice_given'
    NOTHING_IN_FLIGHT = 'nothing_in_flight'
    BOUND_PASSED = 'bound_passed'


class Lifecycle:
    """Where an entry is between its start and its end."""

    def __init__(self) -> None:
        """Begin in the initial state of the chart."""
        self._chart = load_chart('entry_lifecycle')
        self.phase = Phase(self._chart.initial)

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send callers here."""
        return self.phase is Phase.SERVING

    @property
    def is_stopping(self) -> bool:
        """Whether each connection ends with its next answer."""
        return self.phase not in {Phase.LEARNING, Phase.SERVING}

    @property
    def takes_work(self) -> bool:
        """Whether a new request may run."""
        return self.phase not in {Phase.REFUSING, Phase.CLOSING}

    def take(self, step: Step) -> None:
        """Go where the chart leads; a step it does not allow is ignored."""
        target = self._chart.step(self.phase.value, step.value)
        if target is not None:
            self.phase = Phase(target)
