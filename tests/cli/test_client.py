"""Test which processes a change is told to have reached."""

from __future__ import annotations

import testtools
from testtools.matchers import Equals

from wigeonreach.cli._client import Spread, find_spread
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


class TestSpread(testtools.TestCase):
    """What several replicas tell of the followers."""

    def test_lost_and_moved(self) -> None:
        """A lost process is named; one that moved counts where it is now."""
        left_behind = FollowerStatus('entry-2', 'a', 6)
        statuses = [
            _status(FollowerStatus('entry-1', 'a', 7), left_behind),
            _status(FollowerStatus('entry-2', 'a', 7)),
        ]

        self.assertThat(
            find_spread(statuses, 7),
            Equals(Spread(reached=['entry-1', 'entry-2'], behind=['entry-3'])),
        )
