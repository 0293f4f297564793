"""Decide for the whole fleet what is served while VMs are short."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from wigeonreach.jobs import JobStore
from wigeonreach.observe import LogEvent
from wigeonreach.scheduling._notes import LogNote
from wigeonreach.scheduling.shortage._fleet_work import (
    FleetCapacity,
    FleetWork,
    all_in_time,
    split_work,
)
from wigeonreach.scheduling.shortage._triage import PendingOccurrence

# A shortage has ended once there were enough VMs for this long; demand and VMs
# change several times a second.
_ENDED_AFTER_S = 1.0
_FLEET = 'fleet'


@dataclasses.dataclass(frozen=True, slots=True)
class FleetFigures:
    """VMs that there are, and that the work of all pools needs.

    Attributes
    ----------
    vms
        VMs of all pools, the standby pool included.
    needed_vms
        VMs for all accepted work.
    needed_in_time_vms
        VMs for the work that can still be in time.
    late_jobs
        Occurrences that can't be in time, or that are deferred.
    """

    vms: int
    needed_vms: int
    needed_in_time_vms: int
    late_jobs: int

    @property
    def is_short(self) -> bool:
        """Whether there are fewer VMs than the work needs."""
        return self.needed_vms > self.vms


class Shortage:
    """Splits the work of the fleet, and notes when VMs are short.

    Parameters
    ----------
    store
        The replicated state with the weights; it is only read.
    is_enabled
        Whether late work makes way for work in time.

    Attributes
    ----------
    figures
        Figures of the last plan; None before the first.
    """

    def __init__(self, store: JobStore, is_enabled: bool) -> None:
        """Start without a shortage."""
        self.is_enabled = is_enabled
        self._notes: list[LogNote] = []
        self.figures: FleetFigures | None = None
        self._store = store
        self._last_short_s: float | None = None

    def weights(self) -> dict[str, float]:
        """Return the weights of the workspaces that have one."""
        if not self.is_enabled:
            return {}
        return {
            spec.name: float(spec.weight)
            for spec in self._store.manifest.workspaces or ()
            if spec.weight
        }

    def split(
        self,
        jobs: Iterable[PendingOccurrence],
        capacity: FleetCapacity,
        now_s: float,
    ) -> FleetWork:
        """Return the work of all queues, with what can be on time."""
        if not self.is_enabled:
            return all_in_time(jobs)
        return split_work(jobs, capacity, now_s, self.weights())

    def note_figures(self, figures: FleetFigures | None, now_s: float) -> None:
        """Record what the last plan found, if anything."""
        self.figures = figures
        if figures is None or not self.is_enabled:
            return
        if figures.is_short:
            if self._last_short_s is None:
                self._add_note(LogEvent.SHORTAGE_BEGAN)
            self._last_short_s = now_s
        elif (
            self._last_short_s is not None
            and now_s - self._last_short_s > _ENDED_AFTER_S
        ):
            self._last_short_s = None
            self._add_note(LogEvent.SHORTAGE_ENDED)

    def take_notes(self) -> list[LogNote]:
        """Return the notes that are still to be logged, once."""
        notes = self._notes
        self._notes = []
        return notes

    def _add_note(self, event: LogEvent) -> None:
        figures = self.figures
        if figures is None:
            return
        reason = (
            f'{figures.vms} VMs, {figures.needed_vms} needed,'
            f' {figures.needed_in_time_vms} for work in time,'
            f' {figures.late_jobs} jobs late'
        )
        self._notes.append(LogNote(event, _FLEET, reason))
