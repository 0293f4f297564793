"""Simulate the scheduler against an emulated fleet, in virtual time.

Policies are compared on generated days of a few seconds each; many are
simulated in a minute, where the real system takes a minute for each.  Daemons
do not import this package.
"""

from wigeonreach.lab._checks import (
    BrokenRuleError,
    check_start,
    check_workers,
)
from wigeonreach.lab._day import Day, DayPlan
from wigeonreach.lab._demand import DemandPlan, Flood, KindShares
from wigeonreach.lab._fleet import FleetPlan
from wigeonreach.lab._outcome import Outcome
from wigeonreach.lab._variants import VARIANTS, Variant, applied
from wigeonreach.lab._virtual_leader import VirtualLead, commit

__all__ = (
    'VARIANTS',
    'BrokenRuleError',
    'Day',
    'DayPlan',
    'DemandPlan',
    'FleetPlan',
    'Flood',
    'KindShares',
    'Outcome',
    'Variant',
    'VirtualLead',
    'applied',
    'check_start',
    'check_workers',
    'commit',
)
