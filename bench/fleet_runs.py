"""Run users' fleets through event lists for several benchmarks."""

from __future__ import annotations

import dataclasses
from types import MappingProxyType

from bench.fleet_check import Report, check_trace
from bench.fleet_driver import Driver, Policy, Run
from bench.fleet_events import read_events
from bench.fleet_layout import TONG_DAI, UWANJA, User
from wigeonreach.fleet import BufferWay

HOUR_S = 3600.0
DAY_S = 24 * HOUR_S
# Buffer strategy chosen for each user: see docs/design/capacity.md.
CHOSEN = MappingProxyType(
    {
        UWANJA.name: BufferWay.BORROWED,
        TONG_DAI.name: BufferWay.COVERED,
    }
)
_ENDS_S = MappingProxyType({'day': DAY_S})
_END_S = 8 * HOUR_S


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """A run and the report of its check."""

    vms: int
    run: Run
    report: Report

    @property
    def longest_missing_s(self) -> float:
        """Longest time that a pool was below its promise, in seconds."""
        return max(self.report.missing_s.values(), default=0)


def run_list(
    user: User,
    way: BufferWay,
    events: str,
    policy: Policy | None = None,
) -> Result:
    """Run a fleet, sized by a buffer strategy, through one event list."""
    end_s = _ENDS_S.get(events, _END_S)
    vms = user.vms(user.size(way))
    driver = Driver(user, vms, policy or Policy())
    run = driver.run(read_events(f'{user.name}-{events}'), end_s)
    report = check_trace(driver.text, run.initial, run.trace, end_s)
    return Result(len(vms), run, report)
