"""Test how the platform's fields are decoded and validated."""

from __future__ import annotations

import functools
import json
import pathlib
import tempfile

import testtools
from testtools import matchers

from tests.builders_platform import heartbeat
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import (
    FleetTextError,
    RequestRefusedError,
    SettingError,
)
from wigeonreach.jobs import JobPhase, RunEnd, TaskKey
from wigeonreach.platform._advisor import key_by_incarnation
from wigeonreach.platform._core_settings import core_settings
from wigeonreach.platform._jobs import decode_job, encode_state
from wigeonreach.platform._manifest import decode_manifest, decode_wave
from wigeonreach.platform._settings import read_platform_file
from wigeonreach.platform._workers import (
    decode_deregistration,
    decode_heartbeat,
    encode_orders,
)
from wigeonreach.scheduling.placing._advice import Advice
from wigeonreach.wire._call_replies import JobState
from wigeonreach.wire._worker_messages import (
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerOrders,
)

_JOB = '5c0e7a21d94b36f8'
_SETTINGS = """
nodeName = "core-a-1"
role = "core"
ip = "10.1.0.12"
zone = "a"
portRange = [7060, 7075]
seedNodes = ["10.1.0.12:8623", "10.2.0.25:8623"]
bootstrap = true
dataDir = "/data/core"
unknown = "ignored"
[listenAddrs]
controlAddr = "10.1.0.12:8623"
[faultTolerance]
machines = 2
[bounds]
leaseMs = 3000
migrationS = 1.5
killGraceMs = 900
noticeMs = 6500
"""


def _job(**changes: object) -> bytes:
    phase: dict[str, object] = {'count': 2, 'cpu': 500, 'memMb': 256}
    phase.update(changes)
    return json.dumps({'spec': 'text', 'phases': [phase]}).encode()


class TestJobs(testtools.TestCase):
    """Submitted jobs."""

    def test_fields_are_mapped(self) -> None:
        """The platform's field names are mapped to those of a step."""
        body = _job(
            checkpointing=True,
            longRunning=True,
            utilisation=True,
            antiAffinity=2,
            affinity='r1-3',
            missAllowed=1,
            targetMs=80,
        )
        step = decode_job(body).steps[0]
        self.assertThat(
            (
                step.saves_progress,
                step.is_service,
                step.is_filler,
                step.spread_limit,
                step.data_rack,
                step.max_unavailable,
                step.latency_target_ms,
            ),
            matchers.Equals((True, True, True, 2, 'r1-3', 1, 80)),
        )

    def test_filler_takes_no_processors(self) -> None:
        """It runs on processors that others leave idle; its memory counts."""
        resources = decode_job(_job(utilisation=True)).steps[0].resources
        self.assertThat(resources.processors, matchers.Equals(0))
        self.assertThat(resources.memory_bytes, matchers.GreaterThan(0))

    def test_invalid_jobs_are_refused(self) -> None:
        """Each with the result code for an invalid job."""
        bodies = (
            b'{',
            b'{"spec":"x","phases":[]}',
            b'{"spec":"x"}',
            _job(count=0),
            _job(cpu=-1),
            _job(dependsOn=[0]),
            _job(count='many'),
            json.dumps(
                {'spec': 'x' * 4001, 'phases': [{'count': 1}]},
            ).encode(),
        )
        for body in bodies:
            error = self.assertRaises(RequestRefusedError, decode_job, body)
            self.assertThat(error.code, matchers.Equals(ResultCode.JOB_INVALID))

    def test_states_have_the_platforms_names(self) -> None:
        """A job that has not started is queued."""
        names = {
            (JobPhase.ACTIVE, False): 'queued',
            (JobPhase.ACTIVE, True): 'running',
            (JobPhase.COMPLETED, True): 'completed',
            (JobPhase.FAILED, True): 'failed',
            (JobPhase.CANCELLED, False): 'cancelled',
        }
        for (phase, has_started), name in names.items():
            body = json.loads(encode_state(JobState(phase, has_started)))
            self.assertThat(body, matchers.Equals({'state': name}))


class TestHeartbeats(testtools.TestCase):
    """Heartbeats of workers and the responses to them."""

    def test_heartbeat_is_decoded(self) -> None:
        """Rows without field names are decoded to typed records."""
        body = {
            **heartbeat(),
            'state': 'draining',
            'remainingMs': 900,
            'finished': [[58, f'{_JOB}.0.1.9', 1, 'broken', '']],
        }
        report = decode_heartbeat('i-1', json.dumps(body).encode())
        self.assertThat(
            report.running[0].task, matchers.Equals(TaskKey(_JOB, 0, 1, 17))
        )
        self.assertThat(report.running[0].load, matchers.Equals(700))
        self.assertThat(report.ended[0].end, matchers.Equals(RunEnd.PEER_ENDED))
        self.assertThat(
            (report.vm, report.rack, report.is_draining, report.drain_left_ms),
            matchers.Equals(('m-1', 'r1-3', True, 900)),
        )

    def test_malformed_heartbeat_is_refused(self) -> None:
        """One malformed part makes the whole heartbeat invalid."""
        complete = heartbeat()
        malformed: tuple[object, ...] = (
            [],
            {'service': 's', 'address': 'x', 'zone': 'a'},
            {**complete, 'running': [['no-task', 1, '', 0]]},
            {**complete, 'running': [['a.0.-1.0', 1, '', 0]]},
            {**complete, 'finished': [[1, 'a.0.0.0', 1, 'exploded', '']]},
        )
        for body in malformed:
            encoded = json.dumps(body).encode()
            self.assertRaises(
                RequestRefusedError, decode_heartbeat, 'i', encoded
            )

    def test_orders_are_encoded_as_rows(self) -> None:
        """Empty lists and unset fields are left out."""
        key = TaskKey(_JOB, 0, 1, 2)
        orders = WorkerOrders(
            lease_ms=4000,
            fence=7,
            acknowledged=58,
            starts=(StartOrder(key, 1, 'text', '', 'paper'),),
            stops=(StopOrder(key, 2),),
            paces=(PaceOrder(key, 2, 20),),
        )
        self.assertThat(
            json.loads(encode_orders(orders)),
            matchers.Equals(
                {
                    'holdMs': 4000,
                    'ackedSeq': 58,
                    'fencingToken': 7,
                    'startTasks': [[f'{_JOB}.0.1.2', 1, 'text', '', 'paper']],
                    'stopTasks': [[f'{_JOB}.0.1.2', 2]],
                    'rate': [[f'{_JOB}.0.1.2', 2, 20]],
                },
            ),
        )

    def test_ends_are_acknowledged_without_a_lease(self) -> None:
        """A worker that announced its end gets no lease, but its ends count.

        The fencing token stands beside them, as a worker ignores what lacks it.
        """
        orders = WorkerOrders(fence=7, acknowledged=58)
        self.assertThat(
            json.loads(encode_orders(orders)),
            matchers.Equals({'ackedSeq': 58, 'fencingToken': 7}),
        )

    def test_late_heartbeat_extends_no_lease(self) -> None:
        """A response without orders is an empty object."""
        self.assertThat(
            json.loads(encode_orders(WorkerOrders())),
            matchers.Equals({}),
        )


def _route(**changes: object) -> dict[str, object]:
    route: dict[str, object] = {
        'name': 'r-1',
        'host': 'a.example',
        'pathPrefix': '/a/',
        'service': 's',
        'timeoutMs': 3000,
    }
    route.update(changes)
    return route


def _manifest(*routes: dict[str, object], version: int = 3) -> bytes:
    return json.dumps(
        {
            'version': version,
            'routes': routes,
            'services': [{'name': 's', 'standby': True}],
        },
    ).encode()


class TestIncarnations(testtools.TestCase):
    """Ids and start times, which distinguish a worker's incarnations."""

    def _name(self, **changes: object) -> str:
        body = {**heartbeat(), **changes}
        return decode_heartbeat('i-1', json.dumps(body).encode()).worker

    def test_start_time_is_part_of_the_name(self) -> None:
        """The same id with another start time is another incarnation."""
        first = self._name(born=1_764_740_000_000)
        self.assertThat(first, matchers.Equals('i-1#1764740000000'))
        self.assertThat(self._name(born=0), matchers.Equals('i-1#0'))

    def test_id_is_the_name_without_a_start_time(self) -> None:
        """Workers that get a new id at each start report none."""
        self.assertThat(self._name(), matchers.Equals('i-1'))
        self.assertThat(self._name(born=None), matchers.Equals('i-1'))

    def test_invalid_start_time_is_refused(self) -> None:
        """The heartbeat can't be attributed to an incarnation."""
        invalid: tuple[object, ...] = (-1, 1.5, '17', True, [], 10**30)
        for born in invalid:
            naming = functools.partial(self._name, born=born)
            refused = matchers.raises(RequestRefusedError)
            self.assertThat(naming, refused)

    def test_id_with_the_separator_is_refused(self) -> None:
        """It could be taken for an incarnation of another worker."""
        body = json.dumps(heartbeat()).encode()
        self.assertThat(
            lambda: decode_heartbeat('i-1#5', body),
            matchers.raises(RequestRefusedError),
        )

    def test_deregistration_may_have_a_start_time(self) -> None:
        """The body is empty, or has the start time as in heartbeats."""
        self.assertThat(
            decode_deregistration('i-1', b''), matchers.Equals('i-1')
        )
        self.assertThat(
            decode_deregistration('i-1', b'{}'), matchers.Equals('i-1')
        )
        name = decode_deregistration('i-1', b'{"born":5}')
        self.assertThat(name, matchers.Equals('i-1#5'))
        self.assertThat(
            lambda: decode_deregistration('i-1', b'{"born":"x"}'),
            matchers.raises(RequestRefusedError),
        )

    def test_tickets_are_keyed_by_incarnation(self) -> None:
        """The advisor only knows ids; tickets of other workers are dropped."""
        advice = Advice({'i-1': 'one', 'i-9': 'nine'}, valid_s=3)
        keyed = key_by_incarnation(advice, {'i-1': 'i-1#5', 'i-2': 'i-2#7'})
        self.assertThat(keyed.tickets, matchers.Equals({'i-1#5': 'one'}))


class TestManifests(testtools.TestCase):
    """The operator's manifests and waves."""

    def test_document_is_kept_as_it_was_sent(self) -> None:
        """Reading the manifest returns exactly the same bytes."""
        body = _manifest(_route())
        manifest = decode_manifest(body)
        self.assertThat(manifest.document, matchers.Equals(body))
        self.assertThat(manifest.services[0].is_standby, matchers.Is(True))

    def test_invalid_manifests_are_refused(self) -> None:
        """Truncated, inconsistent, or with values out of range."""
        invalid = (
            _manifest(_route())[:-5],
            _manifest(_route(service='other')),
            _manifest(_route(), _route(name='r-2')),
            _manifest(_route(timeoutMs=0)),
            _manifest(_route(), version=0),
        )
        for body in invalid:
            self.assertRaises(FleetTextError, decode_manifest, body)

    def test_wave_is_decoded(self) -> None:
        """Its limit is the number of VMs that may be down at once."""
        body = b'{"wave":1,"machines":["m-1"],"deadlineS":20,"cap":3}'
        call = decode_wave(body)
        self.assertThat(
            (call.wave, call.vms, call.due_after_s, call.limit),
            matchers.Equals((1, ('m-1',), 20, 3)),
        )
        self.assertRaises(FleetTextError, decode_wave, b'{"wave":1}')


class TestSettings(testtools.TestCase):
    """The platform's settings file."""

    def _write(self, text: str) -> pathlib.Path:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / 'settings.toml'
        path.write_text(text)
        return path

    def test_seeds_have_the_port_for_processes(self) -> None:
        """Ports are the same on all machines; unknown keys are ignored."""
        settings = read_platform_file(self._write(_SETTINGS))
        core = core_settings(settings)
        self.assertThat(
            core.seeds,
            matchers.Equals(('10.1.0.12:7060', '10.2.0.25:7060')),
        )
        self.assertThat(core.name, matchers.Equals('10.1.0.12:7060'))
        self.assertThat(core.voter_target, matchers.Equals(5))
        self.assertThat(core.order_pause_s, matchers.Equals(3))
        self.assertThat(core.scheduling.stop_s, matchers.Equals(0.9))
        self.assertThat(
            core.scheduling.unavailable_after_s, matchers.Equals(6.5)
        )

    def test_invalid_files_are_refused(self) -> None:
        """A file is missing, truncated or has values of wrong types."""
        texts = (_SETTINGS[:90], _SETTINGS.replace('true', '"yes"'), 'x = [')
        for text in texts:
            error = self.assertRaises(
                SettingError,
                read_platform_file,
                self._write(text),
            )
            self.assertThat(
                error.code,
                matchers.Equals(ResultCode.SETTING_INVALID),
            )
        self.assertRaises(
            SettingError,
            read_platform_file,
            pathlib.Path('missing.toml'),
        )

    def test_core_process_needs_a_data_folder(self) -> None:
        """The setting is required for a core process."""
        text = _SETTINGS.replace('dataDir', 'otherDir')
        settings = read_platform_file(self._write(text))
        error = self.assertRaises(
            SettingError, functools.partial(core_settings, settings)
        )
        self.assertThat(error.code, matchers.Equals(ResultCode.SETTING_MISSING))
