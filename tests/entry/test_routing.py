"""Tests of the choice of targets for attempts."""

from __future__ import annotations

import testtools
from testtools.matchers import Equals, HasLength, Is

from tests.builders_credits import (
    WORK_BOUND_S,
    acquire_all,
    build_forever,
    build_membership,
    build_router,
)
from wigeonreach.entry._routing import Ending, Router

_TARGETS = 4


def _router_without_peers(targets: int = _TARGETS) -> Router:
    records = (
        build_forever(target_id=f'records-{number}')
        for number in range(targets)
    )
    return build_router('a0', [], membership=build_membership(*records))


def _all_target_ids() -> set[str]:
    return {f'records-{number}' for number in range(_TARGETS)}


def _attempt_all(
    router: Router,
    target_id: str,
    ending: Ending,
    now_s: float,
    times: int = 200,
) -> int:
    # Returns how many slots of the target the router handed out.
    attempts = 0
    for _ in range(times):
        others = _all_target_ids() - {target_id}
        slot = router.acquire('records', now_s, exclude=others)
        if slot is not None:
            attempts += 1
            router.release(slot, ending, now_s)
    return attempts


class TestRouter(testtools.TestCase):
    """Allocation of slots and balancing of load."""

    def test_given_up(self) -> None:
        """The slot of a timed-out request is free when its run has ended."""
        router = _router_without_peers(targets=1)
        slots = acquire_all(router, 0)
        for slot in slots:
            router.release(slot, Ending.GIVEN_UP, 0.2)
            router.release(slot, Ending.ANSWERED, 0.2)

        self.assertThat(router.acquire('records', 2.49), Is(None))
        self.assertThat(acquire_all(router, WORK_BOUND_S), HasLength(8))

    def test_least_loaded(self) -> None:
        """Load is spread evenly over equal targets."""
        router = _router_without_peers()
        for _ in range(2 * _TARGETS):
            router.acquire('records', 0)

        loads = {
            router.in_flight_at(f'records-{target}')
            for target in range(_TARGETS)
        }
        self.assertThat(loads, Equals({2}))

    def test_exclude(self) -> None:
        """A retry avoids the excluded targets."""
        router = _router_without_peers(targets=2)
        for _ in range(8):
            slot = router.acquire('records', 0, exclude={'records-0'})
            assert slot is not None
            self.assertThat(slot.target_id, Equals('records-1'))

    def test_connections(self) -> None:
        """An entry uses at most its share of a target's connections."""
        router = build_router(
            'a0',
            [],
            ['b0', 'c0'],
            membership=build_membership(build_forever(connections=9)),
        )

        self.assertThat(acquire_all(router, 0), HasLength(3))


class TestEjection(testtools.TestCase):
    """Ejection of failing targets."""

    def test_fast_failures(self) -> None:
        """A target that fails every request is ejected after five of them."""
        router = _router_without_peers()

        attempts = _attempt_all(router, 'records-0', Ending.FAILED, 0)
        self.assertThat(attempts, Equals(5))

    def test_probe(self) -> None:
        """An ejected target is probed with backoff and restored on success."""
        router = _router_without_peers()
        _attempt_all(router, 'records-0', Ending.FAILED, 0)

        for now_s, probes in ((0.9, 0), (1, 1), (2.9, 0), (3, 1), (6.9, 0)):
            attempts = _attempt_all(router, 'records-0', Ending.FAILED, now_s)
            self.assertThat(attempts, Equals(probes), str(now_s))
        _attempt_all(router, 'records-0', Ending.ANSWERED, 7)
        for _ in range(2):
            acquire_all(router, 10)
        self.assertThat(router.in_flight_at('records-0'), Equals(8))

    def test_all_targets_fail(self) -> None:
        """If all targets fail, at most half of them are ejected."""
        router = _router_without_peers()
        for target_id in _all_target_ids():
            _attempt_all(router, target_id, Ending.FAILED, 0)

        acquire_all(router, 0.1)
        loads = [router.in_flight_at(target) for target in _all_target_ids()]
        self.assertThat(sorted(loads), Equals([0, 0, 8, 8]))

    def test_failed_once(self) -> None:
        """A target that failed recently is less preferred for a while."""
        router = _router_without_peers(targets=2)
        _attempt_all(router, 'records-0', Ending.FAILED, 0, times=1)

        first = router.acquire('records', 0.5)
        assert first is not None
        self.assertThat(first.target_id, Equals('records-1'))
        router.release(first, Ending.ANSWERED, 0.6)
        for _ in range(2):
            router.acquire('records', 2)
        self.assertThat(router.in_flight_at('records-0'), Equals(1))

    def test_abandoned_requests(self) -> None:
        """Requests abandoned by their callers do not eject a target."""
        router = _router_without_peers(targets=2)
        for _ in range(10):
            slot = router.acquire('records', 0, exclude={'records-0'})
            if slot is not None:
                router.release(slot, Ending.ABANDONED, 0)

        acquire_all(router, WORK_BOUND_S)
        self.assertThat(router.in_flight_at('records-1'), Equals(8))
