"""Check with real processes that a non-idempotent job starts only once."""

from __future__ import annotations

import json
import pathlib
import shutil
import signal
from collections.abc import Mapping
from urllib import error as urllib_error
from urllib import request as urllib_request

import testtools
from testtools.matchers import Contains, Equals

from bench.managed_cluster import VMS_PER_ZONE, ManagedCluster, wait_until

_FOLDER = pathlib.Path('run/proof-jobs')
_GIB = 1024**3
_VMS = ', '.join(f'"a-vm-{number}"' for number in range(VMS_PER_ZONE))
_TEXT = f"""
[fleet]
name = "nightly"

[pools.night]
vms = [{_VMS}]

[teams.clinics]
quota_processors = 32
"""


class TestJobs(testtools.TestCase):
    """One zone's manager places jobs on six VMs."""

    def test_restarted_while_running(self) -> None:
        """A restarted manager adopts the run in progress."""
        cluster = self._cluster('running', '--task-s=8')
        self._submit(cluster, 'bill', is_idempotent=False)
        wait_until(lambda: _starts(cluster, 'bill') == 1, 'start', 20)

        self._restart(cluster)
        self._submit(cluster, 'bill', is_idempotent=False)

        self._wait_state(cluster, 'bill', 'finished')
        self.assertThat(_starts(cluster, 'bill'), Equals(1))

    def test_finished_meanwhile(self) -> None:
        """A run that may have ended while the manager was down is reported."""
        cluster = self._cluster('meanwhile', '--task-s=0.2')
        self._submit(cluster, 'bill', is_idempotent=False)
        wait_until(lambda: _starts(cluster, 'bill') == 1, 'start', 20)

        self._restart(cluster)
        self._submit(cluster, 'bill', is_idempotent=False)

        self._wait_state(cluster, 'bill', 'reported')
        self.assertThat(_starts(cluster, 'bill'), Equals(1))

    def test_faults(self) -> None:
        """Each job starts once despite lost replies and duplicated requests."""
        cluster = self._cluster(
            'faults',
            '--task-s=0.2',
            '--lost-ratio=0.2',
            '--doubled-ratio=0.3',
            '--wrong-ratio=0.1',
        )
        names = [f'bill-{number}' for number in range(10)]
        for name in names:
            self._submit(cluster, name, is_idempotent=False)
        self._submit(cluster, 'huge', processors=1000)

        for name in names:
            self._wait_state(cluster, name, 'finished')
            self.assertThat(_starts(cluster, name), Equals(1))
        self._wait_state(cluster, 'huge', 'set_aside')
        self._check_explained(cluster)

    def _check_explained(self, cluster: ManagedCluster) -> None:
        url = f'http://{cluster.managers[0].http}'
        job = cluster.command_line(
            'explain', 'job', 'huge', '--manager-url', url
        )
        self.assertThat(job.stdout, Contains('never-fits'), job.stderr)
        vm = cluster.command_line('explain', 'vm', 'a-vm-0')
        self.assertThat(vm.stdout, Contains('in pool night'), vm.stderr)

    def _cluster(self, name: str, *options: str) -> ManagedCluster:
        folder = _FOLDER / name
        shutil.rmtree(folder, ignore_errors=True)
        cluster = ManagedCluster(folder, options)
        self.addCleanup(cluster.stop)
        cluster.start()
        text = folder / 'fleet.toml'
        text.write_text(_TEXT)
        applied = cluster.command_line('apply', str(text))
        self.assertThat(applied.returncode, Equals(0), applied.stderr)
        return cluster

    def _restart(self, cluster: ManagedCluster) -> None:
        manager = cluster.managers[0]
        manager.send(signal.SIGKILL)
        manager.wait()
        manager.start()

    def _submit(
        self,
        cluster: ManagedCluster,
        job_id: str,
        **changes: object,
    ) -> None:
        job = {
            'job_id': job_id,
            'team': 'clinics',
            'family': 'billing',
            'pool': 'night',
            'processors': 2,
            'memory_bytes': _GIB,
            **changes,
        }
        body = json.dumps(job).encode()
        wait_until(lambda: _post(cluster, body), f'submit {job_id}', 20)

    def _wait_state(
        self,
        cluster: ManagedCluster,
        job_id: str,
        state: str,
    ) -> None:
        wait_until(
            lambda: _status(cluster, job_id).get('state') == state,
            f'{job_id} {state}',
            20,
        )


def _starts(cluster: ManagedCluster, job_id: str) -> int:
    return sum(
        line.what == 'task-start' and line.job_id == job_id
        for line in cluster.actions()
    )


def _post(cluster: ManagedCluster, body: bytes) -> bool:
    url = f'http://{cluster.managers[0].http}/v1/jobs'
    try:
        with urllib_request.urlopen(url, body, timeout=2) as answer:  # noqa: S310
            return bool(answer.status == 202)
    except (urllib_error.URLError, OSError):
        return False


def _status(cluster: ManagedCluster, job_id: str) -> Mapping[str, object]:
    url = f'http://{cluster.managers[0].http}/v1/jobs/{job_id}'
    try:
        with urllib_request.urlopen(url, timeout=2) as answer:  # noqa: S310
            status: Mapping[str, object] = json.loads(answer.read())
    except (urllib_error.URLError, OSError):
        return {}
    return status
