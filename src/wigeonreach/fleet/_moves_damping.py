"""Remember what keeps VMs from being moved to and fro."""

from __future__ import annotations

import collections
import dataclasses

from wigeonreach.fleet._moves_model import MoveSettings, UsageReport


@dataclasses.dataclass(slots=True)
class PoolDemand:
    """What one pool wants, as far as it has wanted it for long enough.

    Attributes
    ----------
    short_since_s
        Since when its promise is missed, or None.
    high_since_s
        Since when the usage measured is too high, or None.
    used_slots
        The newest usage.
    last_move_s
        When it last got a VM.
    asks_again_s
        Until when no VM could be found for it.
    spare_zone
        Where its maintenance waits for one VM more, or None.
    keeps_spare
        Whether what was lent to it helps its maintenance.
    """

    short_since_s: float | None = None
    high_since_s: float | None = None
    used_slots: float = 0.0
    last_move_s: float = float('-inf')
    asks_again_s: float = 0.0
    spare_zone: str | None = None
    keeps_spare: bool = True

    def note_short(self, now_s: float, *, is_short: bool) -> None:
        """Note whether the promise is missed."""
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
        """Take one report of usage, which is late.

        A report from before the last move showed says nothing of now.
        """
        if report.measured_at_s < self.last_move_s + settings.lag_s:
            return
        self.used_slots = report.used_slots
        if report.used_slots <= up_slots * settings.used_ratio:
            self.high_since_s = None
        elif self.high_since_s is None:
            self.high_since_s = report.measured_at_s

    def note_move(self, now_s: float) -> None:
        """Note that the pool gets a VM, which the usage must show first."""
        self.last_move_s = now_s
        self.high_since_s = None

    def is_high(self, now_s: float, settings: MoveSettings) -> bool:
        """Return whether usage has been high for long enough."""
        if self.high_since_s is None:
            return False
        return now_s - self.high_since_s >= settings.hold_s


class VmHistory:
    """When VMs were moved and lost.

    Parameters
    ----------
    settings
        How long each counts.
    """

    def __init__(self, settings: MoveSettings) -> None:
        """Start with nothing remembered."""
        self._settings = settings
        self._moved: dict[str, float] = {}
        self._lost: dict[str, collections.deque[float]] = {}

    def note_moved(self, vm: str, now_s: float) -> None:
        """Remember a move."""
        self._moved[vm] = now_s

    def note_lost(self, vm: str, now_s: float) -> None:
        """Remember a loss."""
        changes = self._lost.setdefault(
            vm,
            collections.deque(maxlen=self._settings.flap_changes),
        )
        changes.append(now_s)

    def is_settled(self, vm: str, now_s: float, stay_s: float) -> bool:
        """Return whether a VM has been in its pool for so long."""
        moved_s = self._moved.get(vm)
        return moved_s is None or now_s - moved_s >= stay_s

    def is_flapping(self, vm: str, now_s: float) -> bool:
        """Return whether a VM was lost too often of late."""
        changes = self._lost.get(vm, ())
        since_s = now_s - self._settings.flap_window_s
        recent = sum(1 for at_s in changes if at_s > since_s)
        return recent >= self._settings.flap_changes
