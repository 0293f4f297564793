"""Check that no target exceeds its slots despite failures of entries."""

from __future__ import annotations

import asyncio
import pathlib
import shutil
import signal
import time
from collections.abc import Awaitable, Callable

import testtools
from testtools.matchers import Equals, GreaterThan, HasLength

from bench.check import check
from bench.cluster import Cluster, Shape
from bench.load import Call, Load
from bench.relay import Relay
from wigeonreach.standins._run_log import RunKind, RunLine, read_run_log

_FOLDER = pathlib.Path('run/proof-slots')
_SLOTS = 8
_FIXED_SHARE = 4
_RATE_PER_S = 60.0
_ZONE_B_RATE_PER_S = 40.0
_ANNOUNCE_WAIT_S = 2.0
# Long enough for runs to overlap a failure, and short enough to end well
# before the deadline and its grace period.
_SERVICE_TIME_S = 0.25
_DEADLINE_S = 4.0
_TAKEOVER_S = 1.0 + _DEADLINE_S + 0.5
_TEXT = f"""
[fleet]
name = "slots"

[services.records]
promised_slots = 8
deadline_s = {_DEADLINE_S}
"""
_SHAPE = Shape(
    zones=('a',),
    entries_per_zone=2,
    services=('records',),
    targets_per_service=2,
    service_time_s=_SERVICE_TIME_S,
)
_TWO_ZONES = Shape(
    zones=('a', 'b'),
    entries_per_zone=1,
    services=('records',),
    targets_per_service=1,
    service_time_s=0.05,
)
_FOREIGN_CAP = 2
_Disturb = Callable[[Cluster], Awaitable[None]]


class TestSlots(testtools.TestCase):
    """Two entries share two targets of eight slots under twice their load."""

    def test_cut_and_frozen(self) -> None:
        """Entries that are suspended or cut off stay within the slots."""
        relay = Relay()
        self.addCleanup(relay.close)
        cluster = self._cluster(relay)

        async def disturb(_cluster: Cluster) -> None:
            left, right = cluster.entries
            for frozen in (left, right):
                frozen.send(signal.SIGSTOP)
                await asyncio.sleep(2.5)
                frozen.send(signal.SIGCONT)
                await asyncio.sleep(2)
            relay.cut_between({left.name}, {right.name})
            await asyncio.sleep(4)
            relay.heal()
            await asyncio.sleep(1)
            relay.cut_one_way(left.name, right.name)
            await asyncio.sleep(3)
            relay.heal()
            await asyncio.sleep(2)

        self._check(cluster, asyncio.run(_drive(cluster, disturb)))

    def test_killed(self) -> None:
        """A killed entry's share is taken over in time, and never twice."""
        cluster = self._cluster(None)
        alone: list[float] = []

        async def disturb(_cluster: Cluster) -> None:
            left, right = cluster.entries
            right.send(signal.SIGKILL)
            await asyncio.sleep(_TAKEOVER_S + 1)
            alone.append(time.monotonic())
            await asyncio.sleep(2)
            alone.append(time.monotonic())
            right.start()
            await asyncio.sleep(2)
            left.send(signal.SIGKILL)
            left.start()
            await asyncio.sleep(3)
            left.send(signal.SIGKILL)
            right.send(signal.SIGKILL)
            left.start()
            right.start()
            await asyncio.sleep(3)

        runs = self._check(cluster, asyncio.run(_drive(cluster, disturb)))
        began_s, ended_s = alone
        while_alone = [run for run in runs if began_s < run.at_s < ended_s]
        self.assertThat(_max_running(while_alone), GreaterThan(_FIXED_SHARE))

    def test_other_zone(self) -> None:
        """A zone without targets is served by another zone, within the cap."""
        cluster = self._cluster(None, _TWO_ZONES)

        calls = asyncio.run(_drive_zone_b(cluster))

        answered = sum(call.is_answered for call in calls)
        self.assertThat(answered, GreaterThan(len(calls) / 2))
        runs = read_run_log(cluster.run_log)
        self.assertThat(_max_running(runs), Equals(_FOREIGN_CAP))

    def _cluster(
        self,
        relay: Relay | None,
        shape: Shape = _SHAPE,
    ) -> Cluster:
        shutil.rmtree(_FOLDER, ignore_errors=True)
        cluster = Cluster(shape, _FOLDER, relay)
        self.addCleanup(cluster.stop)
        return cluster

    def _check(self, cluster: Cluster, calls: list[Call]) -> list[RunLine]:
        runs = read_run_log(cluster.run_log)
        too_many = [
            violation
            for violation in check(calls, runs, _SLOTS).violations
            if violation.endswith('runs at once')
        ]
        self.assertThat(too_many, HasLength(0))
        # The check is meaningful only if targets were fully used.
        self.assertThat(_max_running(runs), Equals(_SLOTS))
        return runs


async def _drive(cluster: Cluster, disturb: _Disturb) -> list[Call]:
    await _start(cluster)
    await _drive_until_lent(cluster)
    loads = [
        Load([entry], _SHAPE.services, _RATE_PER_S, seed)
        for seed, entry in enumerate(cluster.entries)
    ]
    driving = [asyncio.ensure_future(load.run(60)) for load in loads]
    await asyncio.sleep(1)
    await disturb(cluster)
    for load in driving:
        load.cancel()
    await asyncio.gather(*driving, return_exceptions=True)
    return [call for load in loads for call in load.calls]


async def _drive_zone_b(cluster: Cluster) -> list[Call]:
    await _start(cluster)
    far = [entry for entry in cluster.entries if entry.zone == 'b']
    return await Load(far, _SHAPE.services, _ZONE_B_RATE_PER_S).run(5)


async def _start(cluster: Cluster) -> None:
    cluster.start()
    text = cluster.folder / 'fleet.toml'
    text.write_text(_TEXT)
    applied = cluster.command_line('apply', str(text))
    assert applied.returncode == 0, applied.stderr
    cluster.wait_until_ready()
    await asyncio.sleep(_ANNOUNCE_WAIT_S)


async def _drive_until_lent(cluster: Cluster) -> None:
    # All callers use one entry, so that it has borrowed slots when the
    # faults begin.
    await Load(cluster.entries[:1], _SHAPE.services, _RATE_PER_S).run(3)
    runs = read_run_log(cluster.run_log)
    assert _max_running(runs) > _FIXED_SHARE, 'nothing was lent'


def _max_running(runs: list[RunLine]) -> int:
    return max(run.running for run in runs if run.kind is RunKind.START)
