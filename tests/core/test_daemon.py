"""Test core processes together, over real channels on loopback."""

from __future__ import annotations

import asyncio
from unittest import mock

import testtools
from testtools import matchers

from tests.builders_core import CoreCluster, run_cluster
from tests.builders_jobs import JOB, job, key, manifest, step
from wigeonreach.jobs import JobPhase, RunEnd
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._call_messages import (
    AnyCall,
    CancelJobCall,
    HearWorker,
    PutManifest,
    ReadJob,
    ReadManifest,
    StartWaveCall,
    SubmitJob,
)
from wigeonreach.wire._call_replies import (
    AnyReply,
    Done,
    Invalid,
    JobState,
    ManifestText,
    NoSuchJob,
    NotFound,
    Orders,
    Unknown,
    WaitingJobs,
)

_HOST = 'club.example'
_PLACE = (_HOST, f'/bookings/{JOB}')


async def _beat(cluster: CoreCluster, worker: StandInWorker) -> None:
    reply = await cluster.call(HearWorker(worker.report()))
    assert isinstance(reply, Orders), reply
    worker.obey(reply.orders, percent=1)


class TestCores(testtools.TestCase):
    """Three core processes."""

    def test_job_runs_and_is_shown_completed(self) -> None:
        """From its submission over one worker to its end."""

        async def body(cluster: CoreCluster) -> None:
            worker = StandInWorker('w', 'vm')
            await cluster.call(SubmitJob(*_PLACE, job(step(1))))
            while not worker.running:
                await _beat(cluster, worker)
            shown = await cluster.call(ReadJob(*_PLACE))
            self.assertThat(
                shown,
                matchers.Equals(JobState(JobPhase.ACTIVE, has_started=True)),
            )
            worker.end((key(), 1), RunEnd.DONE)
            while worker.ended:
                await _beat(cluster, worker)
            shown = await cluster.call(ReadJob(*_PLACE))
            self.assertThat(
                shown,
                matchers.Equals(JobState(JobPhase.COMPLETED, True)),
            )

        run_cluster(body)

    def test_accepted_work_survives_its_leader(self) -> None:
        """Another process leads, and knows job, run and manifest."""

        async def body(cluster: CoreCluster) -> None:
            worker = StandInWorker('w', 'vm')
            await cluster.call(SubmitJob(*_PLACE, job(step(1))))
            while not worker.running:
                await _beat(cluster, worker)
            first = await cluster.leader()
            await cluster.stop(first)
            await _beat(cluster, worker)
            self.assertThat(
                list(worker.running),
                matchers.Equals([(key(), 1)]),
            )
            again = await cluster.call(SubmitJob(*_PLACE, job(step(1))))
            self.assertThat(again, matchers.Equals(Done()))
            await cluster.start(first)
            text = await cluster.call(ReadManifest())
            self.assertThat(
                text,
                matchers.Equals(ManifestText(manifest().document)),
            )

        run_cluster(body)

    def test_stopping_leader_hands_over(self) -> None:
        """A leader that drains leads no more when it is done."""

        async def body(cluster: CoreCluster) -> None:
            first = await cluster.leader()
            await cluster.cores[first].drain()
            self.assertThat(
                cluster.cores[first].is_leading,
                matchers.Is(False),
            )
            await cluster.call(SubmitJob(*_PLACE, job(step(1))))

        run_cluster(body)

    def test_calls_that_name_nothing(self) -> None:
        """Unknown queues, jobs and ids get their own answers."""

        async def body(cluster: CoreCluster) -> None:
            elsewhere = (_HOST, '/elsewhere/1')
            bad_id = (_HOST, '/bookings/not-an-id')
            expected = (
                (SubmitJob(*elsewhere, job()), NotFound),
                (ReadJob(*elsewhere), NotFound),
                (SubmitJob(*bad_id, job()), Invalid),
                (ReadJob(*_PLACE), NoSuchJob),
                (CancelJobCall(*_PLACE), NoSuchJob),
                (ReadJob(_HOST, '/bookings/'), WaitingJobs),
            )
            for call, reply_type in expected:
                self.assertThat(
                    await cluster.call(call),
                    matchers.IsInstance(reply_type),
                )

        run_cluster(body)

    def test_older_manifest_changes_nothing(self) -> None:
        """It is acknowledged, and the newest is read back."""

        async def body(cluster: CoreCluster) -> None:
            newer = manifest(version=9)
            for sent in (newer, manifest(version=4)):
                self.assertThat(
                    await cluster.call(PutManifest(sent)),
                    matchers.Equals(Done()),
                )
            self.assertThat(
                await cluster.call(ReadManifest()),
                matchers.Equals(ManifestText(newer.document)),
            )

        run_cluster(body)

    def test_idle_vm_of_a_wave_is_ordered_once(self) -> None:
        """The order carries the leader's term as its fence."""

        async def body(cluster: CoreCluster) -> None:
            worker = StandInWorker('w', 'vm')
            await _beat(cluster, worker)
            await cluster.call(StartWaveCall(1, ('vm',), 20, 1))
            while not cluster.vms.orders:
                await _beat(cluster, worker)
            self.assertThat(cluster.vms.orders, matchers.HasLength(1))
            vm, what, _ = cluster.vms.orders[0]
            self.assertThat((vm, what), matchers.Equals(('vm', 'wave 1')))

        run_cluster(body)

    def test_platform_that_lists_slowly_holds_up_no_order(self) -> None:
        """What a list would tell of others is not waited for."""

        async def body(cluster: CoreCluster) -> None:
            cluster.vms.lists.clear()
            worker = StandInWorker('w', 'vm')
            await _beat(cluster, worker)
            await cluster.call(StartWaveCall(1, ('vm', 'unheard'), 20, 2))
            while not cluster.vms.orders:
                await _beat(cluster, worker)
            ordered = [vm for vm, _, _ in cluster.vms.orders]
            self.assertThat(ordered, matchers.Equals(['vm']))

        run_cluster(body)

    def test_read_that_takes_too_long_is_given_up(self) -> None:
        """It is not passed on to others for as long again."""

        async def body(cluster: CoreCluster) -> None:
            core = cluster.cores[await cluster.leader()]

            async def never(call: AnyCall) -> AnyReply:
                await asyncio.Event().wait()
                raise AssertionError(call)

            gateway = core._gateway
            with (
                mock.patch.object(core, '_answer', never),
                mock.patch.object(gateway, 'call') as passed_on,
            ):
                reply = await core.call(ReadManifest(), 0.05)
            self.assertThat(reply, matchers.Equals(Unknown()))
            self.assertThat(passed_on.call_count, matchers.Equals(0))

        run_cluster(body)
