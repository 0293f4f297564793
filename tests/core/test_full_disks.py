"""Test that full disks hold up nothing that a quorum can do without them.

Pattern: disks of core processes fill without a sign, at any moment, while jobs are
handed in and workers go on.
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

_PLACE = ('club.example', f'/bookings/{JOB}')
_SUBMIT = SubmitJob(*_PLACE, job(step(1)))
_ACCEPTED = JobState(JobPhase.ACTIVE, has_started=False)
_SHORT_S = 0.3
_MIB = 1024 * 1024


class TestFullDisks(testtools.TestCase):
    """Three core processes, some of which can't write."""

    def test_leader_that_cant_write_leads_on(self) -> None:
        """What the others have synced counts without its own disk."""

        async def body(cluster: CoreCluster) -> None:
            leader = await cluster.leader()
            with cluster.fill_disk(leader):
                reply = await cluster.gateway.call(_SUBMIT, 3)
                self.assertThat(reply, matchers.Equals(Done()))
            self.assertThat(await cluster.leader(), matchers.Equals(leader))

        run_cluster(body)

    def test_follower_that_cant_write_catches_up(self) -> None:
        """It leads with all that was accepted meanwhile."""

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
            shown = await cluster.call(ReadJob(*_PLACE))
            self.assertThat(shown, matchers.Equals(_ACCEPTED))

        run_cluster(body)

    def test_without_a_quorum_of_disks_reads_go_on(self) -> None:
        """A job is not accepted, nor refused for good; it is known later."""

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
                shown = await cluster.gateway.call(ReadJob(*_PLACE), 3)
                self.assertThat(shown, matchers.Equals(NoSuchJob()))
            await cluster.call(_SUBMIT)
            shown = await cluster.call(ReadJob(*_PLACE))
            self.assertThat(shown, matchers.Equals(_ACCEPTED))

        run_cluster(body)


class TestSpaceWatch(testtools.TestCase):
    """When operators are told that a disk fills."""

    def test_each_change_is_told_once(self) -> None:
        """Before the next snapshot does not fit, and when it does again."""
        watch = SpaceWatch()
        told = [
            watch.note(DiskSpace(20 * _MIB, free_mib * _MIB))
            for free_mib in (136, 41, 39, 5, 0, 60)
        ]
        self.assertThat(
            told,
            matchers.Equals([False, False, True, False, False, True]),
        )

    def test_new_disk_needs_some_room_too(self) -> None:
        """Little is used at the start, and work fills it soon."""
        self.assertThat(
            DiskSpace(0, 4 * _MIB).is_low,
            matchers.Is(True),
        )
