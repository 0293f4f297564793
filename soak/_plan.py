"""Draw what goes wrong in one run from its seed."""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Iterator


class Fault(enum.StrEnum):
    """What is done to a process, its disk or its links from outside."""

    KILL = 'kill'
    TERMINATE = 'terminate'
    PAUSE = 'pause'
    KILL_ALL = 'kill-all'
    WIPE = 'wipe'
    REPLACE = 'replace'
    TORN_TAIL = 'torn-tail'
    DISK_FULL = 'disk-full'
    CUT = 'cut'
    CUT_IN = 'cut-in'
    CUT_OUT = 'cut-out'
    SPLIT = 'split'
    DELAY = 'delay'
    RESET = 'reset'
    SILENCE = 'silence'
    WORKER_CRASH = 'worker-crash'
    WORKERS_CUT = 'workers-cut'


# A disk that is lost counts against what the settings say may be lost.
_DISK_LOSSES = (Fault.WIPE, Fault.REPLACE)
_OTHERS = tuple(fault for fault in Fault if fault not in _DISK_LOSSES)
# Between two faults on average; each lasts longer, so that they overlap.
_GAP_S = 1.2
_SHORTEST_S = 0.3
_LONGEST_S = 5.0
# Of a hundred faults, so many come several times in a row.
_SERIES_PERCENT = 25
_SERIES_GAP_S = 0.7
_MOST_IN_SERIES = 4
_LOSS_PERCENT = 15


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One fault.

    Attributes
    ----------
    subject
        Which process it strikes, modulo how many there are.
    for_s
        How long it lasts, where it lasts.
    """

    at_s: float
    fault: Fault
    subject: int
    for_s: float


def draw_plan(seed: int, length_s: float, losses: int) -> tuple[Step, ...]:
    """Return the faults of one run, in the order of time.

    Parameters
    ----------
    seed
        Two calls with one seed draw the same.
    length_s
        After this no fault begins.
    losses
        Most disks that are lost in the run.
    """
    rng = random.Random(seed)  # noqa: S311
    steps: list[Step] = []
    at_s = rng.expovariate(1 / _GAP_S)
    while at_s < length_s:
        lost = sum(step.fault in _DISK_LOSSES for step in steps)
        steps.extend(_draw_step(rng, at_s, may_lose=lost < losses))
        at_s += rng.expovariate(1 / _GAP_S)
    return tuple(sorted(steps, key=lambda step: step.at_s))


def _draw_step(
    rng: random.Random,
    at_s: float,
    may_lose: bool,
) -> Iterator[Step]:
    subject = rng.randrange(1000)
    for_s = rng.uniform(_SHORTEST_S, _LONGEST_S)
    if may_lose and rng.randrange(100) < _LOSS_PERCENT:
        yield Step(at_s, rng.choice(_DISK_LOSSES), subject, for_s)
        return
    fault = rng.choice(_OTHERS)
    is_series = rng.randrange(100) < _SERIES_PERCENT
    times = rng.randint(2, _MOST_IN_SERIES) if is_series else 1
    for number in range(times):
        yield Step(at_s + number * _SERIES_GAP_S, fault, subject, for_s)
