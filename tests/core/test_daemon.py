"""Test a cluster of core processes over real loopback connections."""

from __future__ import annotations

import asyncio
from unittest import mock

import testtools
from testtools import matchers

from tests.builders_core import CoreCluster, run_cluster, send_heartbeat
from tests.builders_jobs import JOB, job, key, manifest, step
from wigeonreach.jobs import JobPhase, RunEnd
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._call_messages import (
    AnyCall,
    CancelJobCall,
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
    Unknown,
    WaitingJobs,
)

_HOST = 'club.example'
_JOB_PATH = (_HOST, f'/bookings/{JOB}')


class TestCores(testtools.TestCase):
    """Three core processes."""

    def test_job_runs_to_completion(self) -> None:
        """From its submission to its end on one worker."""

        async def body(cluster: CoreCluster) -> None:
            worker = StandInWorker('w', 'vm')
            await cluster.call(SubmitJob(*_JOB_PATH, job(step(1))))
            while not worker.running:
                await send_heartbeat(cluster, worker)
            status = await cluster.call(ReadJob(*_JOB_PATH))
            self.assertThat(
                status,
                matchers.Equals(JobState(JobPhase.ACTIVE, has_started=True)),
            )
            worker.end((key(), 1), RunEnd.DONE)
            while worker.ended:
                await send_heartbeat(cluster, worker)
            status = await cluster.call(ReadJob(*_JOB_PATH))
            self.assertThat(
                status,
                matchers.Equals(JobState(JobPhase.COMPLETED, True)),
            )

        run_cluster(body)

    def test_accepted_work_survives_a_leader_change(self) -> None:
        """The next leader knows the job, its run and the manifest."""

        async def body(cluster: CoreCluster) -> None:
            worker = StandInWorker('w', 'vm')
            await cluster.call(SubmitJob(*_JOB_PATH, job(step(1))))
            while not worker.running:
                await send_heartbeat(cluster, worker)
            first = await cluster.leader()
            await cluster.stop(first)
            await send_heartbeat(cluster, worker)
            self.assertThat(
                list(worker.running),
                matchers.Equals([(key(), 1)]),
            )
            again = await cluster.call(SubmitJob(*_JOB_PATH, job(step(1))))
            self.assertThat(again, matchers.Equals(Done()))
            await cluster.start(first)
            text = await cluster.call(ReadManifest())
            self.assertThat(
                text,
                matchers.Equals(ManifestText(manifest().document)),
            )

        run_cluster(body)

    def test_cancelled_job_that_comes_late_does_not_run(self) -> None:
        """Its submission was on its way while it was cancelled.

        Guards against jobs that run although their cancel was answered with
        "no such job", also if the leader that gave this answer is gone.
        """

        async def body(cluster: CoreCluster) -> None:
            cancelled = await cluster.call(CancelJobCall(*_JOB_PATH))
            self.assertThat(cancelled, matchers.Equals(NoSuchJob()))
            await cluster.stop(await cluster.leader())
            submitted = await cluster.call(SubmitJob(*_JOB_PATH, job(step(1))))
            self.assertThat(submitted, matchers.Equals(Done()))
            status = await cluster.call(ReadJob(*_JOB_PATH))
            self.assertThat(
                status,
                matchers.Equals(JobState(JobPhase.CANCELLED, False)),
            )

        run_cluster(body)

    def test_draining_leader_hands_over(self) -> None:
        """A leader has given up leadership once it is drained."""

        async def body(cluster: CoreCluster) -> None:
            first = await cluster.leader()
            await cluster.cores[first].drain()
            self.assertThat(
                cluster.cores[first].is_leading,
                matchers.Is(False),
            )
            await cluster.call(SubmitJob(*_JOB_PATH, job(step(1))))

        run_cluster(body)

    def test_calls_with_unknown_names(self) -> None:
        """Unknown queues and jobs and invalid IDs get distinct replies."""

        async def body(cluster: CoreCluster) -> None:
            elsewhere = (_HOST, '/elsewhere/1')
            bad_id = (_HOST, '/bookings/not-an-id')
            expected = (
                (SubmitJob(*elsewhere, job()), NotFound),
                (ReadJob(*elsewhere), NotFound),
                (SubmitJob(*bad_id, job()), Invalid),
                (ReadJob(*_JOB_PATH), NoSuchJob),
                (CancelJobCall(*_JOB_PATH), NoSuchJob),
                (ReadJob(_HOST, '/bookings/'), WaitingJobs),
            )
            for call, reply_type in expected:
                self.assertThat(
                    await cluster.call(call),
                    matchers.IsInstance(reply_type),
                )

        run_cluster(body)

    def test_older_manifest_is_ignored(self) -> None:
        """It is acknowledged, and the newest manifest is returned."""

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
        """A wave sends one maintenance order for an idle VM."""

        async def body(cluster: CoreCluster) -> None:
            worker = StandInWorker('w', 'vm')
            await send_heartbeat(cluster, worker)
            await cluster.call(StartWaveCall(1, ('vm',), 20, 1))
            while not cluster.vms.orders:
                await send_heartbeat(cluster, worker)
            self.assertThat(cluster.vms.orders, matchers.HasLength(1))
            vm, what, _ = cluster.vms.orders[0]
            self.assertThat((vm, what), matchers.Equals(('vm', 'wave 1')))

        run_cluster(body)

    def test_slow_vm_list_does_not_delay_orders(self) -> None:
        """Orders do not wait for a list that never returns."""

        async def body(cluster: CoreCluster) -> None:
            cluster.vms.list_allowed.clear()
            worker = StandInWorker('w', 'vm')
            await send_heartbeat(cluster, worker)
            await cluster.call(StartWaveCall(1, ('vm', 'unheard'), 20, 2))
            while not cluster.vms.orders:
                await send_heartbeat(cluster, worker)
            ordered = [vm for vm, _, _ in cluster.vms.orders]
            self.assertThat(ordered, matchers.Equals(['vm']))

        run_cluster(body)

    def test_slow_read_times_out(self) -> None:
        """It is not forwarded, which would take as long again."""

        async def body(cluster: CoreCluster) -> None:
            core = cluster.cores[await cluster.leader()]

            async def never(call: AnyCall) -> AnyReply:
                await asyncio.Event().wait()
                raise AssertionError(call)

            gateway = core._gateway
            with (
                mock.patch.object(core, '_answer', never),
                mock.patch.object(gateway, 'call') as forwarded,
            ):
                reply = await core.call(ReadManifest(), 0.05)
            self.assertThat(reply, matchers.Equals(Unknown()))
            self.assertThat(forwarded.call_count, matchers.Equals(0))

        run_cluster(body)
