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
from bench.leaving import Disturb, Played, Stage, leave, play

_LAST_WORK_LIMIT_S = 2.0
_WARMUP_S = 1.5
_LOAD_S = 5.5


class TestLeaving(testtools.TestCase):
    """Each test lets a target with a lease of 12 s leave."""

    def _run_fault(self, disturb: Disturb, length_s: float = _LOAD_S) -> Played:
        folder = tempfile.TemporaryDirectory(prefix='leaving-')
        self.addCleanup(folder.cleanup)
        return play(pathlib.Path(folder.name) / 'run', disturb, length_s)

    def _check(self, played: Played, *left: str) -> None:
        verdict = check(played.calls, played.runs)
        self.assertThat(verdict.violations, HasLength(0))
        for target_id in left:
            self.assertThat(
                played.last_new_work_s(target_id),
                LessThan(_LAST_WORK_LIMIT_S),
            )

    def test_told_entry_cut_off(self) -> None:
        """The only notified entry is cut off from its peers at that moment."""

        async def disturb(stage: Stage) -> None:
            told = stage.cluster.entries[0]
            leaver = stage.cluster.targets[0]
            await asyncio.sleep(_WARMUP_S)
            stage.let_tell_only(leaver, told)
            stage.isolate(told)
            leave([leaver])

        self._check(self._run_fault(disturb), 'records-0')

    def test_told_entry_muted_and_another_cut_off(self) -> None:
        """Two targets leave; one entry can't send, another is cut off."""

        async def disturb(stage: Stage) -> None:
            muted, isolated, _ = stage.cluster.entries
            leavers = stage.cluster.targets[:2]
            await asyncio.sleep(_WARMUP_S)
            stage.let_tell_only(leavers[0], muted)
            stage.let_tell_only(leavers[1], isolated)
            stage.mute(muted)
            stage.isolate(isolated)
            leave(leavers)

        self._check(self._run_fault(disturb), 'records-0', 'records-1')

    def test_told_entry_killed(self) -> None:
        """The notified entry is cut off, killed and loses the notification."""

        async def disturb(stage: Stage) -> None:
            told = stage.cluster.entries[0]
            leaver = stage.cluster.targets[0]
            await asyncio.sleep(_WARMUP_S)
            stage.let_tell_only(leaver, told)
            stage.isolate(told)
            leave([leaver])
            await asyncio.sleep(0.1)
            told.send(signal.SIGKILL)
            told.wait()
            stage.relay.heal()
            told.start()

        played = self._run_fault(disturb)
        lost = [call for call in played.calls if call.outcome == 'lost']
        # Only requests in flight in the killed process may be lost.
        self.assertTrue(all(call.entry == 'entry-a0' for call in lost))
        self.assertThat(
            played.last_new_work_s('records-0'),
            LessThan(_LAST_WORK_LIMIT_S),
        )

    def test_entry_frozen(self) -> None:
        """An entry that was suspended during the leave resumes under load."""

        async def disturb(stage: Stage) -> None:
            asleep = stage.cluster.entries[1]
            leaver = stage.cluster.targets[0]
            await asyncio.sleep(_WARMUP_S)
            asleep.send(signal.SIGSTOP)
            await asyncio.sleep(0.1)
            leave([leaver])
            # The target stays up for 3 s after it was told to leave.
            await asyncio.sleep(2.5)
            asleep.send(signal.SIGCONT)

        played = self._run_fault(disturb)
        self.assertThat(
            played.last_new_work_s('records-0'),
            LessThan(_LAST_WORK_LIMIT_S),
        )

    def test_restarted(self) -> None:
        """A target that left gets work again after a restart."""

        async def disturb(stage: Stage) -> None:
            leaver = stage.cluster.targets[0]
            await asyncio.sleep(_WARMUP_S)
            leave([leaver])
            await asyncio.sleep(0.5)
            await _restart(leaver)

        played = self._run_fault(disturb)
        self._check(played, 'records-0')
        processes = {run.process_id for run in played.work_of('records-0')}
        self.assertThat(processes, HasLength(2))

    def test_frozen_target(self) -> None:
        """A suspended target loses its lease; the other targets serve."""

        async def disturb(stage: Stage) -> None:
            await asyncio.sleep(_WARMUP_S)
            stage.cluster.targets[0].send(signal.SIGSTOP)

        played = self._run_fault(disturb)
        answered = [call for call in played.calls if call.is_answered]
        self.assertThat(len(answered), GreaterThan(len(played.calls) * 0.9))
        self.assertThat(
            check(played.calls, played.runs).violations,
            Equals(()),
        )


async def _restart(target: Process) -> None:
    target.send(signal.SIGKILL)
    await asyncio.to_thread(target.wait)
    target.start()
