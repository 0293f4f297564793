"""Compare goodput with all load on one entry with that of even load.

Runs the real routers in a discrete-event simulation (``bench.slot_fleet``).
"""

from __future__ import annotations

from collections.abc import Iterator

from bench.figures import Figure, at_least, at_most, unbounded
from bench.slot_fleet import SERVICE_S, SLOTS, Fleet, Policy, Tally, TargetModel
from bench.slot_policies import LocalView, Routers, TwoChoices

_NAME = 'skew'
_ENTRIES = 2
_TARGETS = 2
_LENGTH_S = 8.0
_DEADLINE_S = 0.25
_WORK_BOUND_S = _DEADLINE_S + 0.5
_CAPACITY_PER_S = _TARGETS * SLOTS / SERVICE_S
_OVERLOAD = 1.2
_NORMAL_LOAD = 0.75
# One of the four slots of the idle entry's share is its reserve: 7 of 8.
_OVERLOAD_BOUND = 0.85
_NORMAL_LOAD_BOUND = 0.95


def run() -> Iterator[Figure]:
    """Measure and yield the figures; the baseline is fixed shares."""
    for load, name, bound in (
        (_OVERLOAD, 'overloaded', _OVERLOAD_BOUND),
        (_NORMAL_LOAD, 'usual', _NORMAL_LOAD_BOUND),
    ):
        yield at_least(
            _NAME,
            f'goodput_against_even_{name}',
            _ratio(load, is_lending=True),
            'ratio',
            bound,
            baseline=round(_ratio(load, is_lending=False), 3),
        )
    yield from _most_running()


def _most_running() -> Iterator[Figure]:
    # Under even overload, any policy may exceed the slots of a target.
    yield at_most(
        _NAME,
        'most_running_lent_slots',
        _drive(_routers(is_lending=True), _OVERLOAD, (0, 1)).max_running,
        'requests',
        SLOTS,
    )
    simpler: dict[str, Policy] = {
        'local_view': LocalView(_ENTRIES, _TARGETS),
        'two_choices': TwoChoices(_TARGETS),
    }
    for name, policy in simpler.items():
        tally = _drive(policy, _OVERLOAD, (0, 1))
        yield unbounded(
            _NAME,
            f'most_running_{name}',
            tally.max_running,
            'requests',
        )


def _ratio(load: float, *, is_lending: bool) -> float:
    uneven = _drive(_routers(is_lending=is_lending), load, (0,))
    even = _drive(_routers(is_lending=is_lending), load, (0, 1))
    return uneven.answered / even.answered


def _routers(*, is_lending: bool) -> Routers:
    return Routers(
        _ENTRIES,
        _TARGETS,
        _WORK_BOUND_S,
        is_lending=is_lending,
    )


def _drive(policy: Policy, load: float, entries: tuple[int, ...]) -> Tally:
    targets = [TargetModel() for _ in range(_TARGETS)]
    fleet = Fleet(targets, policy, _DEADLINE_S)
    return fleet.run(load * _CAPACITY_PER_S, entries, _LENGTH_S)
