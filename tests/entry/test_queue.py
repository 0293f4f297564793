"""Tests of the weighted fair queue."""

from __future__ import annotations

import collections

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from testtools.matchers import Equals, Is

from tests.builders_entry import build_ticket
from wigeonreach.entry._queue import FairQueue, Ticket


class TestFairQueue(testtools.TestCase):
    """The queue of one service."""

    def test_shares_by_weight(self) -> None:
        """Waiting teams are served in proportion to their weights."""
        queue = FairQueue(max_length=100)
        for _ in range(40):
            queue.push(build_ticket('clinics', weight=3.0))
            queue.push(build_ticket('schools', weight=1.0))
        taken = collections.Counter(_pop_team(queue) for _ in range(40))
        self.assertThat(taken, Equals({'clinics': 30, 'schools': 10}))

    def test_flood_does_not_starve(self) -> None:
        """A team that joins a flooded queue is served within two requests."""
        queue = FairQueue(max_length=100)
        for _ in range(100):
            queue.push(build_ticket('flood'))
        queue.pop()
        queue.push(build_ticket('calm'))
        taken = [_pop_team(queue) for _ in range(2)]
        self.assertIn('calm', taken)

    def test_full_queue_drops_the_flood(self) -> None:
        """A full queue drops from the team furthest over its share."""
        queue = FairQueue(max_length=3)
        flood = [build_ticket('flood') for _ in range(3)]
        for ticket in flood:
            self.assertThat(queue.push(ticket), Is(None))
        self.assertThat(queue.push(build_ticket('calm')), Is(flood[-1]))
        self.assertThat(len(queue), Equals(3))

    def test_urgent_first_within_its_share(self) -> None:
        """An urgent request overtakes only requests of its own team."""
        queue = FairQueue(max_length=10)
        queue.push(build_ticket('clinics'))
        queue.push(build_ticket('schools'))
        urgent = build_ticket('schools', is_urgent=True)
        queue.push(urgent)
        self.assertThat(_pop_team(queue), Equals('clinics'))
        self.assertThat(queue.pop(), Is(urgent))

    def test_removes_expired(self) -> None:
        """Only requests with a deadline before the given time are removed."""
        queue = FairQueue(max_length=10)
        late = build_ticket(due_s=1.0)
        kept = build_ticket(due_s=3.0)
        queue.push(late)
        queue.push(kept)
        self.assertThat(queue.remove_expired(2.0), Equals([late]))
        self.assertThat(queue.pop(), Is(kept))
        self.assertThat(queue.pop(), Is(None))

    def test_ahead_counts_own_share_only(self) -> None:
        """Another team's flood does not raise the number ahead of a request."""
        queue = FairQueue(max_length=100)
        for _ in range(50):
            queue.push(build_ticket('flood'))
        ahead = queue.estimate_ahead('calm', 1.0, is_urgent=False)
        self.assertThat(ahead, Equals(1))

    @seed(3)
    @settings(database=None, deadline=None, max_examples=60)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('push', 'pop', 'expire')),
                st.integers(0, 3),
                st.booleans(),
            ),
            max_size=60,
        ),
    )
    def test_every_ticket_leaves_once(
        self,
        steps: list[tuple[str, int, bool]],
    ) -> None:
        """Whatever the order, each request leaves the queue exactly once."""
        queue = FairQueue(max_length=5)
        left: list[int] = []
        pushed: list[int] = []
        for step, number, flag in steps:
            if step == 'push':
                ticket = build_ticket(
                    f'team-{number}',
                    weight=number + 1.0,
                    is_urgent=flag,
                    due_s=number,
                )
                pushed.append(ticket.number)
                left.extend(_numbers(queue.push(ticket)))
            elif step == 'pop':
                left.extend(_numbers(queue.pop()))
            else:
                left.extend(_numbers(*queue.remove_expired(number)))
        while len(queue):
            left.extend(_numbers(queue.pop()))
        self.assertThat(sorted(left), Equals(pushed))
        self.assertThat(len(queue), Equals(0))


def _numbers(*tickets: Ticket | None) -> list[int]:
    return [one.number for one in tickets if one is not None]


def _pop_team(queue: FairQueue) -> str:
    ticket = queue.pop()
    assert ticket is not None
    return ticket.team
