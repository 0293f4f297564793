"""Simulate routing policies with discrete events, deterministically.

The routers are the real ones; targets, callers and the delay between entries
are simple models.  Nothing runs in real time, so figures don't depend on the
load of the machine.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from typing import Protocol, TypeAlias

from wigeonreach.codes import Outcome
from wigeonreach.entry._retry import (
    FailedAttempt,
    Retry,
    RetryBudget,
    decide_retry,
)
from wigeonreach.entry._slots import Ending

SLOTS = 8
SERVICE_S = 0.02
_TICK_S = 0.05
_RETRY_RATIO = 0.1
_FAIL_FAST_S = 0.001
# Runs longer than this are rare enough that abandoned requests, whose slots
# stay occupied, do not distort the figures.
_MIN_TIME_LEFT_S = 8 * SERVICE_S
_Event: TypeAlias = tuple[float, int, Callable[[], None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """The slot of one attempt at a target, with data of the policy."""

    target: int
    policy_data: object = None


class Policy(Protocol):
    """How entries share targets."""

    def acquire(self, entry: int, now_s: float) -> Hold | None:
        """Choose a target for an attempt of an entry, or None."""

    def release(
        self,
        entry: int,
        hold: Hold,
        ending: Ending,
        now_s: float,
    ) -> None:
        """Release the slot of an attempt that ended."""

    def tick(self, clock: Clock) -> None:
        """Run periodic work."""


class Clock:
    """A simulated clock with a queue of scheduled actions."""

    def __init__(self) -> None:
        """Start at 0."""
        self.now_s = 0.0
        self._numbers = itertools.count()
        self._due: list[_Event] = []

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay, in seconds."""
        event = (self.now_s + delay_s, next(self._numbers), action)
        heapq.heappush(self._due, event)

    def run(self, length_s: float) -> None:
        """Run all actions that are due until ``length_s``, in seconds."""
        while self._due and self._due[0][0] <= length_s:
            due_s, _, action = heapq.heappop(self._due)
            self.now_s = due_s
            action()


@dataclasses.dataclass(frozen=True, slots=True)
class TargetModel:
    """Mean service time of a target and whether its requests fail."""

    service_s: float = SERVICE_S
    fails: bool = False


@dataclasses.dataclass(slots=True)
class Request:
    """One caller's request."""

    entry: int
    due_s: float
    attempts: int = 0


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of requests and attempts."""

    sent: int = 0
    answered: int = 0
    attempts: int = 0
    max_running: int = 0

    @property
    def attempts_per_request(self) -> float:
        """Attempts for each request that got as far as one."""
        return self.attempts / self.sent

    @property
    def answered_ratio(self) -> float:
        """Share of the requests that were answered well and in time."""
        return self.answered / self.sent


_Waiting: TypeAlias = collections.deque[Request]


class Fleet:
    """Entries, targets and callers on one clock.

    Parameters
    ----------
    targets
        The targets.
    policy
        How entries share them.
    deadline_s
        How long a caller waits, in seconds.
    is_unbounded
        Whether failures are retried until the deadline, without a budget.
    """

    def __init__(
        self,
        targets: Sequence[TargetModel],
        policy: Policy,
        deadline_s: float,
        *,
        is_unbounded: bool = False,
    ) -> None:
        """Start with nothing in flight."""
        self._targets = targets
        self._policy = policy
        self._deadline_s = deadline_s
        self._is_unbounded = is_unbounded
        self._clock = Clock()
        self._rng = random.Random(7)  # noqa: S311
        self._budget = RetryBudget()
        self._running = [0 for _ in targets]
        self._waiting: dict[int, _Waiting] = {}
        self.tally = Tally()

    def run(
        self,
        rate_per_s: float,
        entries: Sequence[int],
        length_s: float,
    ) -> Tally:
        """Send requests at random times and return their counts.

        Parameters
        ----------
        rate_per_s
            Requests a second, whether or not answers come.
        entries
            The entries that callers use, evenly.
        length_s
            How long to send, in seconds.
        """
        self._arrive(rate_per_s, itertools.cycle(entries))
        self._tick()
        self._clock.run(length_s)
        return self.tally

    def _arrive(self, rate_per_s: float, entries: itertools.cycle[int]) -> None:
        self.tally.sent += 1
        self._budget.on_first_attempt(_RETRY_RATIO)
        request = Request(
            next(entries),
            self._clock.now_s + self._deadline_s,
        )
        waiting = self._waiting.setdefault(request.entry, collections.deque())
        waiting.append(request)
        self._dispatch(request.entry)
        self._clock.after(
            self._rng.expovariate(rate_per_s),
            lambda: self._arrive(rate_per_s, entries),
        )

    def _tick(self) -> None:
        self._policy.tick(self._clock)
        for entry in list(self._waiting):
            self._dispatch(entry)
        self._clock.after(_TICK_S, self._tick)

    def _dispatch(self, entry: int) -> None:
        waiting = self._waiting[entry]
        while waiting:
            # Like the entries, refuse requests that would not end in time.
            if waiting[0].due_s - self._clock.now_s < _MIN_TIME_LEFT_S:
                waiting.popleft()
                continue
            hold = self._policy.acquire(entry, self._clock.now_s)
            if hold is None:
                return
            self._start_attempt(waiting.popleft(), hold)

    def _start_attempt(self, request: Request, hold: Hold) -> None:
        request.attempts += 1
        self.tally.attempts += 1
        model = self._targets[hold.target]
        runs_s = self._rng.expovariate(1 / model.service_s)
        ending = Ending.ANSWERED
        if model.fails:
            runs_s = _FAIL_FAST_S
            ending = Ending.FAILED
        left_s = request.due_s - self._clock.now_s
        if runs_s > left_s:
            ending = Ending.GIVEN_UP
        self._running[hold.target] += 1
        self.tally.max_running = max(
            self.tally.max_running,
            self._running[hold.target],
        )
        self._clock.after(runs_s, lambda: self._leave_target(hold))
        self._clock.after(
            min(runs_s, left_s),
            lambda: self._finish_attempt(request, hold, ending),
        )

    def _leave_target(self, hold: Hold) -> None:
        self._running[hold.target] -= 1

    def _finish_attempt(
        self, request: Request, hold: Hold, ending: Ending
    ) -> None:
        now_s = self._clock.now_s
        self._policy.release(request.entry, hold, ending, now_s)
        if ending is Ending.ANSWERED:
            self.tally.answered += 1
        elif self._may_retry(request):
            self._waiting[request.entry].appendleft(request)
        self._dispatch(request.entry)

    def _may_retry(self, request: Request) -> bool:
        left_s = request.due_s - self._clock.now_s
        if self._is_unbounded:
            return left_s > 0
        failed = FailedAttempt(
            Outcome.UNKNOWN,
            is_idempotent=True,
            left_s=left_s,
            mean_s=SERVICE_S,
        )
        if not isinstance(decide_retry(failed, self._budget), Retry):
            return False
        self._budget.take()
        return True
