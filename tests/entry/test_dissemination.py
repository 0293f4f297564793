"""Test the entries' view of targets under network faults and restarts."""

from __future__ import annotations

from typing import Any

import testtools
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st
from testtools.matchers import Equals, GreaterThan, Not

from tests.builders_zone import TICK_S, FakeZone

_LEASE_S = 8.0
_LEAVE_BOUND_S = 2.0
_NAMES = st.sampled_from(('x', 'y', 'z'))
_PAIRS = st.tuples(_NAMES, _NAMES).filter(lambda pair: pair[0] != pair[1])
_WAITS_S = st.sampled_from((0.05, 0.1, 0.3, 0.7, 1.5, 4.0))
_STEPS = st.one_of(
    st.tuples(
        st.sampled_from(('announce', 'announce_twice')),
        st.tuples(_NAMES, _WAITS_S),
    ),
    st.tuples(st.sampled_from(('cut', 'heal', 'reconnect')), _PAIRS),
    st.tuples(
        st.sampled_from(('restart', 'freeze', 'wake', 'cut_probes')),
        st.tuples(_NAMES),
    ),
    st.tuples(
        st.just('delay'),
        st.tuples(_PAIRS, _WAITS_S).map(lambda one: (*one[0], one[1])),
    ),
    st.tuples(st.just('run'), st.tuples(_WAITS_S)),
)
_Step = tuple[str, tuple[Any, ...]]


def _stable_zone() -> FakeZone:
    zone = FakeZone(_LEASE_S)
    zone.run(1)
    zone.announce('x', 0)
    zone.run(0.5)
    return zone


def _serving(zone: FakeZone) -> str:
    return ''.join(
        name
        for name, entry in zone.entries.items()
        if not entry.is_frozen and entry.serves(zone.now_s)
    )


def _apply_step(zone: FakeZone, step: _Step) -> None:
    name, arguments = step
    getattr(zone, name)(*arguments)


class TestDissemination(testtools.TestCase):
    """Three entries with different clocks, and one target."""

    def test_announcement_reaches_all(self) -> None:
        """An announcement to one entry reaches all entries of the zone."""
        self.assertThat(_serving(_stable_zone()), Equals('xyz'))

    def test_partitioned_entry(self) -> None:
        """A partitioned entry keeps using targets that answer its probes."""
        zone = _stable_zone()
        zone.isolate('z')
        for _ in range(20):
            zone.run(0.3)
            self.assertThat(_serving(zone), Equals('xyz'))
        zone.cut_probes('z')
        zone.run(1.5)
        self.assertThat(_serving(zone), Equals('xy'))

    def test_restarted_entry(self) -> None:
        """A restarted entry learns all targets from its peers."""
        zone = _stable_zone()
        zone.restart('x')
        self.assertThat(_serving(zone), Equals('yz'))
        zone.run(0.8)
        self.assertThat(_serving(zone), Equals('xyz'))

    def test_leave_lost_by_restart(self) -> None:
        """A leave is detected even if the only informed entry restarts."""
        zone = _stable_zone()
        zone.cut_probes('x', 'y', 'z')
        zone.isolate('x')
        zone.target.leave(zone.now_s)
        zone.announce('x', 0)
        zone.run(0.1)
        zone.restart('x')
        zone.heal_all()
        zone.run(_LEAVE_BOUND_S)
        self.assertThat(_serving(zone), Equals(''))

    def test_leave_with_delayed_heartbeats(self) -> None:
        """Delayed but regular heartbeats don't hide a leave."""
        zone = _stable_zone()
        zone.cut_probes('x', 'y', 'z')
        zone.delay('x', 'y', 3)
        zone.delay('x', 'z', 3)
        zone.run(4)
        zone.target.leave(zone.now_s)
        zone.announce('x', 0)
        zone.run(_LEAVE_BOUND_S)
        self.assertThat(_serving(zone), Equals(''))

    def test_relayed_lease(self) -> None:
        """A delayed relay doesn't extend the lease."""
        zone = FakeZone(_LEASE_S)
        zone.cut_probes('x', 'y', 'z')
        zone.run(1)
        for source, target in zone.links:
            zone.delay(source, target, 3)
        zone.announce('x', 0)
        ends_s = zone.now_s + _LEASE_S + TICK_S
        zone.run(4)
        for entry in zone.entries.values():
            member = entry.membership.find('records-0')
            assert member is not None
            self.assertThat(
                member.expires_s - entry.skew_s,
                Not(GreaterThan(ends_s)),
            )

    @seed(1)
    @settings(
        max_examples=150,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        before=st.lists(_STEPS, max_size=12),
        told=_NAMES,
        after=st.lists(_STEPS, max_size=12),
    )
    def test_leave_holds(
        self,
        before: list[_Step],
        told: str,
        after: list[_Step],
    ) -> None:
        """No entry serves past the bound, whatever is lost or delayed."""
        zone = _stable_zone()
        for step in before:
            _apply_step(zone, step)
        zone.entries[told].is_frozen = False
        zone.target.leave(zone.now_s)
        zone.announce(told, 0)
        zone.run(TICK_S)
        for late in after:
            _apply_step(zone, late)
            self._check(zone)
        for _ in range(20):
            zone.run(0.2)
            self._check(zone)

    def _check(self, zone: FakeZone) -> None:
        if zone.now_s > zone.target.left_s + _LEAVE_BOUND_S:
            self.assertThat(_serving(zone), Equals(''))
