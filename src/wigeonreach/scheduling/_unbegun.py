"""Detect workers that do not begin the runs that they are told to start."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

from wigeonreach.jobs import Run
from wigeonreach.wire._worker_messages import MAX_LISTED_ENDS, WorkerReport

# A lost answer or a reset connection explains one, seldom two in a row.
_DOUBTFUL_ANSWERS = 2
_MAX_IGNORED_ANSWERS = 4
# Two timeouts of a heartbeat: connections that are reset at once use up several
# answers within milliseconds.
_MIN_IGNORED_S = 2.0
# Each further exclusion lasts twice as long.
_FIRST_EXCLUSION_S = 2.0
_MAX_EXCLUSION_S = 64.0


@dataclasses.dataclass(slots=True)
class UnbegunStarts:
    """Answers with starts that one worker did not begin.

    Attributes
    ----------
    ignored
        Answers in a row with a start that the next heartbeat did not list.
    since_s
        When the first of them was sent.
    """

    ignored: int = 0
    since_s: float = 0.0
    _excluded_until_s: float = float('-inf')
    _next_exclusion_s: float = _FIRST_EXCLUSION_S

    def note_heartbeat(
        self,
        report: WorkerReport,
        ordered: Collection[Run],
        ordered_s: float,
        sent_s: float,
    ) -> None:
        """Compare a heartbeat with the starts in the answer before it.

        Parameters
        ----------
        report
            The heartbeat.
        ordered
            The starts in the newest answer.
        ordered_s
            When that answer was sent.
        sent_s
            When the heartbeat was sent; one that was sent before the answer
            proves nothing.
        """
        if sent_s <= ordered_s:
            return
        if not ordered:
            self._note_nothing_ordered(sent_s)
            return
        if len(report.ended) >= MAX_LISTED_ENDS:
            # It may have begun and ended runs that it can't list yet.
            return
        if set(ordered) <= report.listed_runs():
            self.ignored = 0
            self._next_exclusion_s = _FIRST_EXCLUSION_S
            return
        if not self.ignored:
            self.since_s = ordered_s
        self.ignored += 1

    def _note_nothing_ordered(self, now_s: float) -> None:
        """Forget ignored starts that were withdrawn; pause if there were some.

        Without a start nothing would show whether it begins runs again.
        """
        if self.ignored >= _DOUBTFUL_ANSWERS:
            self.exclude(now_s)
        self.ignored = 0

    @property
    def is_on_trial(self) -> bool:
        """Whether it was excluded, and has begun no run since."""
        return self._next_exclusion_s > _FIRST_EXCLUSION_S

    def is_limit_reached(self, now_s: float) -> bool:
        """Whether the worker has ignored so much that it gets no lease."""
        is_long = now_s - self.since_s >= _MIN_IGNORED_S
        return is_long and self.ignored >= _MAX_IGNORED_ANSWERS

    def accepts_work(self, now_s: float, has_unbegun: bool) -> bool:
        """Whether the worker may be given new runs.

        Parameters
        ----------
        now_s
            Clock in seconds.
        has_unbegun
            Whether it was given a run that it has not listed yet.  After an
            exclusion it gets one run at a time until it begins one.
        """
        if now_s < self._excluded_until_s:
            return False
        if self.is_on_trial and has_unbegun:
            return False
        return self.ignored < _DOUBTFUL_ANSWERS

    def exclude(self, now_s: float) -> None:
        """Give the worker no runs for a while; it must have no unbegun ones."""
        self.ignored = 0
        self._excluded_until_s = now_s + self._next_exclusion_s
        self._next_exclusion_s = min(
            self._next_exclusion_s * 2, _MAX_EXCLUSION_S
        )
