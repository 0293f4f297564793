"""Send requests at a fixed rate and measure which are answered in time."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Iterable, Mapping, Sequence

import aiohttp
from hdrh.histogram import HdrHistogram

_MAX_TRACKED_US = 120_000_000
_DIGITS = 3
_US_PER_S = 1_000_000
_MS_PER_S = 1000
_GRACE_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """One stream of equal requests at a fixed rate.

    ``urls`` are asked in turn; ``deadline_s`` is what the caller waits for.
    """

    urls: tuple[str, ...]
    rate_per_s: float
    deadline_s: float
    team: str = ''
    method: str = 'POST'


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The result of one request; times are measured from when it was due."""

    work: str
    team: str
    taken_s: float
    deadline_s: float
    status: int
    outcome: str
    code: int
    return_after_s: int

    @property
    def is_good(self) -> bool:
        """Whether a target's answer came within the deadline."""
        is_ran = self.outcome == 'ran' and self.status == 200
        return is_ran and self.taken_s <= self.deadline_s


def goodput_ratio(samples: Sequence[Sample]) -> float:
    """Return the share of requests that were answered in time."""
    return sum(sample.is_good for sample in samples) / max(1, len(samples))


def percentile_s(samples: Iterable[Sample], percentile: float) -> float:
    """Return a percentile of the times, in seconds, late answers included."""
    return percentile_of_s((one.taken_s for one in samples), percentile)


def percentile_of_s(times_s: Iterable[float], percentile: float) -> float:
    """Return a percentile of times, in seconds."""
    histogram = HdrHistogram(1, _MAX_TRACKED_US, _DIGITS)
    for taken_s in times_s:
        histogram.record_value(max(1, int(taken_s * _US_PER_S)))
    return float(histogram.get_value_at_percentile(percentile) / _US_PER_S)


async def drive(streams: Sequence[Stream], length_s: float) -> list[Sample]:
    """Send all streams concurrently, independent of responses.

    Parameters
    ----------
    streams
        What to send.
    length_s
        How long to send, in seconds.

    Returns
    -------
    list of Sample
        One for each request.
    """
    samples: list[Sample] = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        async with asyncio.TaskGroup() as group:
            for number, stream in enumerate(streams):
                prefix = f'{number}-{time.monotonic_ns()}'
                sender = _Sender(session, stream, prefix, samples)
                group.create_task(sender.run(length_s))
    return samples


class _Sender:
    def __init__(
        self,
        session: aiohttp.ClientSession,
        stream: Stream,
        prefix: str,
        samples: list[Sample],
    ) -> None:
        self._session = session
        self._stream = stream
        self._prefix = prefix
        self._samples = samples

    async def run(self, length_s: float) -> None:
        rate_per_s = self._stream.rate_per_s
        start_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number in range(int(rate_per_s * length_s)):
                due_s = start_s + number / rate_per_s
                await asyncio.sleep(max(0, due_s - time.monotonic()))
                group.create_task(self._send(number, due_s))

    async def _send(self, number: int, due_s: float) -> None:
        stream = self._stream
        work = f'{self._prefix}-{number}'
        headers = {'X-Deadline-Ms': str(int(stream.deadline_s * _MS_PER_S))}
        if stream.team:
            headers['X-Team'] = stream.team
        try:
            sample = await self._request(number, work, headers, due_s)
        except (aiohttp.ClientError, OSError, TimeoutError):
            sample = self._sample(work, due_s, 0, {})
        self._samples.append(sample)

    async def _request(
        self,
        number: int,
        work: str,
        headers: dict[str, str],
        due_s: float,
    ) -> Sample:
        stream = self._stream
        async with self._session.request(
            stream.method,
            stream.urls[number % len(stream.urls)],
            data=work,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=stream.deadline_s + _GRACE_S),
        ) as answer:
            await answer.read()
            return self._sample(work, due_s, answer.status, answer.headers)

    def _sample(
        self,
        work: str,
        due_s: float,
        status: int,
        headers: Mapping[str, str],
    ) -> Sample:
        return Sample(
            work=work,
            team=self._stream.team,
            taken_s=time.monotonic() - due_s,
            deadline_s=self._stream.deadline_s,
            status=status,
            outcome=headers.get('X-Outcome', ''),
            code=int(headers.get('X-Result-Code', '-1')),
            return_after_s=int(headers.get('Retry-After', '0')),
        )
