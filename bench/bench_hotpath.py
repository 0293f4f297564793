"""Measure the overhead of a call through an entry over a direct call."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Iterable, Iterator, Sequence

import aiohttp

from bench.cluster import Cluster, Process, Shape
from bench.figures import Figure, at_most, unbounded
from bench.open_loop import percentile_of_s
from bench.small_fleet import laid_out_fleet, start_fleet
from bench.usage import read_usage

_BENCH = 'hotpath'
_SERVICE = 'records'
TEXT = """
[fleet]
name = "hotpath"

[services.records]
deadline_s = 10.0
"""
SHAPE = Shape(
    zones=('a',),
    entries_per_zone=1,
    services=(_SERVICE,),
    targets_per_service=4,
    service_time_s=0,
)
_CALLERS = (1, 32, 256)
_LENGTH_S = 2.5
_WARM_UP_S = 1.0
_MEDIAN = 50
_US_PER_S = 1_000_000
_MAX_PROCESSOR_RATIO = 6.0
_MAX_MEDIAN_RATIO = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """Times and CPU cost of one path at one number of callers."""

    taken_s: Sequence[float]
    processor_s: float

    @property
    def processor_us_per_request(self) -> float:
        """Processor time of the measured process, in microseconds."""
        return self.processor_s * _US_PER_S / max(1, len(self.taken_s))

    @property
    def median_us(self) -> float:
        """Median time of a request, in microseconds."""
        return percentile_of_s(self.taken_s, _MEDIAN) * _US_PER_S


def run() -> Iterable[Figure]:
    """Call targets directly and through an entry, in turn.

    Yields
    ------
    Figure
        Processor time and latency; the baseline is the direct call's.
    """
    with laid_out_fleet(SHAPE) as cluster:
        start_fleet(cluster, TEXT)
        drive_through(cluster, 32, _WARM_UP_S)
        for callers in _CALLERS:
            direct = _drive_direct(cluster, callers)
            through = drive_through(cluster, callers, _LENGTH_S)
            yield from _figures(callers, direct, through)


def _figures(callers: int, direct: Level, through: Level) -> Iterator[Figure]:
    yield unbounded(
        _BENCH,
        f'processor_us_per_request_at_{callers}',
        through.processor_us_per_request,
        'us',
        round(direct.processor_us_per_request, 6),
    )
    yield unbounded(
        _BENCH,
        f'median_us_at_{callers}',
        through.median_us,
        'us',
        round(direct.median_us, 6),
    )
    yield unbounded(
        _BENCH,
        f'answered_per_s_at_{callers}',
        len(through.taken_s) / _LENGTH_S,
        '1/s',
        round(len(direct.taken_s) / _LENGTH_S, 6),
    )
    yield at_most(
        _BENCH,
        f'processor_ratio_at_{callers}',
        through.processor_us_per_request / direct.processor_us_per_request,
        'ratio',
        _MAX_PROCESSOR_RATIO,
        1.0,
    )
    yield at_most(
        _BENCH,
        f'median_ratio_at_{callers}',
        through.median_us / direct.median_us,
        'ratio',
        _MAX_MEDIAN_RATIO,
        1.0,
    )


def _drive_direct(cluster: Cluster, callers: int) -> Level:
    urls = [f'http://{target.http}/work' for target in cluster.targets]
    return _drive(urls, callers, _LENGTH_S, cluster.targets)


def drive_through(cluster: Cluster, callers: int, length_s: float) -> Level:
    """Call through the entry and return times and CPU cost.

    Parameters
    ----------
    cluster
        A running fleet.
    callers
        Number of callers, each sending one request after the other.
    length_s
        Duration, in seconds.

    Returns
    -------
    Level
        Times of the requests and processor time of the entry.
    """
    urls = [f'http://{cluster.entries[0].http}/s/{_SERVICE}/work']
    return _drive(urls, callers, length_s, cluster.entries)


def _drive(
    urls: Sequence[str],
    callers: int,
    length_s: float,
    measured: Sequence[Process],
) -> Level:
    before_s = _processor_s(measured)
    taken_s = asyncio.run(_call_all(urls, callers, length_s))
    return Level(taken_s, _processor_s(measured) - before_s)


async def _call_all(
    urls: Sequence[str],
    callers: int,
    length_s: float,
) -> list[float]:
    taken_s: list[float] = []
    ends_s = time.monotonic() + length_s
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        async with asyncio.TaskGroup() as group:
            for number in range(callers):
                url = urls[number % len(urls)]
                group.create_task(_call(session, url, ends_s, taken_s))
    return taken_s


async def _call(
    session: aiohttp.ClientSession,
    url: str,
    ends_s: float,
    taken_s: list[float],
) -> None:
    started_s = time.monotonic()
    while started_s < ends_s:
        async with session.post(url, data=b'work') as answer:
            await answer.read()
            assert answer.status == 200, answer.headers
        ended_s = time.monotonic()
        taken_s.append(ended_s - started_s)
        started_s = ended_s


def _processor_s(processes: Sequence[Process]) -> float:
    pids = [one.popen.pid for one in processes if one.popen is not None]
    return sum(read_usage(pid).processor_s for pid in pids)
