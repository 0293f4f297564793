"""Keep work away from targets whose attempts fail."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from wigeonreach.entry._slots import Ending, TargetKey

_FAILURES_IN_A_ROW = 5
_FAILED_RATIO = 0.5
_FAILED_RATIO_AFTER = 20
_SMOOTHING = 0.1
_NEGLIGIBLE_RATIO = 0.05
_FIRST_BACKOFF_S = 1.0
_LONGEST_BACKOFF_S = 30.0
_PROBES_PASSED = 3
_FORGIVEN_AFTER = 50
_LARGEST_EJECTED_RATIO = 0.5


@dataclasses.dataclass(slots=True)
class Health:
    """What the last attempts at one target tell about it."""

    attempts: int = 0
    failures_in_a_row: int = 0
    successes_in_a_row: int = 0
    failed_ratio: float = 0
    failed_s: float = 0
    ejections: int = 0
    ejected_s: float | None = None
    probe_from_s: float = 0

    def record(self, ending: Ending, now_s: float) -> None:
        """Learn how one attempt ended.

        Parameters
        ----------
        ending
            How it ended.
        now_s
            Monotonic time of this process, in seconds.
        """
        if ending in {Ending.ABANDONED, Ending.UNUSED}:
            return
        self.attempts += 1
        if ending is Ending.ANSWERED:
            self._succeed()
        else:
            self._fail(now_s)

    def recent_failed_ratio(self, now_s: float) -> float:
        """Return the share of failures, which fades while nothing is tried.

        Without that a target that failed once would get nothing for as long
        as another is idle, and so no chance to do better.
        """
        if not self.failed_ratio:
            return 0
        faded = self.failed_ratio * 0.5 ** (now_s - self.failed_s)
        return faded if faded > _NEGLIGIBLE_RATIO else 0

    def _succeed(self) -> None:
        self.failures_in_a_row = 0
        self.successes_in_a_row += 1
        self.failed_ratio -= _SMOOTHING * self.failed_ratio
        if self.successes_in_a_row >= _PROBES_PASSED:
            self.ejected_s = None
        if self.successes_in_a_row >= _FORGIVEN_AFTER:
            self.ejections = 0

    def _fail(self, now_s: float) -> None:
        self.failed_s = now_s
        self.failures_in_a_row += 1
        self.successes_in_a_row = 0
        self.failed_ratio += _SMOOTHING * (1 - self.failed_ratio)
        if self.ejected_s is not None:
            if now_s >= self.probe_from_s:
                self._eject(now_s)
        elif self._is_failing():
            self._eject(now_s)

    def _is_failing(self) -> bool:
        if self.failures_in_a_row >= _FAILURES_IN_A_ROW:
            return True
        return (
            self.attempts >= _FAILED_RATIO_AFTER
            and self.failed_ratio >= _FAILED_RATIO
        )

    def _eject(self, now_s: float) -> None:
        backoff_s = _FIRST_BACKOFF_S * 2**self.ejections
        if backoff_s < _LONGEST_BACKOFF_S:
            self.ejections += 1
        self.probe_from_s = now_s + min(backoff_s, _LONGEST_BACKOFF_S)
        if self.ejected_s is None:
            self.ejected_s = now_s


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """Targets that get no work now, and those that get one at a time."""

    ejected: frozenset[TargetKey]
    probed: frozenset[TargetKey]


_ALL_WELL = Judgement(frozenset(), frozenset())


class Ejector:
    """Health of every target, and which of them get no work for now."""

    def __init__(self) -> None:
        """Start with all targets in good health."""
        self._health: dict[TargetKey, Health] = {}

    def health(self, key: TargetKey) -> Health:
        """Return what is known of a target."""
        known = self._health.get(key)
        if known is None:
            known = Health()
            self._health[key] = known
        return known

    def judge(
        self,
        service_targets: Sequence[TargetKey],
        now_s: float,
    ) -> Judgement:
        """Tell which targets of a service get no work or only probes.

        Parameters
        ----------
        service_targets
            All targets of the service that serve.  At most half of them are
            ejected, those first that failed first: if more fail, the cause
            is not theirs alone, and the rest shall not be overrun.
        now_s
            Monotonic time of this process, in seconds.

        Returns
        -------
        Judgement
            The targets to leave out and the targets to probe.
        """
        failed = self._failed(service_targets)
        if not failed:
            return _ALL_WELL
        ejected = frozenset(
            key for key in failed if now_s < self._health[key].probe_from_s
        )
        return Judgement(ejected, frozenset(failed) - ejected)

    def failing(self) -> frozenset[TargetKey]:
        """Return all targets that failed and have not done better since."""
        return frozenset(
            key
            for key, health in self._health.items()
            if health.ejected_s is not None
        )

    def forget(self, known: set[TargetKey]) -> None:
        """Forget targets that are gone."""
        self._health = {
            key: health for key, health in self._health.items() if key in known
        }

    def _failed(self, targets: Sequence[TargetKey]) -> list[TargetKey]:
        failed = [
            key for key in targets if self.health(key).ejected_s is not None
        ]
        failed.sort(key=self._ejected_s)
        most = int(len(targets) * _LARGEST_EJECTED_RATIO)
        return failed[:most]

    def _ejected_s(self, key: TargetKey) -> float:
        return self.health(key).ejected_s or 0
