"""Test that all entries together keep within a target's slots."""

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
    CreditWorld,
    Step,
    acquire_all,
    build_forever,
    build_membership,
    build_router,
    exchange,
    hand_over,
)
from wigeonreach.entry._credits import (
    LEASE_S,
    Outgoing,
    home_share,
    reserve_of,
)
from wigeonreach.entry._credits_borrower import BorrowedSlot
from wigeonreach.entry._credits_lender import Lender, Loan, OwnShare
from wigeonreach.entry._credits_takeover import Takeover
from wigeonreach.entry._routing import Ending
from wigeonreach.entry._slots import TargetKey

_SLOTS = 8
_STEPS = 60
_EXAMPLES = 200
_MOST_PROGRAMS = 3000
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


def _overfills(program: _Program, names: Sequence[str]) -> bool:
    world = CreditWorld(names, _SLOTS)
    for step, which, amount in program:
        world.do(step, which, amount)
        if world.running > _SLOTS:
            return True
    return False


def _random_program(number: int) -> _Program:
    rng = random.Random(number)  # noqa: S311
    return [
        (rng.choice(LIKELY_STEPS), rng.randrange(2), rng.randrange(10))
        for _ in range(_STEPS)
    ]


def _reuse_at_once(loan: Loan, now_s: float) -> None:
    loan.reclaim_s = now_s


def _reuse_at_lease_end(loan: Loan, now_s: float) -> None:
    loan.reclaim_s = now_s + LEASE_S


def _ignore_lease(slot: BorrowedSlot, now_s: float) -> bool:
    return not slot.pool.busy(now_s)


@contextlib.contextmanager
def _no_wait_after_restart() -> Iterator[None]:
    build = Lender._new_share

    def build_at_once(lender: Lender, *rest: Any) -> OwnShare:
        share = build(lender, *rest)
        share.usable_from_s = 0
        return share

    with mock.patch.object(Lender, '_new_share', build_at_once):
        yield


@contextlib.contextmanager
def _no_wait_before_takeover() -> Iterator[None]:
    free = Takeover.free

    def free_at_once(
        takeover: Takeover,
        record: Any,
        _bound_s: float,
        now_s: float,
    ) -> Any:
        return free(takeover, record, -LEASE_S, now_s)

    with mock.patch.object(Takeover, 'free', free_at_once):
        yield


_Planted = Callable[[], contextlib.AbstractContextManager[Any]]
_PLANTED: Mapping[str, _Planted] = types.MappingProxyType(
    {
        'lent slot reused at once': lambda: mock.patch.object(
            Loan,
            'renew',
            _reuse_at_once,
        ),
        'lent slot reused at the end of the lease': lambda: mock.patch.object(
            Loan,
            'renew',
            _reuse_at_lease_end,
        ),
        'lease ignored': lambda: mock.patch.object(
            BorrowedSlot,
            'is_free',
            _ignore_lease,
        ),
        'slot of a given-up request reused': lambda: mock.patch.object(
            Ending,
            'may_still_work',
            new=False,
        ),
        'no wait after a restart': _no_wait_after_restart,
        'no wait before a takeover': _no_wait_before_takeover,
    }
)


class TestSlotsAreNeverPassed(testtools.TestCase):
    """The sum over all entries, under every failure at once."""

    @seed(1)
    @settings(database=None, deadline=None, max_examples=_EXAMPLES)
    @given(program=_PROGRAMS, names=st.sampled_from(_GROUPS))
    def test_sum(self, program: _Program, names: Sequence[str]) -> None:
        """No loss, delay, repeat, freeze, kill or restart passes the slots."""
        self.assertFalse(_overfills(program, names))

    def test_planted_faults(self) -> None:
        """Such programs find each shortcut that would be tempting."""
        for name, planted in _PLANTED.items():
            with planted():
                found = any(
                    _overfills(_random_program(number), _PAIR)
                    for number in range(_MOST_PROGRAMS)
                )
            self.assertTrue(found, name)

    def test_sound(self) -> None:
        """The programs that find the faults find none without them."""
        for number in range(_EXAMPLES):
            self.assertFalse(_overfills(_random_program(number), _PAIR))

    def test_shares(self) -> None:
        """Shares add up to the slots, for any number of entries."""
        for slots in range(1, 20):
            for count in range(1, 9):
                names = [f'a{one}' for one in range(count)]
                shares = [
                    home_share(slots, names, name, f'records-{slots}')
                    for name in names
                ]
                self.assertThat(sum(shares), Equals(slots))


class TestLoans(testtools.TestCase):
    """What uneven load gets, and when a loan ends."""

    def setUp(self) -> None:
        """Two entries of one zone share one target of 8 slots."""
        super().setUp()
        self.busy = build_router('a0', ['a1'])
        self.idle = build_router('a1', ['a0'])
        self.routers = {'a0': self.busy, 'a1': self.idle}

    def test_uneven(self) -> None:
        """A busy entry gets all but the reserve of an idle one."""
        taken = acquire_all(self.busy, 0)
        exchange(self.routers, 0)
        taken += acquire_all(self.busy, 0)

        self.assertThat(taken, HasLength(_SLOTS - reserve_of(_SLOTS // 2)))
        self.assertThat(acquire_all(self.idle, 0), HasLength(1))

    def test_lease_counts_from_the_question(self) -> None:
        """The borrower stops one lease after it asked, answer or not."""
        acquire_all(self.busy, 0)
        asked = self.busy.tick(0)[0]
        lent = hand_over(self.idle, asked, 0.9)
        assert lent is not None
        hand_over(self.busy, Outgoing('a0', lent), 0.95)

        self.assertThat(acquire_all(self.busy, LEASE_S), HasLength(0))

    def test_lender_waits(self) -> None:
        """Slots come back one lease and one longest run after the loan."""
        acquire_all(self.busy, 0)
        exchange(self.routers, 0)
        end_s = LEASE_S + WORK_BOUND_S

        self.assertThat(acquire_all(self.idle, end_s - 0.01), HasLength(1))
        self.assertThat(acquire_all(self.idle, end_s), HasLength(3))

    def test_returned(self) -> None:
        """Idle loans are returned, and their lender uses them at once."""
        acquire_all(self.busy, 0)
        exchange(self.routers, 0)
        exchange(self.routers, LEASE_S)

        self.assertThat(acquire_all(self.idle, LEASE_S), HasLength(4))

    def test_pressed(self) -> None:
        """An entry whose own callers found no slot lends nothing."""
        acquire_all(self.busy, 0)
        acquire_all(self.idle, 0)
        exchange(self.routers, 0)

        self.assertThat(acquire_all(self.busy, 0), HasLength(0))

    def test_restarted(self) -> None:
        """A restarted entry waits, and its peer lends to it meanwhile."""
        fresh = build_router('a0', ['a1'], incarnation_ns=2, started_s=0)
        routers = {'a0': fresh, 'a1': self.idle}

        self.assertThat(acquire_all(fresh, 0.1), HasLength(0))
        exchange(routers, 0.1)
        self.assertThat(acquire_all(fresh, 0.1), HasLength(3))
        whole_s = LEASE_S + WORK_BOUND_S
        self.assertThat(acquire_all(fresh, whole_s), HasLength(4))

    def test_first_seen(self) -> None:
        """No wait is needed for a target that nobody knew before."""
        fresh = build_router('a0', ['a1'], incarnation_ns=2, started_s=0)
        fresh.credits.note_first_seen(TargetKey('records-0', 1))

        self.assertThat(acquire_all(fresh, 0.1), HasLength(4))

    def test_gone_peer(self) -> None:
        """The share of a peer that refuses connections is used in time."""
        waits_s = LEASE_S + WORK_BOUND_S
        self.busy.credits.note_connected('a1')
        for tenth in range(40):
            self.busy.credits.note_refused('a1', tenth / 10)

        self.assertThat(acquire_all(self.busy, waits_s - 0.1), HasLength(4))
        self.assertThat(acquire_all(self.busy, waits_s), HasLength(4))

    def test_silent_peer(self) -> None:
        """The share of a peer that is only silent is left alone."""
        self.busy.credits.note_connected('a1')

        self.assertThat(acquire_all(self.busy, 1000), HasLength(4))


class TestOtherZones(testtools.TestCase):
    """Loans to entries of other zones."""

    def test_spill(self) -> None:
        """Another zone gets a capped part of idle slots, and no more."""
        empty = build_router(
            'b0',
            [],
            ['a0'],
            zone='b',
            membership=build_membership(build_forever(service='other')),
        )
        full = build_router('a0', [], ['b0'])
        routers = {'b0': empty, 'a0': full}

        acquire_all(empty, 0)
        for tenth in range(10):
            exchange(routers, tenth / 10)
            acquire_all(empty, tenth / 10)

        self.assertThat(empty.in_flight_at('records-0'), Equals(2))
        self.assertThat(acquire_all(full, 0.9), HasLength(6))

    def test_nobody_serves(self) -> None:
        """A service is given up for a while once every zone lent nothing."""
        router = build_router('a0', [], ['b0', 'c0'])

        self.assertTrue(router.is_served('other', 0))
        for tenth in range(4):
            router.acquire('other', tenth / 10)
            router.tick(tenth / 10)
        self.assertFalse(router.is_served('other', 0.4))
        self.assertTrue(router.is_served('other', 2))
