"""Check that a leaving target gets no new work despite other failures."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import tempfile

import testtools
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from bench.check import check
from bench.cluster import Process
from bench.leaving import (
    FaultScript,
    LoadResult,
    ZoneUnderTest,
    leave,
    run_under_load,
)

_LAST_WORK_LIMIT_S = 2.0
_WARMUP_S = 1.5
_LOAD_S = 5.5


class TestLeaving(testtools.TestCase):
    """Each test lets a target with a lease of 12 s leave."""

    def _run_fault(
        self, disturb: FaultScript, length_s: float = _LOAD_S
    ) -> LoadResult:
        folder = tempfile.TemporaryDirectory(prefix='leaving-')
        self.addCleanup(folder.cleanup)
        return run_under_load(
            pathlib.Path(folder.name) / 'run', disturb, length_s
        )

    def _check(self, result: LoadResult, *left: str) -> None:
        verdict = check(result.calls, result.runs)
        self.assertThat(verdict.violations, HasLength(0))
        for target_id in left:
            self.assertThat(
                result.last_new_work_s(target_id),
                LessThan(_LAST_WORK_LIMIT_S),
            )

    def test_told_entry_cut_off(self) -> None:
        """The only notified entry is cut off from its peers at that moment."""

        async def disturb(stage: ZoneUnderTest) -> None:
            notified = stage.cluster.entries[0]
            leaver = stage.cluster.targets[0]
            await asyncio.sleep(_WARMUP_S)
            stage.cut_off_except(leaver, notified)
            stage.isolate(notified)
            leave([leaver])

        self._check(self._run_fault(disturb), 'records-0')

    def test_told_entry_muted_and_another_cut_off(self) -> None:
        """Two targets leave; one entry can't send, another is cut off."""

        async def disturb(stage: ZoneUnderTest) -> None:
            muted, isolated, _ = stage.cluster.entries
            leavers = stage.cluster.targets[:2]
            await asyncio.sleep(_WARMUP_S)
            stage.cut_off_except(leavers[0], muted)
            stage.cut_off_except(leavers[1], isolated)
            stage.mute(muted)
            stage.isolate(isolated)
            leave(leavers)

        self._check(self._run_fault(disturb), 'records-0', 'records-1')

    def test_told_entry_killed(self) -> None:
        """The notified entry is cut off, killed and loses the notification."""

        async def disturb(stage: ZoneUnderTest) -> None:
            notified = stage.cluster.entries[0]
            leaver = stage.cluster.targets[0]
            await asyncio.sleep(_WARMUP_S)
            stage.cut_off_except(leaver, notified)
            stage.isolate(notified)
            leave([leaver])
            await asyncio.sleep(0.1)
            notified.send(signal.SIGKILL)
            notified.wait()
            stage.relay.heal()
            notified.start()

        result = self._run_fault(disturb)
        lost = [call for call in result.calls if call.outcome == 'lost']
        # Only requests in flight in the killed process may be lost.
        self.assertTrue(all(call.entry == 'entry-a0' for call in lost))
        self.assertThat(
            result.last_new_work_s('records-0'),
            LessThan(_LAST_WORK_LIMIT_S),
        )

    def test_entry_frozen(self) -> None:
        """An entry that was suspended during the leave resumes under load."""

        async def disturb(stage: ZoneUnderTest) -> None:
            asleep = stage.cluster.entries[1]
            leaver = stage.cluster.targets[0]
            await asyncio.sleep(_WARMUP_S)
            asleep.send(signal.SIGSTOP)
            await asyncio.sleep(0.1)
            leave([leaver])
            # The target stays up for 3 s after it was notified to leave.
            await asyncio.sleep(2.5)
            asleep.send(signal.SIGCONT)

        result = self._run_fault(disturb)
        self.assertThat(
            result.last_new_work_s('records-0'),
            LessThan(_LAST_WORK_LIMIT_S),
        )

    def test_restarted(self) -> None:
        """A target that left gets work again after a restart."""

        async def disturb(stage: ZoneUnderTest) -> None:
            leaver = stage.cluster.targets[0]
            await asyncio.sleep(_WARMUP_S)
            leave([leaver])
            await asyncio.sleep(0.5)
            await _restart(leaver)

        result = self._run_fault(disturb)
        self._check(result, 'records-0')
        processes = {run.process_id for run in result.work_of('records-0')}
        self.assertThat(processes, HasLength(2))

    def test_frozen_target(self) -> None:
        """A suspended target loses its lease; the other targets serve."""

        async def disturb(stage: ZoneUnderTest) -> None:
            await asyncio.sleep(_WARMUP_S)
            stage.cluster.targets[0].send(signal.SIGSTOP)

        result = self._run_fault(disturb)
        answered = [call for call in result.calls if call.is_answered]
        self.assertThat(len(answered), GreaterThan(len(result.calls) * 0.9))
        self.assertThat(
            check(result.calls, result.runs).violations,
            Equals(()),
        )


async def _restart(target: Process) -> None:
    target.send(signal.SIGKILL)
    await asyncio.to_thread(target.wait)
    target.start()
