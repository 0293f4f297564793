"""Test which losses are explained by a failed rack or zone."""

from __future__ import annotations

import testtools
from testtools import matchers

from wigeonreach.scheduling._incarnation import Incarnation, resources_of
from wigeonreach.scheduling._losses import (
    DomainLoss,
    LossCorrelation,
    WorkerLoss,
)
from wigeonreach.standins import StandInWorker


def _loss(
    number: int,
    heard_s: float = 10.0,
    *,
    rack: str = 'r0',
    service: str = 'desk',
    is_provoked: bool = True,
) -> WorkerLoss:
    return WorkerLoss(
        f'w{number}',
        f'vm{number}',
        heard_s,
        heard_s + 4,
        service,
        'z0',
        rack,
        is_provoked=is_provoked,
    )


def _alive(
    rack: str = 'r0', zone: str = 'z0', heard_s: float = 20
) -> Incarnation:
    worker = StandInWorker('alive', 'vm-alive', rack=rack, zone=zone)
    report = worker.report()
    return Incarnation(report, 0, heard_s, resources_of(report))


class TestDomainLoss(testtools.TestCase):
    """A lost worker, and other workers that were lost with it."""

    def test_worker_alone_is_no_domain(self) -> None:
        """No other worker fell silent."""
        self.assertThat(
            LossCorrelation((), ()).failed_domain(_loss(0)), matchers.Is(None)
        )

    def test_rack_with_an_idle_worker_went(self) -> None:
        """The loss of an unprovoked worker proves that the rack failed."""
        losses = (_loss(0), _loss(1, 10.9, is_provoked=False))
        found = LossCorrelation(losses, (_alive('r1', 'z1'),)).failed_domain(
            losses[0]
        )
        expected = DomainLoss('rack r0', is_conclusive=True)
        self.assertThat(found, matchers.Equals(expected))

    def test_rack_of_one_queue_may_be_brought_down_by_its_tasks(self) -> None:
        """A run had just begun on each of its workers."""
        losses = (_loss(0), _loss(1), _loss(2))
        found = LossCorrelation(losses, (_alive('r1', 'z1'),)).failed_domain(
            losses[0]
        )
        expected = DomainLoss('rack r0', is_conclusive=False)
        self.assertThat(found, matchers.Equals(expected))

    def test_several_services_went_with_their_rack(self) -> None:
        """Two services are not enough: two workers may crash by coincidence."""
        pair = (_loss(0), _loss(1, service='other'))
        found = LossCorrelation(pair, (_alive('r1', 'z1'),)).failed_domain(
            pair[0]
        )
        unproved = DomainLoss('rack r0', is_conclusive=False)
        self.assertThat(found, matchers.Equals(unproved))
        three = (*pair, _loss(2))
        found = LossCorrelation(three, (_alive('r1', 'z1'),)).failed_domain(
            three[0]
        )
        proved = DomainLoss('rack r0', is_conclusive=True)
        self.assertThat(found, matchers.Equals(proved))

    def test_rack_with_a_survivor_did_not_go(self) -> None:
        """The zone of the rack did not fail either."""
        losses = (_loss(0), _loss(1, is_provoked=False))
        found = LossCorrelation(losses, (_alive(),)).failed_domain(losses[0])
        self.assertThat(found, matchers.Is(None))

    def test_zone_went_with_its_racks(self) -> None:
        """Each of its racks had one worker, and both were lost."""
        losses = (_loss(0), _loss(1, rack='r1', is_provoked=False))
        found = LossCorrelation(losses, (_alive('r2', 'z1'),)).failed_domain(
            losses[0]
        )
        expected = DomainLoss('zone z0', is_conclusive=True)
        self.assertThat(found, matchers.Equals(expected))

    def test_idle_worker_that_fell_too_is_company(self) -> None:
        """It shows that workers fail without being provoked at that time."""
        others = (_loss(1, 10.5, rack='r1', is_provoked=False), _loss(2, 10.1))
        for lost, beside, has_company in (
            (_loss(0), others, True),
            (_loss(0), others[1:], False),
            (_loss(0, 12.0), others, False),
            (_loss(0, is_provoked=False), others, True),
            (_loss(0, is_provoked=False), others[1:], False),
        ):
            fallen = LossCorrelation((lost, *beside), ())
            found = fallen.coincides_with_unprovoked(lost)
            self.assertThat(found, matchers.Is(has_company))

    def test_losses_at_other_times_are_no_domain(self) -> None:
        """Workers that are lost three seconds apart did not fail together."""
        losses = (_loss(0), _loss(1, 13, is_provoked=False))
        self.assertThat(
            LossCorrelation(losses, ()).failed_domain(losses[0]),
            matchers.Is(None),
        )

    def test_workers_that_came_later_are_no_survivors(self) -> None:
        """Another worker of the rack joined after its failure."""
        losses = (_loss(0), _loss(1, is_provoked=False))
        late = _alive()
        late.first_heard_s = 14
        found = LossCorrelation(losses, (late,)).failed_domain(losses[0])
        expected = DomainLoss('rack r0', is_conclusive=True)
        self.assertThat(found, matchers.Equals(expected))
