"""Check outcomes and at-most-once execution with callers that resend."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import shutil
import signal
from collections.abc import Awaitable, Callable

import testtools
from testtools.matchers import Equals, GreaterThan

from bench.cluster import Cluster, Process, Shape
from bench.keyed_check import violations_of
from bench.keyed_load import KeyedCall, KeyedLoad
from bench.relay import Relay
from wigeonreach.standins._run_log import read_run_log

_FOLDER = pathlib.Path('run/proof-requests')
_RATE_PER_S = 25.0
_LOAD_S = 9.0
_ANNOUNCE_WAIT_S = 2.0
_STEP_S = 1.5
_TEXT = """
[fleet]
name = "requests"

[services.billing]
promised_slots = 8
deadline_s = 1.0
"""
_SHAPE = Shape(
    zones=('a', 'b'),
    entries_per_zone=2,
    services=('billing',),
    targets_per_service=4,
    service_time_s=0.15,
)
_FAULTS = ('short', 'late', 'crossed', 'garbage', 'doubled')
_Disturb = Callable[[Cluster], Awaitable[None]]


class TestRequests(testtools.TestCase):
    """Two zones of two entries and two targets, with callers in both."""

    def test_killed(self) -> None:
        """No request runs twice when entries and targets are killed."""

        async def disturb(cluster: Cluster) -> None:
            entries, targets = cluster.entries, cluster.targets
            await _kill(entries[0])
            await _kill(targets[0])
            await _kill(entries[1], targets[1])
            await _kill(entries[0], entries[2])

        self._check_at_most_once(_SHAPE, disturb)

    def test_frozen(self) -> None:
        """No request runs twice when entries and targets are suspended."""

        async def disturb(cluster: Cluster) -> None:
            entries, targets = cluster.entries, cluster.targets
            await _freeze(entries[0])
            await _freeze(targets[0])
            await _freeze(entries[1], targets[1])
            await _freeze(entries[0], entries[2])

        self._check_at_most_once(_SHAPE, disturb)

    def test_cut(self) -> None:
        """No request runs twice when zones are cut off or replies are lost."""
        relay = Relay()
        self.addCleanup(relay.close)
        near, far = set[str](), set[str]()
        cut_off: list[KeyedCall] = []

        async def disturb(cluster: Cluster) -> None:
            for process in (*cluster.entries, *cluster.replicas):
                (near if process.zone == 'a' else far).add(process.name)
            relay.cut_between(near, far)
            await asyncio.sleep(_STEP_S)
            alone = [one for one in cluster.entries if one.zone == 'b']
            load = KeyedLoad(alone, 'billing', _RATE_PER_S, 9, has_keys=True)
            cut_off.extend(await load.run(_STEP_S))
            relay.heal()
            relay.cut_one_way(cluster.entries[0].name, cluster.entries[2].name)
            for target in cluster.targets[:3]:
                relay.cut_one_way(target.name, 'entries')
            await asyncio.sleep(_STEP_S)
            relay.heal()

        self._check_at_most_once(_SHAPE, disturb, relay)
        # A zone that is cut off still accepts new work.
        answered = sum(call.is_answered for call in cut_off)
        self.assertThat(answered, Equals(len(cut_off)))

    def test_faulty_targets(self) -> None:
        """Broken replies of a target never reach another caller."""
        options = ['--fault-ratio', '0.3']
        for fault in _FAULTS:
            options.extend(('--fault', fault))
        shape = Shape(
            zones=('a',),
            entries_per_zone=2,
            services=('billing',),
            targets_per_service=4,
            service_time_s=0.15,
            target_options=tuple(options),
        )

        async def disturb(_cluster: Cluster) -> None:
            await asyncio.sleep(0)

        self._check_at_most_once(shape, disturb)

    def _check_at_most_once(
        self,
        shape: Shape,
        disturb: _Disturb,
        relay: Relay | None = None,
    ) -> None:
        shutil.rmtree(_FOLDER, ignore_errors=True)
        cluster = Cluster(shape, _FOLDER, relay)
        self.addCleanup(cluster.stop)
        keyed, blind = asyncio.run(_drive(cluster, disturb))
        runs = read_run_log(cluster.run_log)
        _report(self.id(), keyed)
        self.assertEqual([], violations_of(keyed, runs))
        answered = sum(call.is_answered for call in keyed)
        self.assertThat(answered, GreaterThan(len(keyed) // 2))
        # Callers that resend without keys must see duplicate runs under the
        # same failures; otherwise the failures would not test anything.
        doubled = [
            broken
            for broken in violations_of(blind, runs)
            if broken.endswith('times')
        ]
        print(f'{self.id()}: blind callers: {len(doubled)} ran twice')
        self.assertThat(len(doubled), GreaterThan(0))


async def _drive(
    cluster: Cluster,
    disturb: _Disturb,
) -> tuple[list[KeyedCall], list[KeyedCall]]:
    cluster.start()
    text = cluster.folder / 'fleet.toml'
    text.write_text(_TEXT)
    applied = cluster.command_line('apply', str(text))
    assert applied.returncode == 0, applied.stderr
    cluster.wait_until_ready()
    await asyncio.sleep(_ANNOUNCE_WAIT_S)
    keyed = KeyedLoad(
        cluster.entries,
        'billing',
        _RATE_PER_S,
        seed=1,
        has_keys=True,
    )
    blind = KeyedLoad(
        cluster.entries,
        'billing',
        _RATE_PER_S,
        seed=2,
        has_keys=False,
    )
    driving = asyncio.gather(keyed.run(_LOAD_S), blind.run(_LOAD_S))
    await asyncio.sleep(_STEP_S / 2)
    await disturb(cluster)
    await driving
    return keyed.calls, blind.calls


async def _kill(*processes: Process) -> None:
    for process in processes:
        process.send(signal.SIGKILL)
    await asyncio.sleep(_STEP_S / 2)
    for killed in processes:
        killed.start()
    await asyncio.sleep(_STEP_S)


async def _freeze(*processes: Process) -> None:
    for process in processes:
        process.send(signal.SIGSTOP)
    await asyncio.sleep(_STEP_S)
    for frozen in processes:
        frozen.send(signal.SIGCONT)
    await asyncio.sleep(_STEP_S / 2)


def _report(name: str, calls: list[KeyedCall]) -> None:
    last = collections.Counter(
        call.replies[-1].outcome if call.replies else 'no key' for call in calls
    )
    codes = collections.Counter(
        reply.code for call in calls for reply in call.replies
    )
    print(f'{name}: last outcomes {dict(last)}, codes {dict(codes)}')
