"""Count budgets that own actions break, through failures and waves."""

from __future__ import annotations

from collections.abc import Iterable

from bench.figures import Figure, at_most, told
from bench.fleet_driver import Policy
from bench.fleet_events import LISTS
from bench.fleet_layout import USERS
from bench.fleet_runs import CHOSEN, run_list

_BENCH = 'budget'
# Zones plan for themselves there, see `bench.fleet_zones`.
_CUT = 'zone-cut'
_FIXED = Policy(fixed_step_vms=4)


def run() -> Iterable[Figure]:
    """Yield what was broken in each list of each user."""
    for user in USERS:
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
            yield told(
                _BENCH,
                f'{name}: promise missed, worst pool',
                planned.longest_missing_s,
                's',
                fixed.longest_missing_s,
            )
            yield told(
                _BENCH,
                f'{name}: VMs maintained',
                planned.run.maintained,
                'VMs',
                fixed.run.maintained,
            )
