"""Check that a graceful stop of an entry loses no request."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import signal
import tempfile
import time

import testtools
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
)

from bench.check import check
from bench.cluster import Process, Shape
from bench.kept_alive import KeptAliveCallers
from bench.leaving import (
    SERVICE,
    FaultScript,
    LoadResult,
    ZoneUnderTest,
    run_under_load,
)

_SHAPE = Shape(
    zones=('a',),
    entries_per_zone=3,
    services=(SERVICE,),
    targets_per_service=4,
    service_time_s=0.1,
)
_WARMUP_S = 1.0
_LOAD_S = 4.0
_RATE_PER_S = 120.0
_CALLERS = 48
_FORCED_EXIT_LIMIT_S = 0.5
_FORCED_EXIT_EVENT = '"number": 104'


class TestShutdown(testtools.TestCase):
    """Each test stops entries while callers keep sending."""

    def _run_fault(
        self, disturb: FaultScript, length_s: float = _LOAD_S
    ) -> LoadResult:
        folder = tempfile.TemporaryDirectory(prefix='shutdown-')
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name) / 'run'
        return run_under_load(
            self.folder, disturb, length_s, _SHAPE, _RATE_PER_S
        )

    def _check(self, result: LoadResult) -> None:
        self.assertThat(
            check(result.calls, result.runs).violations,
            HasLength(0),
        )
        self.assertThat(len(result.calls), GreaterThan(0))

    def test_callers_that_ignore_readiness(self) -> None:
        """No request on a kept-alive connection is lost."""
        outcomes: collections.Counter[str] = collections.Counter()

        async def disturb(stage: ZoneUnderTest) -> None:
            stopped = stage.cluster.entries[0]
            callers = KeptAliveCallers(stopped, SERVICE)
            calling = asyncio.ensure_future(callers.run(_CALLERS))
            await asyncio.sleep(_WARMUP_S)
            await _stop(stopped)
            await calling
            outcomes.update(callers.outcomes)

        self._check(self._run_fault(disturb, length_s=3.5))
        self.assertThat(outcomes['lost'], Equals(0))
        self.assertThat(outcomes['refused'], Equals(_CALLERS))
        self.assertThat(outcomes['ran'], GreaterThan(_CALLERS))

    def test_two_at_once(self) -> None:
        """Two of three entries stop at once; the third takes over."""

        async def disturb(stage: ZoneUnderTest) -> None:
            await asyncio.sleep(_WARMUP_S)
            first, second, _ = stage.cluster.entries
            await asyncio.gather(_stop(first), _stop(second))

        result = self._run_fault(disturb)
        self._check(result)
        after = [call for call in result.calls if call.is_answered]
        self.assertThat(
            len(after),
            GreaterThan(len(result.calls) * 0.95),
        )

    def test_frozen_and_killed(self) -> None:
        """One entry stops after it was suspended, while another is killed."""

        async def disturb(stage: ZoneUnderTest) -> None:
            frozen, killed, _ = stage.cluster.entries
            await asyncio.sleep(_WARMUP_S)
            frozen.send(signal.SIGSTOP)
            frozen.send(signal.SIGTERM)
            killed.send(signal.SIGKILL)
            await asyncio.sleep(1)
            frozen.send(signal.SIGCONT)
            await asyncio.to_thread(frozen.wait)

        result = self._run_fault(disturb)
        # Only requests in flight in the killed entry may be lost.
        lost = {call.entry for call in result.calls if call.outcome == 'lost'}
        self.assertThat(lost - {'entry-a1'}, Equals(set()))

    def test_second_signal(self) -> None:
        """A second signal stops the entry at once and logs a numbered event."""
        took: list[float] = []

        async def disturb(stage: ZoneUnderTest) -> None:
            stopped = stage.cluster.entries[0]
            await asyncio.sleep(_WARMUP_S)
            stopped.send(signal.SIGTERM)
            await asyncio.sleep(0.2)
            began_s = time.monotonic()
            stopped.send(signal.SIGTERM)
            status = await asyncio.to_thread(stopped.wait)
            took.append(time.monotonic() - began_s)
            self.assertThat(status, Equals(1))

        self._run_fault(disturb, length_s=2.5)
        log = (self.folder / 'entry-a0.log').read_text()
        self.assertThat(log, Contains(_FORCED_EXIT_EVENT))
        self.assertThat(took, HasLength(1))
        self.assertThat(took[0], LessThan(_FORCED_EXIT_LIMIT_S))


async def _stop(entry: Process) -> None:
    entry.send(signal.SIGTERM)
    status = await asyncio.to_thread(entry.wait)
    if status:
        raise AssertionError(f'{entry.name} ended with {status}')
