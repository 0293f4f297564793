"""Count budget violations by own actions during failures and waves."""

from __future__ import annotations

from collections.abc import Iterable

from bench.figures import Figure, at_most, unbounded
from bench.fleet_driver import Policy
from bench.fleet_events import LISTS
from bench.fleet_layout import USERS, User
from bench.fleet_runs import CHOSEN, run_list
from bench.fleet_zones import ZonesRun, guard_violations
from wigeonreach.fleet import BufferWay

_BENCH = 'budget'
# Zones plan independently in this event list, see `bench.fleet_zones`.
_CUT = 'zone-cut'
_CUT_ZONE = 'b'
_CUT_S = 900.0
_HEALED_S = 2700.0
_FIXED = Policy(fixed_step_vms=4)


def run() -> Iterable[Figure]:
    """Yield the violations in each event list of each user."""
    for user in USERS:
        yield from _cut(user)
        way = CHOSEN[user.name]
        for events in sorted(LISTS.keys() - {_CUT}):
            planned = run_list(user, way, events)
            fixed = run_list(user, way, events, _FIXED)
            name = f'{user.name}, {events}'
            yield at_most(
                _BENCH,
                f'{name}: broken by own action, against steps of 4',
                len(planned.report.violations),
                'violations',
                0,
                len(fixed.report.violations),
            )
            yield unbounded(
                _BENCH,
                f'{name}: promise missed, worst pool',
                planned.longest_missing_s,
                's',
                fixed.longest_missing_s,
            )
            yield unbounded(
                _BENCH,
                f'{name}: VMs maintained',
                planned.run.maintained,
                'VMs',
                fixed.run.maintained,
            )


def _cut(user: User) -> Iterable[Figure]:
    vms = user.vms(user.size(BufferWay.PER_POOL))
    runs: dict[bool, ZonesRun] = {}
    for has_parts in (True, False):
        cut = ZonesRun(user, vms, has_parts=has_parts, counts_lost=False)
        cut.run(_CUT_ZONE, _CUT_S, _HEALED_S)
        runs[has_parts] = cut
    yield at_most(
        _BENCH,
        f'{user.name}, {_CUT}: steps unguarded over all zones, against no'
        ' parts',
        len(guard_violations(user, vms, runs[True].trace)),
        'steps',
        0,
        len(guard_violations(user, vms, runs[False].trace)),
    )
    rebooted = [
        line for line in runs[True].operations if line.endswith('reboot')
    ]
    yield at_most(
        _BENCH,
        f'{user.name}, {_CUT}: VMs not rebooted exactly once',
        abs(len(rebooted) - len(vms)),
        'VMs',
        0,
    )
