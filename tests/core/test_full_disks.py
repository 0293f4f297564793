"""Test that full disks do not block what a quorum can do without them.

Guards against outages when the disks of some core processes fill up without
warning while jobs are submitted and workers keep running.
"""

from __future__ import annotations

import contextlib

import testtools
from testtools import matchers

from tests.builders_core import CoreCluster, run_cluster
from tests.builders_jobs import JOB, job, step
from wigeonreach.agreement import DiskSpace, SpaceWatch
from wigeonreach.jobs import JobPhase
from wigeonreach.wire._call_messages import ReadJob, SubmitJob
from wigeonreach.wire._call_replies import Done, JobState, NoSuchJob, Unknown

_JOB_PATH = ('club.example', f'/bookings/{JOB}')
_SUBMIT = SubmitJob(*_JOB_PATH, job(step(1)))
_ACCEPTED = JobState(JobPhase.ACTIVE, has_started=False)
_SHORT_S = 0.3
_MIB = 1024 * 1024


class TestFullDisks(testtools.TestCase):
    """Three core processes, some of which can't write to disk."""

    def test_leader_with_full_disk_keeps_leading(self) -> None:
        """The others' disks are a quorum without the leader's own."""

        async def body(cluster: CoreCluster) -> None:
            leader = await cluster.leader()
            with cluster.fill_disk(leader):
                reply = await cluster.gateway.call(_SUBMIT, 3)
                self.assertThat(reply, matchers.Equals(Done()))
            self.assertThat(await cluster.leader(), matchers.Equals(leader))

        run_cluster(body)

    def test_follower_with_full_disk_catches_up(self) -> None:
        """It can lead later with everything that was accepted meanwhile."""

        async def body(cluster: CoreCluster) -> None:
            leader = await cluster.leader()
            follower = next(name for name in cluster.names if name != leader)
            with cluster.fill_disk(follower):
                await cluster.call(_SUBMIT)
            other = next(
                name for name in cluster.names if name not in {leader, follower}
            )
            await cluster.stop(other)
            await cluster.start(other)
            await cluster.stop(leader)
            status = await cluster.call(ReadJob(*_JOB_PATH))
            self.assertThat(status, matchers.Equals(_ACCEPTED))

        run_cluster(body)

    def test_reads_work_without_a_quorum_of_disks(self) -> None:
        """The outcome of a submission is unknown until disks have space."""

        async def body(cluster: CoreCluster) -> None:
            leader = await cluster.leader()
            full = [
                leader,
                next(name for name in cluster.names if name != leader),
            ]
            with contextlib.ExitStack() as filled:
                for name in full:
                    filled.enter_context(cluster.fill_disk(name))
                reply = await cluster.gateway.call(_SUBMIT, _SHORT_S)
                self.assertThat(reply, matchers.Equals(Unknown()))
                status = await cluster.gateway.call(ReadJob(*_JOB_PATH), 3)
                self.assertThat(status, matchers.Equals(NoSuchJob()))
            await cluster.call(_SUBMIT)
            status = await cluster.call(ReadJob(*_JOB_PATH))
            self.assertThat(status, matchers.Equals(_ACCEPTED))

        run_cluster(body)


class TestSpaceWatch(testtools.TestCase):
    """When a disk is reported as low on space."""

    def test_each_change_is_reported_once(self) -> None:
        """Reported before the next snapshot would not fit, and once it would."""
        watch = SpaceWatch()
        is_reported = [
            watch.note(DiskSpace(20 * _MIB, free_mib * _MIB))
            for free_mib in (136, 41, 39, 5, 0, 60)
        ]
        self.assertThat(
            is_reported,
            matchers.Equals([False, False, True, False, False, True]),
        )

    def test_empty_disk_needs_a_minimum_of_free_space(self) -> None:
        """Little is used at first, but the disk soon fills."""
        self.assertThat(
            DiskSpace(0, 4 * _MIB).is_low,
            matchers.Is(True),
        )
