"""Records of demand, moves and losses that prevent oscillating moves."""

from __future__ import annotations

import collections
import dataclasses

from wigeonreach.fleet._moves_model import MoveSettings, UsageReport


@dataclasses.dataclass(slots=True)
class PoolDemand:
    """Demand of one pool for further VMs.

    Attributes
    ----------
    short_since_s
        Time since which promised slots are missing, or None.
    high_since_s
        Time since which the measured usage is too high, or None.
    used_slots
        Most recent usage.
    last_move_s
        Time of the last move to the pool.
    retry_at_s
        Earliest time of the next request, after no VM could be found.
    spare_zone
        Zone in which its maintenance waits for another VM, or None.
    keeps_spare
        Whether the pool may keep VMs lent for its maintenance; false after
        no VM could be found for it.
    """

    short_since_s: float | None = None
    high_since_s: float | None = None
    used_slots: float = 0.0
    last_move_s: float = float('-inf')
    retry_at_s: float = 0.0
    spare_zone: str | None = None
    keeps_spare: bool = True

    def note_short(self, now_s: float, *, is_short: bool) -> None:
        """Record whether promised slots are missing."""
        if not is_short:
            self.short_since_s = None
        elif self.short_since_s is None:
            self.short_since_s = now_s

    def note_usage(
        self,
        report: UsageReport,
        up_slots: float,
        settings: MoveSettings,
    ) -> None:
        """Process one usage report, which arrives with a delay.

        Reports measured before the last move took effect are ignored.
        """
        if report.measured_at_s < self.last_move_s + settings.usage_lag_s:
            return
        self.used_slots = report.used_slots
        if report.used_slots <= up_slots * settings.max_usage_ratio:
            self.high_since_s = None
        elif self.high_since_s is None:
            self.high_since_s = report.measured_at_s

    def note_move(self, now_s: float) -> None:
        """Record a move to the pool and wait for it to affect the usage."""
        self.last_move_s = now_s
        self.high_since_s = None

    def is_high(self, now_s: float, settings: MoveSettings) -> bool:
        """Return whether usage has been high for long enough."""
        if self.high_since_s is None:
            return False
        return now_s - self.high_since_s >= settings.high_usage_s


class VmHistory:
    """Times at which VMs were moved and lost.

    Parameters
    ----------
    settings
        Time limits that apply to these records.
    """

    def __init__(self, settings: MoveSettings) -> None:
        """Start without records."""
        self._settings = settings
        self._moved: dict[str, float] = {}
        self._lost: dict[str, collections.deque[float]] = {}

    def note_moved(self, vm: str, now_s: float) -> None:
        """Record a move."""
        self._moved[vm] = now_s

    def note_lost(self, vm: str, now_s: float) -> None:
        """Record a loss."""
        changes = self._lost.setdefault(
            vm,
            collections.deque(maxlen=self._settings.flap_changes),
        )
        changes.append(now_s)

    def is_settled(self, vm: str, now_s: float, min_stay_s: float) -> bool:
        """Return whether a VM was not moved within the last `min_stay_s`."""
        moved_s = self._moved.get(vm)
        return moved_s is None or now_s - moved_s >= min_stay_s

    def is_flapping(self, vm: str, now_s: float) -> bool:
        """Return whether a VM was lost too often within the flap window."""
        changes = self._lost.get(vm, ())
        since_s = now_s - self._settings.flap_window_s
        recent = sum(1 for at_s in changes if at_s > since_s)
        return recent >= self._settings.flap_changes
