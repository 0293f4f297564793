"""Measure goodput at several times the capacity."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import sys
import time
from collections.abc import Iterable, Iterator, Sequence

from bench.cluster import Cluster, Shape
from bench.figures import Figure, at_least, at_most, unbounded
from bench.open_loop import Sample, Stream, drive, percentile_s
from bench.small_fleet import laid_out_fleet, start_fleet
from wigeonreach.codes import ResultCode
from wigeonreach.standins._run_log import RunKind, read_run_log

_BENCH = 'overload'
_SERVICE = 'records'
_TEXT = """
[fleet]
name = "overload"

[services.records]
promised_slots = 16
deadline_s = 1.0
"""
_SHAPE = Shape(
    zones=('a',),
    entries_per_zone=1,
    services=(_SERVICE,),
    targets_per_service=2,
    service_time_s=0.1,
)
_RUN_SLOTS = 8
_CAPACITY_PER_S = 160.0
_LOADS = (0.5, 1.0, 2.0, 4.0)
_DEADLINE_S = 1.0
_LENGTH_S = 4.5
_NAIVE_LENGTH_S = 2.0
_SETTLE_S = 0.5
_MIN_SHARE_OF_PEAK = 0.9
_MAX_REFUSAL_SHARE = 0.25
_P99 = 99


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """The result of one policy at one load."""

    load: float
    length_s: float
    samples: Sequence[Sample]
    runs: int

    @property
    def goodput_per_s(self) -> float:
        """Responses within the deadline, per second."""
        return sum(one.is_good for one in self.samples) / self.length_s

    @property
    def p99_s(self) -> float:
        """99th percentile of the time until an answer, in seconds."""
        return percentile_s(
            (one for one in self.samples if one.outcome == 'ran'),
            _P99,
        )

    @property
    def runs_per_answer(self) -> float:
        """Runs that targets started per response in time."""
        return self.runs / max(1, sum(one.is_good for one in self.samples))


def run() -> Iterable[Figure]:
    """Run the entry and the naive policy at every load.

    Yields
    ------
    Figure
        Goodput, latency and work spent, each beside the naive policy's.
    """
    with _fleet() as cluster:
        ours = [_measure(cluster, load, _LENGTH_S) for load in _LOADS]
    naive = []
    for load in _LOADS:
        # A new fleet for each load: an overloaded target stays busy for long.
        with _naive_fleet() as naive_cluster:
            naive.append(_measure(naive_cluster, load, _NAIVE_LENGTH_S))
    for mine, theirs in zip(ours, naive, strict=True):
        yield from _level_figures(mine, theirs)
    yield at_least(
        _BENCH,
        'goodput_at_4_of_peak',
        _share_of_peak(ours),
        'ratio',
        _MIN_SHARE_OF_PEAK,
        round(_share_of_peak(naive), 6),
    )
    yield at_most(
        _BENCH,
        'refused_on_arrival_p99_of_deadline_at_4',
        _refusal_share(ours[-1]),
        'ratio',
        _MAX_REFUSAL_SHARE,
    )
    yield unbounded(
        _BENCH,
        'refused_after_waiting_share_at_4',
        _waited_share(ours[-1]),
        'ratio',
    )


def _level_figures(mine: Level, theirs: Level) -> Iterator[Figure]:
    for name, unit in (
        ('goodput_per_s', '1/s'),
        ('p99_s', 's'),
        ('runs_per_answer', 'ratio'),
    ):
        yield unbounded(
            _BENCH,
            f'{name}_at_{mine.load:g}',
            getattr(mine, name),
            unit,
            round(getattr(theirs, name), 6),
        )


def _share_of_peak(levels: Sequence[Level]) -> float:
    peak = max(level.goodput_per_s for level in levels)
    return levels[-1].goodput_per_s / max(peak, 1)


def _refusal_share(level: Level) -> float:
    # Requests that waited until they could not finish in time are excluded:
    # they were refused as soon as that was known.
    refused = [
        one
        for one in level.samples
        if one.outcome == 'not-run'
        and one.code != ResultCode.REQUEST_DEADLINE_PASSED
    ]
    return percentile_s(refused, _P99) / _DEADLINE_S


def _waited_share(level: Level) -> float:
    waited = [
        one
        for one in level.samples
        if one.code == ResultCode.REQUEST_DEADLINE_PASSED
    ]
    return len(waited) / len(level.samples)


def _measure(cluster: Cluster, load: float, length_s: float) -> Level:
    url = f'http://{cluster.entries[0].http}/s/{_SERVICE}/work'
    stream = Stream((url,), load * _CAPACITY_PER_S, _DEADLINE_S)
    samples = asyncio.run(drive([stream], length_s))
    time.sleep(_SETTLE_S)
    works = {one.work for one in samples}
    runs = [
        line
        for line in read_run_log(cluster.run_log)
        if line.kind is RunKind.START and line.work in works
    ]
    return Level(load, length_s, samples, len(runs))


@contextlib.contextmanager
def _fleet() -> Iterator[Cluster]:
    with _laid_out() as cluster:
        start_fleet(cluster, _TEXT)
        yield cluster


@contextlib.contextmanager
def _naive_fleet() -> Iterator[Cluster]:
    with _laid_out() as cluster:
        entry = cluster.entries[0]
        entry.command = [sys.executable, '-m', 'bench.naive_entry', entry.http]
        entry.command.append(str(len(cluster.targets)))
        for process in (entry, *cluster.targets):
            process.start()
        cluster.wait_until_ready()
        yield cluster


@contextlib.contextmanager
def _laid_out() -> Iterator[Cluster]:
    with laid_out_fleet(_SHAPE) as cluster:
        for target in cluster.targets:
            target.command.extend(('--run-slots', str(_RUN_SLOTS)))
        yield cluster
