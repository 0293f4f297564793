"""Outlier detection: stop sending requests to targets that fail."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from wigeonreach.entry._slots import Ending, TargetKey

_MAX_CONSECUTIVE_FAILURES = 5
_MAX_FAILED_RATIO = 0.5
_FAILED_RATIO_MIN_ATTEMPTS = 20
_SMOOTHING_FACTOR = 0.1
_NEGLIGIBLE_RATIO = 0.05
_INITIAL_BACKOFF_S = 1.0
_MAX_BACKOFF_S = 30.0
_SUCCESSES_TO_RESTORE = 3
_SUCCESSES_TO_RESET_BACKOFF = 50
_MAX_EJECTED_RATIO = 0.5


@dataclasses.dataclass(slots=True)
class TargetHealth:
    """Health of one target, derived from the results of recent attempts."""

    attempts: int = 0
    consecutive_failures: int = 0
    consecutive_successes: int = 0
    failed_ratio: float = 0
    last_failure_s: float = 0
    ejections: int = 0
    ejected_s: float | None = None
    probe_from_s: float = 0

    def record(self, ending: Ending, now_s: float) -> None:
        """Record the result of one attempt.

        Parameters
        ----------
        ending
            How the attempt ended.
        now_s
            Monotonic time of this process, in seconds.
        """
        if ending in {Ending.ABANDONED, Ending.UNUSED}:
            return
        self.attempts += 1
        if ending is Ending.ANSWERED:
            self._record_success()
        else:
            self._record_failure(now_s)

    def recent_failed_ratio(self, now_s: float) -> float:
        """Return the failure ratio, halved per second since the last failure.

        Without this decay a target that failed once would get no request for
        as long as another target is idle, and so could never recover.
        """
        if not self.failed_ratio:
            return 0
        decayed = self.failed_ratio * 0.5 ** (now_s - self.last_failure_s)
        return decayed if decayed > _NEGLIGIBLE_RATIO else 0

    def _record_success(self) -> None:
        self.consecutive_failures = 0
        self.consecutive_successes += 1
        self.failed_ratio -= _SMOOTHING_FACTOR * self.failed_ratio
        if self.consecutive_successes >= _SUCCESSES_TO_RESTORE:
            self.ejected_s = None
        if self.consecutive_successes >= _SUCCESSES_TO_RESET_BACKOFF:
            self.ejections = 0

    def _record_failure(self, now_s: float) -> None:
        self.last_failure_s = now_s
        self.consecutive_failures += 1
        self.consecutive_successes = 0
        self.failed_ratio += _SMOOTHING_FACTOR * (1 - self.failed_ratio)
        if self.ejected_s is not None:
            if now_s >= self.probe_from_s:
                self._eject(now_s)
        elif self._is_failing():
            self._eject(now_s)

    def _is_failing(self) -> bool:
        if self.consecutive_failures >= _MAX_CONSECUTIVE_FAILURES:
            return True
        return (
            self.attempts >= _FAILED_RATIO_MIN_ATTEMPTS
            and self.failed_ratio >= _MAX_FAILED_RATIO
        )

    def _eject(self, now_s: float) -> None:
        backoff_s = _INITIAL_BACKOFF_S * 2**self.ejections
        if backoff_s < _MAX_BACKOFF_S:
            self.ejections += 1
        self.probe_from_s = now_s + min(backoff_s, _MAX_BACKOFF_S)
        if self.ejected_s is None:
            self.ejected_s = now_s


@dataclasses.dataclass(frozen=True, slots=True)
class Restrictions:
    """Targets that get no requests, and those that get one at a time."""

    ejected: frozenset[TargetKey]
    probed: frozenset[TargetKey]


_NO_RESTRICTIONS = Restrictions(frozenset(), frozenset())


class Ejector:
    """Track the health of every target and decide which are ejected."""

    def __init__(self) -> None:
        """Start with all targets healthy."""
        self._health: dict[TargetKey, TargetHealth] = {}

    def health(self, key: TargetKey) -> TargetHealth:
        """Return the health record of a target; created on first use."""
        known = self._health.get(key)
        if known is None:
            known = TargetHealth()
            self._health[key] = known
        return known

    def restrictions(
        self,
        service_targets: Sequence[TargetKey],
        now_s: float,
    ) -> Restrictions:
        """Return which targets of a service get no requests or only probes.

        Parameters
        ----------
        service_targets
            All serving targets of the service.  At most half of them are
            ejected, in the order in which they failed: if more fail, the
            targets are probably not the cause, and the remaining ones must
            not be overloaded.
        now_s
            Monotonic time of this process, in seconds.

        Returns
        -------
        Restrictions
            The targets to leave out and the targets to probe.
        """
        restricted = self._restricted(service_targets)
        if not restricted:
            return _NO_RESTRICTIONS
        ejected = frozenset(
            key for key in restricted if now_s < self._health[key].probe_from_s
        )
        return Restrictions(ejected, frozenset(restricted) - ejected)

    def ejected_targets(self) -> frozenset[TargetKey]:
        """Return all targets that were ejected and not restored since."""
        return frozenset(
            key
            for key, health in self._health.items()
            if health.ejected_s is not None
        )

    def retain(self, known: set[TargetKey]) -> None:
        """Drop the health records of all targets but the known ones."""
        self._health = {
            key: health for key, health in self._health.items() if key in known
        }

    def _restricted(self, targets: Sequence[TargetKey]) -> list[TargetKey]:
        restricted = [
            key for key in targets if self.health(key).ejected_s is not None
        ]
        restricted.sort(key=self._ejected_s)
        max_ejected = int(len(targets) * _MAX_EJECTED_RATIO)
        return restricted[:max_ejected]

    def _ejected_s(self, key: TargetKey) -> float:
        return self.health(key).ejected_s or 0
