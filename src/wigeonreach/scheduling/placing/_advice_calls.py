"""Choose how many workers a call to the advisor names, and how long it may take."""

from __future__ import annotations

import dataclasses

from wigeonreach.jobs import AdvicePolicy

_MS_PER_S = 1000
# Limits the workers named in one call.
_MAX_WORKERS = 30
# Up to that limit a call names more workers than there are tasks, as the
# advisor may refuse some.
_WORKERS_PER_TASK = 2
# A call may take this long for its workers, or as long as its constant part if
# that takes longer: other steps wait for it, but each further call also costs
# the constant part.
_WORKERS_MS = 500
# A call should be over within this share of the time that its tickets are valid.
_MAX_VALIDITY_RATIO = 0.5
# How much longer than expected a call may take; doubled after a failed one, as
# the advisor may be slower than its policy says.
_MARGIN_S = 3.0
_MAX_MARGIN_DOUBLINGS = 2
# Further doublings change nothing.
_MAX_DOUBLINGS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class CallSizes:
    """The size of a step's next call.

    Attributes
    ----------
    policy
        How long the advisor takes and how long its tickets are valid.
    short_answers
        Answers in a row that allowed too few of the workers; each doubles the
        workers of the next call.
    failures
        Calls in a row that failed; each halves them.
    """

    policy: AdvicePolicy
    short_answers: int
    failures: int

    @property
    def margin_s(self) -> float:
        """How much longer than expected the call may take."""
        return _MARGIN_S * (1 << min(self.failures, _MAX_MARGIN_DOUBLINGS))

    def workers(self, tasks: int) -> int:
        """Return the most workers to name for a number of waiting tasks."""
        doublings = min(self.short_answers, _MAX_DOUBLINGS)
        wanted = tasks * _WORKERS_PER_TASK << doublings
        most = min(wanted, _MAX_WORKERS, self._most_in_time())
        halvings = min(self.failures, _MAX_DOUBLINGS)
        return max(most >> halvings, 1)

    def expected_s(self, workers: int) -> float:
        """Return how long a call takes that names a number of workers."""
        takes_ms = self.policy.decision_ms + self.policy.per_worker_ms * workers
        return takes_ms / _MS_PER_S

    def _most_in_time(self) -> int:
        policy = self.policy
        if not policy.per_worker_ms:
            return _MAX_WORKERS
        time_ms = float(max(policy.decision_ms, _WORKERS_MS))
        if policy.validity_ms:
            valid_ms = policy.validity_ms * _MAX_VALIDITY_RATIO
            time_ms = min(time_ms, valid_ms - policy.decision_ms)
        return int(max(time_ms, 0) // policy.per_worker_ms)
