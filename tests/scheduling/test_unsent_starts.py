"""Test that each recorded start is sent, withdrawn or ended within a bound.

A start is recorded first and sent with a later answer.  Guards against starts
that are not sent as a condition changed in between, and not withdrawn either:
their tasks would stay assigned to a worker that never hears of them.
"""

from __future__ import annotations

import random

import testtools
from testtools import matchers

from tests.builders_changes import (
    CHANGES,
    OTHER_SERVICE,
    POLICY,
    ChangingFleet,
)
from tests.builders_jobs import job, step
from wigeonreach.observe import LogEvent

# Users expect a task to start within 3 s where there is capacity for it.
_IN_TIME = matchers.LessThan(3.0)
_SETTLED_S = 4.0
_DAYS = 40
_DAY_S = 25.0
# In each tenth of a second.
_CHANGE_PERCENT = 5
_NEW_LEADER = 'new leader'


class TestEachChange(testtools.TestCase):
    """One condition changes between the record of starts and their orders."""

    def test_with_the_same_leader(self) -> None:
        """The starts are not sent, and the leader withdraws them."""
        for name, change in CHANGES.items():
            fleet = _fleet_with_starts(name)
            change(fleet)
            fleet.send_orders()
            fleet.run(_SETTLED_S)
            self.assertThat(fleet.longest_unsent_s, _IN_TIME, name)

    def test_with_a_new_leader(self) -> None:
        """It does not know whether the former one has sent the starts."""
        for name, change in CHANGES.items():
            fleet = _fleet_with_starts(name)
            change(fleet)
            fleet.change_leader()
            fleet.run(_SETTLED_S)
            self.assertThat(fleet.longest_unsent_s, _IN_TIME, name)

    def test_with_a_gang(self) -> None:
        """The whole gang is withdrawn and started again."""
        for name, change in CHANGES.items():
            fleet = _fleet_with_starts(name, is_gang=True)
            change(fleet)
            fleet.send_orders()
            fleet.run(_SETTLED_S)
            self.assertThat(fleet.longest_unsent_s, _IN_TIME, name)


class TestService(testtools.TestCase):
    """The queue gets another service while its starts are not sent yet."""

    def test_tasks_start_on_the_other_service(self) -> None:
        """Nothing starts on workers of the former service any more."""
        fleet = _fleet_with_starts('service')
        CHANGES['service'](fleet)
        fleet.send_orders()
        fleet.run(1.0)
        running = {
            worker.service: len(worker.running)
            for worker in fleet.lead.workers.values()
            if worker.running
        }
        self.assertThat(set(running), matchers.Equals({OTHER_SERVICE}))

    def test_withdrawn_starts_are_logged_with_the_reason(self) -> None:
        """An operator sees why a start never reached its worker."""
        fleet = _fleet_with_starts('service')
        CHANGES['service'](fleet)
        fleet.send_orders()
        fleet.run(1.0)
        told = [
            note.reason
            for note in fleet.lead.scheduler.notes
            if note.event is LogEvent.STARTS_WITHDRAWN
        ]
        self.assertThat(
            {reason.split()[0] for reason in told},
            matchers.Equals({'other-service'}),
        )


class TestPolicy(testtools.TestCase):
    """The queue's starts need tickets from now on, or none any more.

    Guards against starts that each worker rejects, for good, as jobs that were
    accepted before the change are placed by the former policy.
    """

    def test_starts_get_tickets_once_they_need_them(self) -> None:
        """No start without a ticket is sent after the change."""
        fleet = _fleet_with_starts('policy')
        CHANGES['policy'](fleet)
        fleet.send_orders()
        fleet.run(1.0)
        self.assertThat(fleet.sent_tickets, matchers.Equals({'ticket'}))
        self.assertThat(_running(fleet), matchers.Equals(6))

    def test_starts_need_no_ticket_any_more(self) -> None:
        """The advisor is silent, and nobody waits for it."""
        fleet = ChangingFleet(POLICY)
        fleet.has_answers = False
        fleet.run(1.0)
        CHANGES['policy'](fleet)
        fleet.run(1.0)
        self.assertThat(fleet.sent_tickets, matchers.Equals({''}))
        self.assertThat(_running(fleet), matchers.Equals(6))


class TestRandomChanges(testtools.TestCase):
    """Conditions change again and again, also under new leaders."""

    def test_each_start_is_settled(self) -> None:
        """Changes come every 2 s on average, then all stay as they are."""
        for seed in range(_DAYS):
            rng = random.Random(seed)
            specs = [
                job(
                    step(rng.randint(1, 12), is_gang=_happens(rng, 30)),
                    job_id=f'{number:016x}',
                )
                for number in range(40)
            ]
            policy = POLICY if _happens(rng, 50) else None
            fleet = ChangingFleet(policy, specs)
            while fleet.lead.now_s < _DAY_S:
                fleet.record_starts()
                _change_some(fleet, rng)
                fleet.send_orders()
                fleet.end_some(rng, percent=5)
            fleet.run(_SETTLED_S)
            self.assertThat(fleet.longest_unsent_s, _IN_TIME, f'seed {seed}')


def _running(fleet: ChangingFleet) -> int:
    return sum(len(worker.running) for worker in fleet.lead.workers.values())


def _fleet_with_starts(name: str, is_gang: bool = False) -> ChangingFleet:
    """Return a fleet with starts that are recorded and not sent yet."""
    policy = POLICY if name == 'tickets' else None
    spec = job(step(6, label='large', is_gang=is_gang))
    fleet = ChangingFleet(policy, (spec,))
    while not fleet.unsent():
        fleet.record_starts()
    return fleet


def _change_some(fleet: ChangingFleet, rng: random.Random) -> None:
    if not _happens(rng, _CHANGE_PERCENT):
        return
    name = rng.choice([*CHANGES, _NEW_LEADER])
    if name == _NEW_LEADER:
        fleet.change_leader()
    else:
        CHANGES[name](fleet)


def _happens(rng: random.Random, percent: int) -> bool:
    return rng.randrange(100) < percent
