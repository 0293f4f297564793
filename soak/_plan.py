"""Generate the fault schedule of a soak run from its seed."""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Iterator


class Fault(enum.StrEnum):
    """A fault injected into a process, its disk or its links."""

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


# Faults that lose a disk; a run injects at most the configured number.
_DISK_LOSS_FAULTS = (Fault.WIPE, Fault.REPLACE)
_OTHER_FAULTS = tuple(
    fault for fault in Fault if fault not in _DISK_LOSS_FAULTS
)
# Mean gap between two faults; shorter than most faults, so that they overlap.
_MEAN_GAP_S = 1.2
_MIN_DURATION_S = 0.3
_MAX_DURATION_S = 5.0
# Percentage of faults that are repeated several times in a row.
_SERIES_PERCENT = 25
_SERIES_GAP_S = 0.7
_MAX_SERIES_LENGTH = 4
_DISK_LOSS_PERCENT = 15


@dataclasses.dataclass(frozen=True, slots=True)
class FaultEvent:
    """One scheduled fault.

    Attributes
    ----------
    at_s
        When it is injected, in seconds after the start of the schedule.
    fault
        Kind of fault.
    selector
        Selects the affected process: its index modulo their number.
    duration_s
        How long it lasts, in seconds; unused for instantaneous faults.
    """

    at_s: float
    fault: Fault
    selector: int
    duration_s: float


def draw_plan(
    seed: int, length_s: float, max_disk_losses: int
) -> tuple[FaultEvent, ...]:
    """Return the faults of one run, in chronological order.

    Parameters
    ----------
    seed
        Seed of the schedule; equal seeds give equal schedules.
    length_s
        Time after which no fault is injected, in seconds.
    max_disk_losses
        Maximum number of disks lost during the run.
    """
    rng = random.Random(seed)  # noqa: S311
    events: list[FaultEvent] = []
    at_s = rng.expovariate(1 / _MEAN_GAP_S)
    while at_s < length_s:
        lost = sum(event.fault in _DISK_LOSS_FAULTS for event in events)
        events.extend(
            _draw_events(rng, at_s, may_lose_disk=lost < max_disk_losses)
        )
        at_s += rng.expovariate(1 / _MEAN_GAP_S)
    return tuple(sorted(events, key=lambda event: event.at_s))


def _draw_events(
    rng: random.Random,
    at_s: float,
    may_lose_disk: bool,
) -> Iterator[FaultEvent]:
    selector = rng.randrange(1000)
    duration_s = rng.uniform(_MIN_DURATION_S, _MAX_DURATION_S)
    if may_lose_disk and rng.randrange(100) < _DISK_LOSS_PERCENT:
        yield FaultEvent(
            at_s, rng.choice(_DISK_LOSS_FAULTS), selector, duration_s
        )
        return
    fault = rng.choice(_OTHER_FAULTS)
    is_series = rng.randrange(100) < _SERIES_PERCENT
    count = rng.randint(2, _MAX_SERIES_LENGTH) if is_series else 1
    for number in range(count):
        yield FaultEvent(
            at_s + number * _SERIES_GAP_S, fault, selector, duration_s
        )
