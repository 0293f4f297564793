"""Tests of waiting for slots and of retries at other targets."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Collection

import testtools
from testtools.matchers import Equals, Is

from tests.builders_entry import build_request
from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._attempt import TargetAnswer
from wigeonreach.entry._dispatch import Dispatcher
from wigeonreach.entry._request import CallerRequest
from wigeonreach.entry._slot_queue import SlotQueue
from wigeonreach.entry._slots import Ending, Slot
from wigeonreach.exceptions import AttemptFailedError, RequestRefusedError
from wigeonreach.observe import Metrics

_ANSWER = TargetAnswer(200, None, b'done')


class FakeRouter:
    """Allocates one slot for each of the given targets."""

    def __init__(self, *targets: str) -> None:
        """Start with all slots free."""
        self.free = list(targets)
        self.endings: list[Ending] = []
        self._numbers = itertools.count()

    def acquire(
        self,
        service: str,
        now_s: float,
        exclude: Collection[str] = (),
    ) -> Slot | None:
        """Return the first free slot."""
        for target in self.free:
            if target not in exclude:
                self.free.remove(target)
                number = next(self._numbers)
                return Slot(number, service, target, 1, target, now_s)
        return None

    def release(self, slot: Slot, ending: Ending, now_s: float) -> None:
        """Release a slot and record its ending."""
        self.free.append(slot.target_id)
        self.endings.append(ending)

    def is_served(self, service: str, now_s: float) -> bool:
        """Return True: there are always targets."""
        return True


class FakeTargetClient:
    """Client whose attempts end with a given outcome for each target."""

    def __init__(self, failures: dict[str, Outcome]) -> None:
        """Store the failures; all other targets respond."""
        self._failures = failures
        self.addresses: list[str] = []

    async def run(self, request: CallerRequest, address: str) -> TargetAnswer:
        """Respond, or fail with the target's outcome."""
        self.addresses.append(address)
        outcome = self._failures.get(address)
        if outcome is None:
            return _ANSWER
        raise AttemptFailedError(
            ResultCode.REQUEST_ANSWER_LOST,
            outcome,
            address,
        )


class TestDispatcher(testtools.TestCase):
    """Retries after failed attempts."""

    def test_other_target_after_not_run(self) -> None:
        """A request that did not run is sent to another target."""
        client = FakeTargetClient({'one': Outcome.NOT_RUN})
        dispatcher, metrics = _dispatcher(FakeRouter('one', 'two'), client)
        answer = asyncio.run(dispatcher.run(build_request('POST')))
        self.assertThat(answer, Is(_ANSWER))
        self.assertThat(client.addresses, Equals(['one', 'two']))
        self.assertThat(metrics.counted('retries', 'not_run'), Equals(1))

    def test_caller_disconnected(self) -> None:
        """A request whose caller disconnected releases its slot unused."""
        client = FakeTargetClient({})
        router = FakeRouter('one')
        dispatcher, _ = _dispatcher(router, client)
        running = dispatcher.run(build_request('POST'), lambda: True)
        refused = self.assertRaises(RequestRefusedError, asyncio.run, running)
        self.assertThat(refused.code, Equals(ResultCode.REQUEST_CALLER_GONE))
        self.assertThat(client.addresses, Equals([]))
        self.assertThat(router.endings, Equals([Ending.UNUSED]))

    def test_no_second_run_unless_idempotent(self) -> None:
        """A request that may have run is retried only if idempotent."""
        for method, addresses in (('POST', ['one']), ('GET', ['one', 'two'])):
            client = FakeTargetClient({'one': Outcome.UNKNOWN})
            router = FakeRouter('one', 'two')
            dispatcher, _ = _dispatcher(router, client)
            _run(dispatcher, build_request(method))
            self.assertThat(client.addresses, Equals(addresses))

    def test_unknown_outcome_is_kept(self) -> None:
        """A failed retry does not hide that an earlier attempt may have run."""
        client = FakeTargetClient(
            {'one': Outcome.UNKNOWN, 'two': Outcome.NOT_RUN},
        )
        dispatcher, metrics = _dispatcher(FakeRouter('one', 'two'), client)
        failed = _run(dispatcher, build_request('GET'))
        assert isinstance(failed, AttemptFailedError)
        self.assertThat(failed.outcome, Equals(Outcome.UNKNOWN))
        refusals = metrics.counted('retry_refusals', 'no_other_target')
        self.assertThat(refusals, Equals(1))


class TestSlotQueue(testtools.TestCase):
    """Waiting for a slot."""

    def test_released_slot_goes_to_waiting_request(self) -> None:
        """A waiting request gets a released slot before a later request."""
        asyncio.run(self._check_released_slot())

    def test_cancelled_waiter_loses_no_slot(self) -> None:
        """A slot that was assigned to a cancelled request is released."""
        asyncio.run(self._check_cancelled(is_cancelled_first=False))
        asyncio.run(self._check_cancelled(is_cancelled_first=True))

    def test_refuses_immediately(self) -> None:
        """A request whose deadline passed is refused without waiting."""
        queue = _queue(FakeRouter('one'))
        request = build_request('POST', due_s=time.monotonic() - 1)
        refused = self.assertRaises(
            RequestRefusedError,
            asyncio.run,
            queue.acquire(request),
        )
        code = ResultCode.REQUEST_DEADLINE_TOO_SHORT
        self.assertThat(refused.code, Equals(code))
        self.assertThat((refused.return_after_s or 0) > 0, Is(True))

    async def _check_released_slot(self) -> None:
        queue = _queue(FakeRouter('one'))
        first = await queue.acquire(build_request('POST'))
        waiting = asyncio.ensure_future(queue.acquire(build_request('POST')))
        await asyncio.sleep(0)
        self.assertThat(len(queue), Equals(1))
        queue.release(first, Ending.ANSWERED)
        self.assertThat(queue.try_acquire(time.monotonic()), Is(None))
        self.assertThat((await waiting).target_id, Equals('one'))

    async def _check_cancelled(self, *, is_cancelled_first: bool) -> None:
        router = FakeRouter('one')
        queue = _queue(router)
        first = await queue.acquire(build_request('POST'))
        waiting = asyncio.ensure_future(queue.acquire(build_request('POST')))
        await asyncio.sleep(0)
        if is_cancelled_first:
            waiting.cancel()
        queue.release(first, Ending.ANSWERED)
        waiting.cancel()
        await asyncio.wait((waiting,))
        self.assertThat(router.free, Equals(['one']))
        self.assertThat(router.endings[-1], Is(Ending.UNUSED))
        self.assertThat(len(queue), Equals(0))


def _queue(router: FakeRouter) -> SlotQueue:
    return SlotQueue('records', router, random.Random(1))


def _dispatcher(
    router: FakeRouter,
    client: FakeTargetClient,
) -> tuple[Dispatcher, Metrics]:
    metrics = Metrics()
    rng = random.Random(1)
    return Dispatcher(router, client, metrics, rng), metrics


def _run(
    dispatcher: Dispatcher,
    request: CallerRequest,
) -> TargetAnswer | AttemptFailedError:
    try:
        return asyncio.run(dispatcher.run(request))
    except AttemptFailedError as failed:
        return failed
