"""Decide what a fleet serves that is asked for more than it can do."""

from wigeonreach.scheduling.shortage._allocation import fair_shares, late_share
from wigeonreach.scheduling.shortage._emptying import (
    EmptyingVm,
    emptying_order,
    emptying_vm,
)
from wigeonreach.scheduling.shortage._fleet_work import (
    FleetCapacity,
    FleetWork,
    all_in_time,
)
from wigeonreach.scheduling.shortage._shortage import FleetFigures, Shortage
from wigeonreach.scheduling.shortage._triage import (
    OccurrenceId,
    PendingOccurrence,
    deferred_occurrences,
)

__all__ = (
    'EmptyingVm',
    'FleetCapacity',
    'FleetFigures',
    'FleetWork',
    'OccurrenceId',
    'PendingOccurrence',
    'Shortage',
    'all_in_time',
    'deferred_occurrences',
    'emptying_order',
    'emptying_vm',
    'fair_shares',
    'late_share',
)
