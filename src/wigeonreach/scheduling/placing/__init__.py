"""Choose the worker for each task that may start."""

from wigeonreach.scheduling.placing._available_workers import (
    AvailableWorkers,
    CapacityByService,
)
from wigeonreach.scheduling.placing._home_zones import HomeZones
from wigeonreach.scheduling.placing._last_attempts import LastAttempts
from wigeonreach.scheduling.placing._locality import DataLocality
from wigeonreach.scheduling.placing._placing import Plan, TermTrackers

__all__ = (
    'AvailableWorkers',
    'CapacityByService',
    'DataLocality',
    'HomeZones',
    'LastAttempts',
    'Plan',
    'TermTrackers',
)
