"""Check maintenance waves with real processes, by the platform's action log."""

from __future__ import annotations

import collections
import pathlib
import shutil
import signal

import testtools
from testtools.matchers import Contains, Equals, LessThan

from bench.cluster import Process
from bench.managed_cluster import (
    VMS_PER_RACK,
    VMS_PER_ZONE,
    ZONES,
    ManagedCluster,
    wait_until,
)
from bench.relay import Relay
from wigeonreach.standins._platform_fleet import ActionLine

_FOLDER = pathlib.Path('run/proof-maintenance')
_SLOTS = 8
_PROMISED = 60
_MISSING_RATIO = 0.25
_MIN_SLOTS = _PROMISED * (1 - _MISSING_RATIO)
_WATCHED = frozenset(f'{zone}-vm-0' for zone in ZONES)
_MANAGED = tuple(
    f'{zone}-vm-{number}' for zone in ZONES for number in range(1, VMS_PER_ZONE)
)
_TEXT = f"""
[fleet]
name = "maintained"
guard = ["vm", "rack"]

[pools.desk]
vms = [{', '.join(f'"{name}"' for name in _MANAGED)}]

[pools.old]
vms = [{', '.join(f'"{name}"' for name in sorted(_WATCHED))}]

[services.desk]
pool = "desk"
promised_slots = {_PROMISED}

[services.desk.budget]
missing_ratio = {_MISSING_RATIO}

[services.old]
mode = "watched"
pool = "old"
promised_slots = 1
"""
_FAULTS = (
    '--late-ratio=0.02',
    '--lost-ratio=0.1',
    '--doubled-ratio=0.3',
    '--wrong-ratio=0.1',
    '--seed=7',
)


class TestMaintenance(testtools.TestCase):
    """Three zones of six VMs, one of which in each zone is only watched."""

    def test_manager_killed(self) -> None:
        """Another manager finishes the wave and reboots no VM twice."""
        cluster = self._cluster('killed')
        self._start(cluster)
        self._start(cluster)
        wait_until(lambda: cluster.count('booted') >= 3, 'reboots', 20)

        killed = cluster.leader()
        killed.send(signal.SIGKILL)
        killed.wait()

        self._wait_finished(cluster)
        self._check(cluster, whole=True)

    def test_platform_faults(self) -> None:
        """Late, lost, duplicated and wrong replies reboot no VM twice."""
        cluster = self._cluster('faults', *_FAULTS)
        self._start(cluster)

        self._wait_finished(cluster)
        self._check(cluster, whole=True)

    def test_stopped(self) -> None:
        """A stop lets reboots finish, reverts drains and starts none."""
        cluster = self._cluster('stopped', '--drain-s=1')
        self._start(cluster)
        wait_until(lambda: cluster.count('booted') >= 3, 'reboots', 20)

        cluster.maintenance('stop', 'w1', '--command-id=stop')
        cluster.maintenance('stop', 'w1', '--command-id=stop')
        drains = cluster.count('drain')
        wait_until(lambda: not _drained_vms(cluster.actions()), 'all back', 20)

        # One planning round may have started before the stop was seen.
        self.assertThat(cluster.count('drain') - drains, LessThan(4))
        self.assertThat(cluster.wave('w1')['phase'], Equals('stopped'))
        self._check(cluster, whole=False)

    def test_bad_image(self) -> None:
        """A bad image affects one VM, then the wave pauses by itself."""
        bad = [f'--bad-image={name}' for name in _MANAGED]
        cluster = self._cluster('bad', *bad)
        self._start(cluster)

        wait_until(lambda: _phase(cluster) == 'paused', 'pause', 20)

        self.assertThat(cluster.count('reboot'), Equals(1))
        self.assertThat(str(cluster.wave('w1')['waits_for']), Contains('fail'))
        self._check(cluster, whole=False)

    def test_cut_off(self) -> None:
        """A leader that is cut off and reconnected repeats no action."""
        relay = Relay()
        self.addCleanup(relay.close)
        cluster = self._cluster('cut', '--drain-s=0.5', relay=relay)
        self._start(cluster)
        wait_until(lambda: cluster.count('booted') >= 3, 'reboots', 30)

        cut = cluster.leader()
        replicas = {replica.name for replica in cluster.replicas}
        relay.cut_between({cut.name}, replicas)
        wait_until(lambda: _has_other_leader(cluster, cut), 'takeover', 30)
        relay.heal()

        self._wait_finished(cluster)
        self._check(cluster, whole=True)

    def _cluster(
        self,
        name: str,
        *options: str,
        relay: Relay | None = None,
    ) -> ManagedCluster:
        folder = _FOLDER / name
        shutil.rmtree(folder, ignore_errors=True)
        cluster = ManagedCluster(folder, options, relay)
        self.addCleanup(cluster.stop)
        cluster.start()
        text = folder / 'fleet.toml'
        text.write_text(_TEXT)
        applied = cluster.command_line('apply', str(text))
        self.assertThat(applied.returncode, Equals(0), applied.stderr)
        return cluster

    def _start(self, cluster: ManagedCluster) -> None:
        started = cluster.maintenance('start', 'w1')
        self.assertThat(started.returncode, Equals(0), started.stderr)

    def _wait_finished(self, cluster: ManagedCluster) -> None:
        wait_until(lambda: _phase(cluster) == 'finished', 'finish', 50)

    def _check(self, cluster: ManagedCluster, *, whole: bool) -> None:
        lines = cluster.actions()
        reboots = collections.Counter(
            line.vm for line in lines if line.what == 'reboot'
        )
        self.assertThat(set(reboots.values()) <= {1}, Equals(True))
        if whole:
            self.assertThat(sorted(reboots), Equals(sorted(_MANAGED)))
        touched = {line.vm for line in lines}
        self.assertThat(touched & _WATCHED, Equals(set()))
        least = min(
            _guarded_slots(_drained_vms(lines[: end + 1]))
            for end, _ in enumerate(lines)
        )
        self.assertThat(least >= _MIN_SLOTS, Equals(True), str(least))


def _phase(cluster: ManagedCluster) -> object:
    return cluster.wave('w1')['phase']


def _has_other_leader(cluster: ManagedCluster, cut: Process) -> bool:
    return cluster.leader().name != cut.name


def _drained_vms(lines: list[ActionLine]) -> set[str]:
    """Return the VMs that were drained and not yet restored."""
    down: set[str] = set()
    for line in lines:
        if line.what == 'drain':
            down.add(line.vm)
        elif line.what in {'restore', 'undrain'}:
            down.discard(line.vm)
    return down


def _guarded_slots(down: set[str]) -> int:
    """Return the slots that remain if the pool's largest rack fails now."""
    up = [name for name in _MANAGED if name not in down]
    racks = collections.Counter(map(_rack, up))
    return (len(up) - max(racks.values())) * _SLOTS


def _rack(name: str) -> tuple[str, int]:
    zone, _, number = name.split('-')
    return zone, int(number) // VMS_PER_RACK
