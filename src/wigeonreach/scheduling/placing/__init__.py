"""Choose the worker for each task that may start."""

from wigeonreach.scheduling.placing._available_workers import AvailableWorkers
from wigeonreach.scheduling.placing._advice import TicketCache
from wigeonreach.scheduling.placing._avoided_workers import AvoidedWorkers
from wigeonreach.scheduling.placing._home_zones import HomeZones
from wigeonreach.scheduling.placing._locality import DataLocality
from wigeonreach.scheduling.placing._placing import Plan, TermTrackers
from wigeonreach.scheduling.placing._worker_capacity import (
    AvailableCapacity,
    CapacityByService,
)

__all__ = (
    'AvailableCapacity',
    'AvailableWorkers',
    'AvoidedWorkers',
    'CapacityByService',
    'DataLocality',
    'HomeZones',
    'Plan',
    'TermTrackers',
    'TicketCache',
)
