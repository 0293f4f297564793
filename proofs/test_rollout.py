"""Check that accepted configurations reach every entry and never revert."""

from __future__ import annotations

import asyncio
import json
import pathlib
import shutil
import signal
import subprocess  # noqa: S404 - the operator's commands are processes
import time
from collections.abc import Callable

import testtools
from testtools.matchers import (
    AllMatch,
    Contains,
    Equals,
    GreaterThan,
)

from bench.cluster import Cluster, Process, Shape
from bench.relay import Relay
from proofs.rollout_watch import VersionWatcher, read_version
from wigeonreach.cli._client import followers_by_name, status_of_all
from wigeonreach.codes import ResultCode
from wigeonreach.state import StateClient
from wigeonreach.wire._command_messages import ChangeText, Reply

_CONFLICT = ResultCode.STATE_CONFLICT
_FOLDER = pathlib.Path('run/proof-rollout')
_ROLLOUT_TIMEOUT_S = 7.0
# A follower may connect to a remote replica first and return to the near one.
_SETTLED_S = 20.0
_POLL_S = 0.05
_SHAPE = Shape(
    zones=('a', 'b', 'c'),
    entries_per_zone=2,
    services=('records',),
    targets_per_service=3,
)
_TEXT = """
[fleet]
name = "proof"

[services.records]
promised_slots = {slots}
"""


class TestRollout(testtools.TestCase):
    """Three zones with a replica and two entries each."""

    def setUp(self) -> None:
        """Start the fleet and accept version 1."""
        super().setUp()
        shutil.rmtree(_FOLDER, ignore_errors=True)
        self.relay = Relay()
        self.addCleanup(self.relay.close)
        self.cluster = Cluster(_SHAPE, _FOLDER, self.relay)
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.assertThat(self.change(0).version, Equals(1))
        self.cluster.wait_until_ready()
        self.watcher = VersionWatcher(self.cluster.entries)
        self.watcher.start()
        self.addCleanup(self.check_versions)

    def check_versions(self) -> None:
        """Check that no entry reported an older version than before."""
        self.assertThat(self.watcher.finish(), Equals([]))
        self.assertThat(len(self.watcher.observations), GreaterThan(0))

    def client(self, first: str = '') -> StateClient:
        """Return a client that prefers the replica of one zone."""
        replicas = sorted(
            self.cluster.replicas,
            key=lambda replica: replica.zone != first,
        )
        return StateClient(
            'amina',
            [replica.member for replica in replicas],
        )

    def change(self, base: int, slots: int = 0, zone: str = '') -> Reply:
        """Submit one change without waiting until it is in force."""
        action = ChangeText(base, _TEXT.format(slots=slots))
        return asyncio.run(self.client(zone).submit(action))

    def apply(
        self,
        slots: int,
        wait_s: float = _ROLLOUT_TIMEOUT_S,
    ) -> subprocess.CompletedProcess[str]:
        """Apply a configuration with the command line."""
        path = _FOLDER / 'text.toml'
        path.write_text(_TEXT.format(slots=slots))
        return self.cluster.command_line(
            'apply',
            str(path),
            '--wait-s',
            str(wait_s),
        )

    def entry(self, name: str) -> Process:
        """Return an entry by name."""
        return next(one for one in self.cluster.entries if one.name == name)

    def wait_version(self, entry: Process, version: int) -> None:
        """Wait until an entry reports at least a version."""
        self.wait_until(lambda: _version(entry) >= version)

    def wait_until(
        self,
        is_done: Callable[[], bool],
        timeout_s: float = _ROLLOUT_TIMEOUT_S,
    ) -> None:
        """Wait for a condition, by default at most as long as a rollout."""
        ends_s = time.monotonic() + timeout_s
        while not is_done():
            self.assertThat(ends_s, GreaterThan(time.monotonic()))
            time.sleep(_POLL_S)

    def wait_until_followed(self, replica: Process) -> None:
        """Wait until all entries of a replica's zone follow that replica."""
        members = [replica.member]
        near = {
            entry.name
            for entry in self.cluster.entries
            if entry.zone == replica.zone
        }
        self.wait_until(
            lambda: (
                near
                <= set(
                    followers_by_name(asyncio.run(status_of_all(members))),
                )
            ),
        )

    def isolate_zone_c(self) -> None:
        """Cut zone c off from the other zones."""
        inside = {
            process.name
            for process in self.cluster.processes()
            if process.zone == 'c'
        }
        outside = {one.name for one in self.cluster.processes()} - inside
        self.relay.cut_between(inside, outside)

    def test_equal_numbers(self) -> None:
        """Of three concurrent changes with the same base, one is accepted."""

        async def race(base: int) -> list[Reply]:
            return await asyncio.gather(
                *(
                    self.client(zone).submit(
                        ChangeText(base, _TEXT.format(slots=slots)),
                        f'race-{base}-{zone}',
                    )
                    for slots, zone in enumerate('abc', start=1)
                ),
            )

        for base in range(1, 6):
            codes = [reply.code for reply in asyncio.run(race(base))]
            self.assertThat(
                sorted(codes),
                Equals([0, _CONFLICT, _CONFLICT]),
            )
        self.wait_version(self.entry('entry-c1'), 6)

    def test_resend(self) -> None:
        """A resent change returns the first result and is applied once."""
        path = _FOLDER / 'text.toml'
        path.write_text(_TEXT.format(slots=5))
        words = ('apply', str(path), '--base', '1', '--change-id', 'x')
        first = self.cluster.command_line(*words, '--json')
        leader = self.leader()
        leader.send(signal.SIGKILL)
        leader.wait()
        again = self.cluster.command_line(*words, '--json', '--wait-s', '0')
        leader.start()
        time.sleep(1)
        late = self.cluster.command_line(*words, '--json')

        results = [json.loads(done.stdout) for done in (first, again, late)]
        self.assertThat([one['code'] for one in results], AllMatch(Equals(0)))
        self.assertThat([one['version'] for one in results], Equals([2, 2, 2]))

    def test_pusher_killed(self) -> None:
        """A zone whose replica is killed follows another one."""
        self.wait_until_followed(self.cluster.replicas[1])
        self.cluster.replicas[1].send(signal.SIGKILL)

        applied = self.apply(slots=2)

        self.assertThat(applied.returncode, Equals(0))
        self.assertThat(_version(self.entry('entry-b0')), Equals(2))

    def test_pusher_frozen(self) -> None:
        """Entries leave a suspended replica for another one."""
        self.wait_until_followed(self.cluster.replicas[2])
        self.cluster.replicas[2].send(signal.SIGSTOP)

        applied = self.apply(slots=2)
        self.cluster.replicas[2].send(signal.SIGCONT)

        self.assertThat(applied.returncode, Equals(0))
        self.assertThat(_version(self.entry('entry-c1')), Equals(2))

    def test_zone_cut(self) -> None:
        """A cut-off zone keeps serving, is reported and later catches up."""
        self.isolate_zone_c()
        applied = self.apply(slots=2, wait_s=4)
        cut_off = self.entry('entry-c0')
        status = self.cluster.command_line('status')
        unaware = read_version(cut_off)
        aware = read_version(cut_off, known=2)
        self.relay.heal()
        self.wait_version(cut_off, 2)
        self.wait_version(self.entry('entry-c1'), 2)

        self.assertThat(applied.returncode, Equals(6))
        self.assertThat(applied.stderr, Contains('entry-c0, entry-c1'))
        self.assertThat(status.stdout, Contains('out of touch'))
        assert unaware is not None
        assert aware is not None
        self.assertThat((unaware.version, unaware.status), Equals((1, 200)))
        self.assertThat(aware.status, Equals(503))

    def test_restart_after_300(self) -> None:
        """A restarted entry that missed 300 changes reports only the newest."""
        entry = self.entry('entry-a0')
        entry.send(signal.SIGKILL)
        entry.wait()
        asyncio.run(self.submit_changes(300))
        before = len(self.watcher.observations)
        entry.start()
        self.wait_until(entry.is_ready)
        self.wait_version(entry, 301)

        answers = [
            seen.version
            for seen in self.watcher.observations[before:]
            if seen.entry == entry.name
        ]
        self.assertThat(answers, AllMatch(Equals(301)))

    def test_restart_cut_off(self) -> None:
        """A restarted entry whose replica is behind asks its zone's peers."""
        entry = self.entry('entry-c0')
        self.relay.cut_between({'replica-c'}, {'replica-a', 'replica-b'})
        self.change(1, slots=2)
        self.wait_version(entry, 2)
        self.wait_version(self.entry('entry-c1'), 2)
        self.isolate_zone_c()
        entry.send(signal.SIGKILL)
        entry.wait()
        before = len(self.watcher.observations)
        entry.start()
        self.wait_until(entry.is_ready)
        time.sleep(0.5)

        answers = [
            seen.version
            for seen in self.watcher.observations[before:]
            if seen.entry == entry.name
        ]
        self.assertThat(answers, GreaterThan([]))
        self.assertThat(answers, AllMatch(Equals(2)))

    def leader(self) -> Process:
        """Return the replica that leads."""
        listed = self.cluster.command_line('status', '--json')
        name = next(
            line['process']
            for line in json.loads(listed.stdout)
            if line['role'] == 'leader'
        )
        return next(
            replica for replica in self.cluster.replicas if replica.name == name
        )

    async def submit_changes(self, count: int) -> None:
        """Submit changes one after the other."""
        client = self.client()
        for base in range(1, count + 1):
            text = _TEXT.format(slots=base)
            reply = await client.submit(ChangeText(base, text))
            self.assertThat(reply.code, Equals(0))


def _version(entry: Process) -> int:
    observation = read_version(entry)
    return 0 if observation is None else observation.version
