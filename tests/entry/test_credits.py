"""Test that all entries together never exceed a target's slots."""

from __future__ import annotations

import contextlib
import random
import types
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Any
from unittest import mock

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from testtools.matchers import Equals, HasLength

from tests.builders_credits import (
    LIKELY_STEPS,
    WORK_BOUND_S,
    CreditSimulation,
    Step,
    acquire_all,
    build_forever,
    build_membership,
    build_router,
    deliver_message,
    exchange,
)
from wigeonreach.entry._credits import (
    LEASE_S,
    Outgoing,
    permanent_share,
    reserved_slots,
)
from wigeonreach.entry._credits_borrower import BorrowedSlot
from wigeonreach.entry._credits_lender import Lender, Loan, OwnShare
from wigeonreach.entry._credits_takeover import Takeover
from wigeonreach.entry._routing import Ending
from wigeonreach.entry._slots import TargetKey

_SLOTS = 8
_STEPS = 60
_EXAMPLES = 200
_MAX_PROGRAMS = 3000
_Program = Iterable[tuple[Step, int, int]]

_PROGRAMS = st.lists(
    st.tuples(
        st.sampled_from(LIKELY_STEPS),
        st.integers(0, 2),
        st.integers(0, 9),
    ),
    max_size=_STEPS,
)


_PAIR = ('a0', 'a1')
_GROUPS = (_PAIR, ('a0', 'a1', 'a2'), ('a0', 'a1', 'b0'))


def _exceeds_limit(program: _Program, names: Sequence[str]) -> bool:
    simulation = CreditSimulation(names, _SLOTS)
    for step, which, amount in program:
        simulation.apply(step, which, amount)
        if simulation.running > _SLOTS:
            return True
    return False


def _random_program(number: int) -> _Program:
    rng = random.Random(number)  # noqa: S311
    return [
        (rng.choice(LIKELY_STEPS), rng.randrange(2), rng.randrange(10))
        for _ in range(_STEPS)
    ]


def _reclaim_at_once(loan: Loan, now_s: float) -> None:
    loan.reclaim_s = now_s


def _reclaim_at_lease_end(loan: Loan, now_s: float) -> None:
    loan.reclaim_s = now_s + LEASE_S


def _ignore_lease(slot: BorrowedSlot, now_s: float) -> bool:
    return not slot.pool.busy(now_s)


@contextlib.contextmanager
def _no_wait_after_restart() -> Iterator[None]:
    build = Lender._new_share

    def build_usable_share(lender: Lender, *rest: Any) -> OwnShare:
        share = build(lender, *rest)
        share.usable_from_s = 0
        return share

    with mock.patch.object(Lender, '_new_share', build_usable_share):
        yield


@contextlib.contextmanager
def _no_wait_before_takeover() -> Iterator[None]:
    free_pools = Takeover.free_pools

    def free_pools_at_once(
        takeover: Takeover,
        record: Any,
        _bound_s: float,
        now_s: float,
    ) -> Any:
        return free_pools(takeover, record, -LEASE_S, now_s)

    with mock.patch.object(Takeover, 'free_pools', free_pools_at_once):
        yield


_Fault = Callable[[], contextlib.AbstractContextManager[Any]]
_INJECTED_FAULTS: Mapping[str, _Fault] = types.MappingProxyType(
    {
        'lent slot reclaimed at once': lambda: mock.patch.object(
            Loan,
            'renew',
            _reclaim_at_once,
        ),
        'lent slot reclaimed at lease end': lambda: mock.patch.object(
            Loan,
            'renew',
            _reclaim_at_lease_end,
        ),
        'lease ignored': lambda: mock.patch.object(
            BorrowedSlot,
            'is_free',
            _ignore_lease,
        ),
        'slot of an abandoned request reused': lambda: mock.patch.object(
            Ending,
            'may_still_work',
            new=False,
        ),
        'no wait after a restart': _no_wait_after_restart,
        'no wait before a takeover': _no_wait_before_takeover,
    }
)


class TestSlotLimit(testtools.TestCase):
    """The number of requests at a target under combined failures."""

    @seed(1)
    @settings(database=None, deadline=None, max_examples=_EXAMPLES)
    @given(program=_PROGRAMS, names=st.sampled_from(_GROUPS))
    def test_limit_holds(self, program: _Program, names: Sequence[str]) -> None:
        """Message loss, delay, repeats and crashes never exceed the slots."""
        self.assertFalse(_exceeds_limit(program, names))

    def test_detects_injected_faults(self) -> None:
        """Random programs detect each fault injected into the protocol."""
        for name, inject in _INJECTED_FAULTS.items():
            with inject():
                found = any(
                    _exceeds_limit(_random_program(number), _PAIR)
                    for number in range(_MAX_PROGRAMS)
                )
            self.assertTrue(found, name)

    def test_no_false_alarm(self) -> None:
        """The same programs find no violation without an injected fault."""
        for number in range(_EXAMPLES):
            self.assertFalse(_exceeds_limit(_random_program(number), _PAIR))

    def test_shares(self) -> None:
        """Shares add up to the slots, for any number of entries."""
        for slots in range(1, 20):
            for count in range(1, 9):
                names = [f'a{one}' for one in range(count)]
                shares = [
                    permanent_share(slots, names, name, f'records-{slots}')
                    for name in names
                ]
                self.assertThat(sum(shares), Equals(slots))


class TestLoans(testtools.TestCase):
    """Loans under uneven load, and the end of a loan."""

    def setUp(self) -> None:
        """Let two entries of one zone share a target with 8 slots."""
        super().setUp()
        self.busy = build_router('a0', ['a1'])
        self.idle = build_router('a1', ['a0'])
        self.routers = {'a0': self.busy, 'a1': self.idle}

    def test_uneven(self) -> None:
        """A busy entry gets all but the reserved slots of an idle one."""
        taken = acquire_all(self.busy, 0)
        exchange(self.routers, 0)
        taken += acquire_all(self.busy, 0)

        self.assertThat(taken, HasLength(_SLOTS - reserved_slots(_SLOTS // 2)))
        self.assertThat(acquire_all(self.idle, 0), HasLength(1))

    def test_lease_starts_at_request(self) -> None:
        """The lease starts at the borrower's request, not at the reply."""
        acquire_all(self.busy, 0)
        asked = self.busy.tick(0)[0]
        lent = deliver_message(self.idle, asked, 0.9)
        assert lent is not None
        deliver_message(self.busy, Outgoing('a0', lent), 0.95)

        self.assertThat(acquire_all(self.busy, LEASE_S), HasLength(0))

    def test_reclaim_time(self) -> None:
        """Slots are reclaimed a lease and a maximum duration after the loan."""
        acquire_all(self.busy, 0)
        exchange(self.routers, 0)
        reclaim_s = LEASE_S + WORK_BOUND_S

        self.assertThat(acquire_all(self.idle, reclaim_s - 0.01), HasLength(1))
        self.assertThat(acquire_all(self.idle, reclaim_s), HasLength(3))

    def test_idle_loan_returned(self) -> None:
        """Idle loans are returned, and their lender can use them at once."""
        acquire_all(self.busy, 0)
        exchange(self.routers, 0)
        exchange(self.routers, LEASE_S)

        self.assertThat(acquire_all(self.idle, LEASE_S), HasLength(4))

    def test_lender_under_load(self) -> None:
        """An entry whose own requests found no slot lends nothing."""
        acquire_all(self.busy, 0)
        acquire_all(self.idle, 0)
        exchange(self.routers, 0)

        self.assertThat(acquire_all(self.busy, 0), HasLength(0))

    def test_restarted(self) -> None:
        """A restarted entry waits for its own share but borrows meanwhile."""
        restarted = build_router('a0', ['a1'], incarnation_ns=2, started_s=0)
        routers = {'a0': restarted, 'a1': self.idle}

        self.assertThat(acquire_all(restarted, 0.1), HasLength(0))
        exchange(routers, 0.1)
        self.assertThat(acquire_all(restarted, 0.1), HasLength(3))
        usable_from_s = LEASE_S + WORK_BOUND_S
        self.assertThat(acquire_all(restarted, usable_from_s), HasLength(4))

    def test_first_seen(self) -> None:
        """A restarted entry need not wait for a previously unknown target."""
        restarted = build_router('a0', ['a1'], incarnation_ns=2, started_s=0)
        restarted.credits.note_first_seen(TargetKey('records-0', 1))

        self.assertThat(acquire_all(restarted, 0.1), HasLength(4))

    def test_refusing_peer(self) -> None:
        """The share of a peer that refuses connections is taken over in time."""
        takeover_s = LEASE_S + WORK_BOUND_S
        self.busy.credits.note_connected('a1')
        for tenth in range(40):
            self.busy.credits.note_refused('a1', tenth / 10)

        self.assertThat(acquire_all(self.busy, takeover_s - 0.1), HasLength(4))
        self.assertThat(acquire_all(self.busy, takeover_s), HasLength(4))

    def test_silent_peer(self) -> None:
        """The share of a peer that is merely silent is not taken over."""
        self.busy.credits.note_connected('a1')

        self.assertThat(acquire_all(self.busy, 1000), HasLength(4))


class TestOtherZones(testtools.TestCase):
    """Loans to entries of other zones."""

    def test_loan_to_other_zone(self) -> None:
        """Another zone gets at most the foreign loan limit of idle slots."""
        unserved = build_router(
            'b0',
            [],
            ['a0'],
            zone='b',
            membership=build_membership(build_forever(service='other')),
        )
        lender = build_router('a0', [], ['b0'])
        routers = {'b0': unserved, 'a0': lender}

        acquire_all(unserved, 0)
        for tenth in range(10):
            exchange(routers, tenth / 10)
            acquire_all(unserved, tenth / 10)

        self.assertThat(unserved.in_flight_at('records-0'), Equals(2))
        self.assertThat(acquire_all(lender, 0.9), HasLength(6))

    def test_no_zone_lends(self) -> None:
        """A service counts as unserved for a while once no zone lends slots."""
        router = build_router('a0', [], ['b0', 'c0'])

        self.assertTrue(router.is_served('other', 0))
        for tenth in range(4):
            router.acquire('other', tenth / 10)
            router.tick(tenth / 10)
        self.assertFalse(router.is_served('other', 0.4))
        self.assertTrue(router.is_served('other', 2))
