"""State of an entry: ready, accepting requests or closing connections."""

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


class LifecycleEvent(enum.StrEnum):
    """Events of ``charts/entry_lifecycle.yaml``."""

    LEARNED = 'learned'
    TOLD_TO_STOP = 'told_to_stop'
    NOTICE_GIVEN = 'notice_given'
    NOTHING_IN_FLIGHT = 'nothing_in_flight'
    BOUND_PASSED = 'bound_passed'


class Lifecycle:
    """Current phase of an entry between its start and its shutdown."""

    def __init__(self) -> None:
        """Start in the initial state of the chart."""
        self._chart = load_chart('entry_lifecycle')
        self.phase = Phase(self._chart.initial)

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests to this entry."""
        return self.phase is Phase.SERVING

    @property
    def is_stopping(self) -> bool:
        """Whether each connection is closed after its next response."""
        return self.phase not in {Phase.LEARNING, Phase.SERVING}

    @property
    def takes_work(self) -> bool:
        """Whether new requests are accepted."""
        return self.phase not in {Phase.REFUSING, Phase.CLOSING}

    def apply(self, event: LifecycleEvent) -> None:
        """Apply an event; one without a transition in the chart is ignored."""
        target = self._chart.step(self.phase.value, event.value)
        if target is not None:
            self.phase = Phase(target)
