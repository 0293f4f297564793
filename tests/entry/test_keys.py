"""Test that a request runs at most once under its key."""

from __future__ import annotations

import string

import testtools
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.entry.key_state_machine import ForgetfulTable, KeyWorld
from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._attempt import TargetAnswer
from wigeonreach.entry._keys import KeyCodec
from wigeonreach.entry._keys_routing import OWNER_RESTARTED, Forward, place_of
from wigeonreach.entry._keys_table import (
    EXPIRED,
    KeyLimits,
    KeyTable,
    Step,
)
from wigeonreach.entry._results import FORGOTTEN, KeyResult
from wigeonreach.exceptions import RequestRefusedError

_LIFETIME_S = 60.0
_STEPS = 30
_MACHINE_SETTINGS = settings(
    max_examples=150,
    stateful_step_count=_STEPS,
    # A failing sequence is reported without shrinking, which takes minutes.
    phases=(Phase.generate,),
    deadline=None,
    database=None,
    derandomize=True,
)


def _table(max_keys: int = 4, max_answer_bytes: int = 1000) -> KeyTable:
    limits = KeyLimits(_LIFETIME_S, max_keys, max_answer_bytes)
    return KeyTable('a', 'entry-a0', 'i1', limits, 0)


def _ran(body: bytes) -> KeyResult:
    answer = TargetAnswer(200, None, body)
    return KeyResult(Outcome.RAN, ResultCode.OK, answer=answer)


def _explore(world: type[KeyWorld], bounds: settings) -> None:
    # Short sequences end before any messages are reordered.
    run_state_machine_as_test(world, settings=bounds, _min_steps=_STEPS)


class TestKeyCodec(testtools.TestCase):
    """A key that no entry issued is rejected."""

    def test_altered(self) -> None:
        """Every change of a single character is detected."""
        codec = KeyCodec()
        text = codec.seal(_table().issue('billing', 0))
        self.assertEqual('billing', codec.read(text).service)
        for place, old in enumerate(text):
            new = next(one for one in string.ascii_letters if one != old)
            altered = f'{text[:place]}{new}{text[place + 1 :]}'
            self.assertRaises(RequestRefusedError, codec.read, altered)

    def test_forged(self) -> None:
        """A key made with another incarnation's secret is rejected."""
        owner, forger = KeyCodec(), KeyCodec()
        limits = KeyLimits(_LIFETIME_S, 1, 1)
        table = KeyTable('a', 'entry-a0', owner.incarnation, limits, 0)
        forged = forger.seal(table.issue('billing', 0))
        error = self.assertRaises(RequestRefusedError, owner.read, forged)
        self.assertEqual(ResultCode.REQUEST_KEY_INVALID, error.code)
        for text in ('', 'my-own-key', '\N{SNOWMAN}', 'A' * 9000):
            self.assertRaises(RequestRefusedError, owner.read, text)


class TestRouting(testtools.TestCase):
    """Only the incarnation that issued a key handles its request."""

    def test_other_entry(self) -> None:
        """Other entries forward; a later incarnation reports a restart."""
        key = _table().issue('billing', 0)
        self.assertEqual(
            Forward('entry-a0'),
            place_of(key, 'billing', 'entry-b0', 'i7'),
        )
        self.assertEqual(
            OWNER_RESTARTED, place_of(key, 'billing', 'entry-a0', 'i2')
        )

    def test_other_service(self) -> None:
        """A key is not valid for another service."""
        key = _table().issue('billing', 0)
        error = self.assertRaises(
            RequestRefusedError,
            place_of,
            key,
            'records',
            'entry-a0',
            'i1',
        )
        self.assertEqual(ResultCode.REQUEST_KEY_MISMATCH, error.code)


class TestKeyTable(testtools.TestCase):
    """A key runs one request once, and memory use is bounded."""

    def test_repeated_request(self) -> None:
        """A copy waits while the first request runs, then gets its result."""
        table = _table()
        key = table.issue('billing', 0)
        self.assertIs(Step.RUN, table.begin(key, 7, 1))
        self.assertIs(Step.WAIT, table.begin(key, 7, 2))
        table.finish(key.number, _ran(b'paid'), 3)
        self.assertEqual(_ran(b'paid'), table.begin(key, 7, 4))

    def test_other_request(self) -> None:
        """The same key with a different request is refused."""
        table = _table()
        key = table.issue('billing', 0)
        table.begin(key, 7, 1)
        error = self.assertRaises(RequestRefusedError, table.begin, key, 8, 2)
        self.assertEqual(ResultCode.REQUEST_KEY_MISMATCH, error.code)

    def test_refusal_is_final(self) -> None:
        """A "not run" result holds for all later copies of the request."""
        table = _table()
        key = table.issue('billing', 0)
        table.begin(key, 7, 1)
        refused = KeyResult(Outcome.NOT_RUN, ResultCode.REQUEST_QUEUE_FULL)
        table.finish(key.number, refused, 2)
        self.assertEqual(refused, table.begin(key, 7, 3))

    def test_answer_forgotten(self) -> None:
        """A request whose response was evicted is still known to have run."""
        table = _table(max_answer_bytes=600)
        keys = [table.issue('billing', 0) for _ in range(3)]
        for key in keys:
            table.begin(key, 7, 1)
            table.finish(key.number, _ran(bytes(40)), 1)
        self.assertEqual(FORGOTTEN, table.begin(keys[0], 7, 2))
        self.assertEqual(_ran(bytes(40)), table.begin(keys[2], 7, 2))
        self.assertEqual(592, table.answer_bytes)

    def test_expired(self) -> None:
        """An expired key never runs, and its memory is released."""
        table = _table(max_keys=2)
        used, slow = table.issue('billing', 0), table.issue('billing', 0)
        table.begin(used, 7, 1)
        table.finish(used.number, _ran(b'paid'), 1)
        table.begin(slow, 7, 1)
        self.assertEqual(EXPIRED, table.begin(used, 7, _LIFETIME_S))
        self.assertIs(Step.WAIT, table.begin(slow, 7, _LIFETIME_S))
        table.finish(slow.number, _ran(b'late'), _LIFETIME_S)
        self.assertEqual((0, 0), (table.remembered, table.answer_bytes))

    def test_limit(self) -> None:
        """No more keys are issued than the limit allows."""
        table = _table(max_keys=2)
        table.issue('billing', 0)
        table.issue('billing', 1)
        error = self.assertRaises(
            RequestRefusedError,
            table.issue,
            'billing',
            2,
        )
        self.assertEqual(ResultCode.REQUEST_KEY_LIMIT, error.code)
        self.assertEqual(2, table.issue('billing', _LIFETIME_S).number)


class TestKeyStateMachine(testtools.TestCase):
    """Copies, crashes, lost messages and expiry never run a key twice."""

    def test_at_most_once(self) -> None:
        """No sequence of events runs the request of a key twice."""
        _explore(KeyWorld, _MACHINE_SETTINGS)

    def test_detects_injected_fault(self) -> None:
        """A table that lets a refused key run again is detected."""

        class Planted(KeyWorld):  # noqa: WPS431 - hypothesis wants a class
            table_type = ForgetfulTable

        self.assertRaises(
            AssertionError,
            _explore,
            Planted,
            # The run stops at the first violating sequence.
            settings(_MACHINE_SETTINGS, max_examples=1000),
        )
