"""Contain unexpected errors of a leader's decisions."""

from __future__ import annotations

import contextlib
import enum
import pathlib
import traceback
from collections.abc import Iterator

from wigeonreach.core._clock import steady_s
from wigeonreach.exceptions import StateError
from wigeonreach.observe import LogEvent, Logger, Metrics

# A few times the cycle of the slowest decisions that are made regularly, so
# that one bad state of short duration ends no term.
_FIRST_LIMIT_S = 5.0
# If every leader fails, leadership changes this seldom in the end.
_MAX_LIMIT_S = 160.0
_LOG_INTERVAL_S = 1.0
_MAX_REASON_CHARS = 200


class Decision(enum.Enum):
    """Kinds of decisions that fail independently of each other.

    ``CYCLE`` stands for what is decided and recorded between the others.
    """

    CYCLE = 'cycle'
    HEARTBEAT = 'heartbeat'
    LOSSES = 'losses'
    PLACING = 'placing'
    ANSWER = 'answer'
    MAINTENANCE = 'maintenance'
    MOVES = 'moves'
    VM_LIST = 'vm-list'
    ADVICE = 'advice'
    FORGETTING = 'forgetting'


class DecisionGuard:
    """Contains unexpected errors, and tells when they last too long.

    The next leader decides on the same state as this one.  If an unexpected
    error ended the process, every leader could end by the same error, so only
    the decision that failed is skipped.  The memory of this process may be at
    fault too, so it hands leadership over if a kind of decision keeps failing.

    Parameters
    ----------
    logger, metrics
        Log and count the errors.
    """

    def __init__(self, logger: Logger, metrics: Metrics) -> None:
        """Start without any error."""
        self._log = logger
        self._metrics = metrics
        self._failing_since_s: dict[Decision, float] = {}
        self._next_log_s: dict[Decision, float] = {}
        self._limit_s = _FIRST_LIMIT_S

    def begin_term(self) -> None:
        """Forget the errors of earlier terms."""
        self._failing_since_s.clear()

    @contextlib.contextmanager
    def contain(self, decision: Decision) -> Iterator[None]:
        """Log and count an unexpected error of a decision instead of raising.

        Raises
        ------
        StateError
            If a quorum did not confirm the decision, which is no fault of it.
        """
        try:
            yield
        except StateError:
            raise
        except Exception as error:  # noqa: BLE001, W0718 - any may be the next
            self._note_failed(decision, error, steady_s())
            return
        self._failing_since_s.pop(decision, None)

    def takes_hand_over(self, now_s: float) -> bool:
        """Whether to hand leadership over now, as a kind of decision keeps failing.

        Each time it is true, the errors have to last twice as long for the next.
        """
        since_s = min(self._failing_since_s.values(), default=now_s)
        if now_s - since_s < self._limit_s:
            return False
        failing = sorted(kind.value for kind in self._failing_since_s)
        self._log.warning(
            LogEvent.LEADERSHIP_GIVEN_UP,
            reason='decisions keep failing',
            decisions=failing,
            failing_s=round(now_s - since_s, 2),
        )
        self._metrics.count('leadership_given_up')
        self._failing_since_s.clear()
        self._limit_s = min(self._limit_s * 2, _MAX_LIMIT_S)
        return True

    def _note_failed(
        self, decision: Decision, error: Exception, now_s: float
    ) -> None:
        self._failing_since_s.setdefault(decision, now_s)
        self._metrics.count('decisions_failed', decision.value)
        if now_s < self._next_log_s.get(decision, now_s):
            return
        self._next_log_s[decision] = now_s + _LOG_INTERVAL_S
        self._log.warning(
            LogEvent.DECISION_FAILED,
            decision=decision.value,
            reason=repr(error)[:_MAX_REASON_CHARS],
            place=_place_of(error),
            failures=self._metrics.counted('decisions_failed', decision.value),
        )


def _place_of(error: Exception) -> str:
    """Return the module, line and function that raised an error."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ''
    raised = frames[-1]
    module = pathlib.PurePath(raised.filename).stem
    return f'{module}:{raised.lineno} {raised.name}'
