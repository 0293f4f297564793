"""Measure attempts and goodput while a third of the targets fail or are slow.

Runs the real routers and retry budgets in a discrete-event simulation
(``bench.slot_fleet``).
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from bench.figures import Figure, at_least, at_most
from bench.slot_fleet import SERVICE_S, SLOTS, Fleet, Policy, Tally, TargetModel
from bench.slot_policies import RandomTargets, Routers

_NAME = 'brownout'
_ENTRIES = 2
_TARGETS = 6
_BAD_TARGETS = 2
_LENGTH_S = 10.0
_DEADLINE_S = 0.25
_WORK_BOUND_S = _DEADLINE_S + 0.5
_LOAD = 0.5
_SLOWER = 30
_ATTEMPTS_BOUND = 1.1
_GOODPUT_BOUND = 0.97


def run() -> Iterator[Figure]:
    """Measure; the baseline is random targets and unbounded retries."""
    bad_targets = {
        'failing': TargetModel(fails=True),
        'slow': TargetModel(service_s=SERVICE_S * _SLOWER),
    }
    for name, bad in bad_targets.items():
        targets = [
            bad if number < _BAD_TARGETS else TargetModel()
            for number in range(_TARGETS)
        ]
        ours = _drive(targets, Routers(_ENTRIES, _TARGETS, _WORK_BOUND_S))
        simple = _drive(
            targets,
            RandomTargets(_ENTRIES, _TARGETS),
            is_unbounded=True,
        )
        yield at_most(
            _NAME,
            f'attempts_per_request_{name}',
            ours.attempts_per_request,
            'attempts',
            _ATTEMPTS_BOUND,
            baseline=round(simple.attempts_per_request, 3),
        )
        yield at_least(
            _NAME,
            f'goodput_{name}',
            ours.answered_ratio,
            'ratio',
            _GOODPUT_BOUND,
            baseline=round(simple.answered_ratio, 3),
        )


def _drive(
    targets: Sequence[TargetModel],
    policy: Policy,
    *,
    is_unbounded: bool = False,
) -> Tally:
    fleet = Fleet(targets, policy, _DEADLINE_S, is_unbounded=is_unbounded)
    rate_per_s = _LOAD * _TARGETS * SLOTS / SERVICE_S
    return fleet.run(rate_per_s, range(_ENTRIES), _LENGTH_S)
