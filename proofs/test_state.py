"""Check that replica failures lose no acknowledged change."""

from __future__ import annotations

import asyncio
import json
import pathlib
import shutil
import signal
import tempfile
import time
from collections.abc import Callable, Sequence

import testtools

from bench.cluster import Cluster, Process, Shape
from bench.relay import Relay
from bench.state_stream import ChangeStream, members_of
from wigeonreach.observe import LogEvent
from wigeonreach.wire import Member, connect
from wigeonreach.wire._rollout_messages import (
    ReplicaStatus,
    ReplicaStatusRequest,
)

_SHAPE = Shape(
    zones=('a', 'b', 'c'),
    entries_per_zone=0,
    services=(),
    targets_per_service=0,
)
_CHANGES_PER_STEP = 40
_WAIT_S = 20.0
_FREEZE_S = 3.0


class TestReplicas(testtools.TestCase):
    """Three replicas, one of which fails in each of several ways."""

    def setUp(self) -> None:
        """Start the replicas and a stream of changes."""
        super().setUp()
        folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        self.relay = Relay()
        self.addCleanup(self.relay.close)
        self.cluster = Cluster(_SHAPE, folder, self.relay)
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.stream = ChangeStream(self.cluster.replicas)
        self.stream.start()
        self.addCleanup(self.stream.stop)
        self.stream.wait_for_more(_CHANGES_PER_STEP)

    def test_killed_leaders(self) -> None:
        """Killing leaders one after the other loses no change."""
        for _ in range(3):
            leader = self._leader()
            leader.send(signal.SIGKILL)
            leader.wait()
            self.stream.wait_for_more(_CHANGES_PER_STEP)
            leader.start()
            self._wait_role(leader, 'follower')
        self._check_nothing_lost()

    def test_frozen_leader_wakes(self) -> None:
        """A leader that was suspended becomes a follower when resumed."""
        frozen = self._leader()
        frozen.send(signal.SIGSTOP)
        time.sleep(_FREEZE_S)
        self.stream.wait_for_more(_CHANGES_PER_STEP)
        frozen.send(signal.SIGCONT)
        self.stream.wait_for_more(_CHANGES_PER_STEP)
        self.assertNotEqual(frozen.name, self._leader().name)
        self._check_nothing_lost()

    def test_cut_off_leader(self) -> None:
        """A leader that is cut off steps down."""
        isolated = self._leader()
        others = {replica.name for replica in self._others(isolated)}
        self.relay.cut_between({isolated.name}, others)
        self.stream.wait_for_more(_CHANGES_PER_STEP)
        self._wait_role(isolated, 'follower')
        self.relay.heal()
        self.stream.wait_for_more(_CHANGES_PER_STEP)
        self._check_nothing_lost()

    def test_leader_that_only_hears(self) -> None:
        """A leader that receives messages but can't send is replaced."""
        mute = self._leader()
        for other in self._others(mute):
            self.relay.cut_one_way(mute.name, other.name)
        self.stream.wait_for_more(_CHANGES_PER_STEP)
        self._wait_role(mute, 'follower')
        self.relay.heal()
        self.stream.wait_for_more(_CHANGES_PER_STEP)
        self._check_nothing_lost()

    def test_leader_that_only_speaks(self) -> None:
        """A leader that sends messages but receives none steps down."""
        deaf = self._leader()
        for other in self._others(deaf):
            self.relay.cut_one_way(other.name, deaf.name)
        self.stream.wait_for_more(_CHANGES_PER_STEP)
        self._wait_role(deaf, 'follower')
        self.relay.heal()
        self.stream.wait_for_more(_CHANGES_PER_STEP)
        self._check_nothing_lost()

    def test_lost_folder_and_then_another_voter(self) -> None:
        """A rebuilt replica votes again, so that another may be lost."""
        first, second = self._others(self._leader())
        self._kill_and_delete_folder(first)
        self._start_until_voter(first)
        self._kill_and_delete_folder(second)
        self.stream.wait_for_more(_CHANGES_PER_STEP)
        self._start_until_voter(second)
        leader = self._leader()
        self._kill_and_delete_folder(leader)
        self.stream.wait_for_more(_CHANGES_PER_STEP)
        self._check_nothing_lost()

    def test_damaged_journal(self) -> None:
        """A replica with a damaged journal logs it and is rebuilt by others."""
        damaged = self._others(self._leader())[0]
        damaged.send(signal.SIGKILL)
        damaged.wait()
        journal = self._folder(damaged) / 'journal'
        content = bytearray(journal.read_bytes())
        content[len(content) // 2] ^= 0xFF
        journal.write_bytes(content)
        self._start_until_voter(damaged)
        self.assertIn(LogEvent.DATA_DAMAGED, self._events(damaged))
        self.assertTrue(list(self._folder(damaged).glob('damaged-*-journal')))
        self._check_nothing_lost()

    def _leader(self) -> Process:
        found: list[Process] = []

        def find() -> bool:
            found.extend(
                replica
                for replica in self.cluster.replicas
                if _role(replica) == 'leader'
            )
            return bool(found)

        _wait_until(find, 'a leader')
        return found[0]

    def _others(self, replica: Process) -> Sequence[Process]:
        return [
            other for other in self.cluster.replicas if other is not replica
        ]

    def _folder(self, replica: Process) -> pathlib.Path:
        return self.cluster.folder / f'{replica.name}.data'

    def _kill_and_delete_folder(self, replica: Process) -> None:
        replica.send(signal.SIGKILL)
        replica.wait()
        shutil.rmtree(self._folder(replica))

    def _events(self, replica: Process) -> list[int]:
        log = self.cluster.folder / f'{replica.name}.log'
        return [
            json.loads(line).get('number', 0)
            for line in log.read_text().splitlines()
            if line.startswith('{')
        ]

    def _wait_role(self, replica: Process, role: str) -> None:
        _wait_until(lambda: _role(replica) == role, f'{replica.name} {role}')

    def _start_until_voter(self, replica: Process) -> None:
        """Start a replica and wait until it is a voter again."""
        before = len(self._events(replica))
        replica.start()
        _wait_until(
            lambda: LogEvent.ROLE_CHANGED in self._events(replica)[before:],
            f'{replica.name} counted',
        )

    def _check_nothing_lost(self) -> None:
        self.stream.stop()
        self.assertEqual(set(), self.stream.missing())
        gap_s = self.stream.longest_gap_s()
        count = len(self.stream.acknowledged)
        print(f'{self.id()}: {count} acknowledged, longest gap {gap_s:.2f} s')


def _role(replica: Process) -> str:
    try:
        return asyncio.run(_ask_role(members_of([replica])[0]))
    except Exception:  # noqa: BLE001 - a replica that is down has no role
        return ''


async def _ask_role(member: Member) -> str:
    channel = await connect(member.address, timeout_s=0.5)
    try:
        reply = await channel.request(ReplicaStatusRequest(), 0.5)
    finally:
        await channel.close()
    assert isinstance(reply, ReplicaStatus)
    return reply.role


def _wait_until(is_done: Callable[[], bool], what: str) -> None:
    ends_s = time.monotonic() + _WAIT_S
    while not is_done():
        if time.monotonic() > ends_s:
            raise TimeoutError(what)
        time.sleep(0.05)
