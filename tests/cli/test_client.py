"""Test which processes are reported to have applied a change."""

from __future__ import annotations

import testtools
from testtools.matchers import Equals

from wigeonreach.cli._client import RolloutProgress, find_progress
from wigeonreach.wire._rollout_messages import FollowerStatus, ReplicaStatus


def _status(*followers: FollowerStatus) -> ReplicaStatus:
    return ReplicaStatus(
        process='replica-a',
        zone='a',
        role='leader',
        version=7,
        confirmed_age_s=0,
        followers=followers,
        registered=('entry-1', 'entry-2', 'entry-3'),
    )


class TestFindProgress(testtools.TestCase):
    """Progress computed from the status of several replicas."""

    def test_lost_and_reconnected_followers(self) -> None:
        """A lost process is behind; a reconnected one counts as newest.

        A replica whose connection to a follower broke unnoticed still lists
        it with an old version, while another replica lists the new one.
        """
        stale_entry = FollowerStatus('entry-2', 'a', 6)
        statuses = [
            _status(FollowerStatus('entry-1', 'a', 7), stale_entry),
            _status(FollowerStatus('entry-2', 'a', 7)),
        ]

        self.assertThat(
            find_progress(statuses, 7),
            Equals(
                RolloutProgress(
                    reached=['entry-1', 'entry-2'], behind=['entry-3']
                )
            ),
        )
