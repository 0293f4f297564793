"""State machine of entries, request copies and crashes for key tables."""

from __future__ import annotations

import collections
import dataclasses

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._attempt import TargetAnswer
from wigeonreach.entry._keys import Key, KeyCodec
from wigeonreach.entry._keys_routing import Forward, Here, place_of
from wigeonreach.entry._keys_table import KeyLimits, KeyTable, Step
from wigeonreach.entry._results import KeyResult
from wigeonreach.exceptions import RequestRefusedError

_ENTRIES = ('a0', 'b0')
# Few requests, so that many events concern the same one.
_MAX_WORKS = 5
_LIMITS = KeyLimits(lifetime_s=30, max_keys=2, max_answer_bytes=600)
_PICK = st.integers(min_value=0, max_value=1000)
_SERVICE = 'billing'


class ForgetfulTable(KeyTable):
    """Faulty table that lets a refused key be used again.

    Many services implement idempotency keys this way.
    """

    def finish(self, number: int, result: KeyResult, now_s: float) -> None:
        """Discard the record of a refused request immediately."""
        super().finish(number, result, now_s)
        if result.outcome is Outcome.NOT_RUN:
            self._records.pop(number, None)


@dataclasses.dataclass(frozen=True, slots=True)
class _Copy:
    """One copy of a request on its way to an entry."""

    entry: str
    text: str
    work: int
    is_forwarded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    """A request that an entry gave to a target."""

    entry: str
    number: int
    work: int


class KeyWorld(RuleBasedStateMachine):
    """Several entries, and callers that send copies through any of them."""

    table_type = KeyTable

    def __init__(self) -> None:
        """Start every entry."""
        super().__init__()
        self.now_s = 0.0
        self.codecs: dict[str, KeyCodec] = {}
        self.tables: dict[str, KeyTable] = {}
        self.keys: list[str] = []
        self.copies: list[_Copy] = []
        self.running: list[_Run] = []
        self.ran: collections.Counter[int] = collections.Counter()
        self.denied: set[int] = set()
        for entry in _ENTRIES:
            self._start(entry)
            self.issue(entry)

    @precondition(lambda world: len(world.keys) < _MAX_WORKS)
    @rule(entry=st.sampled_from(_ENTRIES))
    def issue(self, entry: str) -> None:
        """Get a key for one more piece of work."""
        try:
            key = self.tables[entry].issue(_SERVICE, self.now_s)
        except RequestRefusedError:
            return
        self.keys.append(self.codecs[entry].seal(key))

    @precondition(lambda world: world.keys)
    @rule(
        pick=_PICK,
        entries=st.lists(st.sampled_from(_ENTRIES), min_size=1, max_size=4),
    )
    def send(self, pick: int, entries: list[str]) -> None:
        """Send copies of a request through any entries; some may get lost."""
        work = pick % len(self.keys)
        self.copies.extend(
            _Copy(entry, self.keys[work], work) for entry in entries
        )

    @precondition(lambda world: world.copies)
    @rule(picks=st.lists(_PICK, min_size=1, max_size=4))
    def deliver(self, picks: list[int]) -> None:
        """Let any copies arrive, however old they are."""
        for pick in picks:
            if self.copies:
                self._deliver(self.copies.pop(pick % len(self.copies)))

    @precondition(lambda world: world.running)
    @rule(pick=_PICK, outcome=st.sampled_from(Outcome))
    def finish(self, pick: int, outcome: Outcome) -> None:
        """Let a target end, or its answer be lost or refused."""
        run = self.running.pop(pick % len(self.running))
        answer = None
        if outcome is Outcome.RAN:
            answer = TargetAnswer(200, None, str(run.work).encode())
        code = ResultCode.OK if answer else ResultCode.REQUEST_ANSWER_LOST
        if outcome is Outcome.NOT_RUN:
            self.denied.add(run.work)
        else:
            self.ran[run.work] += 1
        self.tables[run.entry].finish(
            run.number,
            KeyResult(outcome, code, answer=answer),
            self.now_s,
        )

    @precondition(lambda world: world.running)
    @rule(entry=st.sampled_from(_ENTRIES))
    def crash(self, entry: str) -> None:
        """Kill an entry and start it anew; what it gave to targets runs."""
        ended = [run for run in self.running if run.entry == entry]
        self.ran.update(run.work for run in ended)
        self.running = [run for run in self.running if run.entry != entry]
        self._start(entry)

    @rule(elapsed_s=st.sampled_from((0.5, 2.0, 6.0)))
    def tick(self, elapsed_s: float) -> None:
        """Let time pass, also past the end of keys."""
        self.now_s += elapsed_s

    @invariant()
    def at_most_once(self) -> None:
        """No work is given out while it runs or after it may have run."""
        running = collections.Counter(run.work for run in self.running)
        for work, runs in (self.ran + running).items():
            assert runs <= 1, f'{work} ran {runs} times'
            assert work not in self.denied, f'{work} ran after "not run"'

    @invariant()
    def bounded(self) -> None:
        """No table outgrows its bounds, but for what still runs."""
        for entry, table in self.tables.items():
            running = sum(run.entry == entry for run in self.running)
            assert table.remembered <= _LIMITS.max_keys + running
            assert table.answer_bytes <= _LIMITS.max_answer_bytes

    def _start(self, entry: str) -> None:
        codec = KeyCodec()
        self.codecs[entry] = codec
        self.tables[entry] = self.table_type(
            entry[0],
            entry,
            codec.incarnation,
            _LIMITS,
            self.now_s,
        )

    def _deliver(self, copy: _Copy) -> None:
        key = self.codecs[copy.entry].read(copy.text)
        place = place_of(
            key,
            _SERVICE,
            copy.entry,
            self.codecs[copy.entry].incarnation,
        )
        if isinstance(place, Here):
            self._begin(copy, key)
        elif isinstance(place, Forward) and not copy.is_forwarded:
            self.copies.append(
                _Copy(place.owner, copy.text, copy.work, is_forwarded=True),
            )

    def _begin(self, copy: _Copy, key: Key) -> None:
        decision = self.tables[copy.entry].begin(key, copy.work, self.now_s)
        if decision is Step.RUN:
            self.running.append(_Run(copy.entry, key.number, copy.work))
        elif isinstance(decision, KeyResult):
            self._check(copy.work, decision)

    def _check(self, work: int, result: KeyResult) -> None:
        if result.outcome is Outcome.RAN:
            assert self.ran[work] == 1, f'{work} never ran'
        if result.answer is not None:
            assert result.answer.body == str(work).encode()
