"""Test bodies that another writer may have made, at each decoder.

Answers lists and heartbeats of which a part is missing, of another type, has
names that nobody gave, or can't be read at all: such a part names no worker or
VM to use, and the sound part beside it holds.
"""

from __future__ import annotations

import dataclasses
import json
import random
from collections.abc import Callable

import hypothesis
import msgspec
import testtools
from hypothesis import strategies
from testtools import matchers

from tests.builders_platform import (
    JOB,
    Body,
    advice,
    heartbeat,
    manifest_text,
    submitted,
    vm_entry,
    vm_list,
    wave,
)
from wigeonreach.exceptions import FleetTextError, RequestRefusedError
from wigeonreach.platform import _advisor, _machines
from wigeonreach.platform._bodies import UnreadableBodyError
from wigeonreach.platform._jobs import decode_job
from wigeonreach.platform._manifest import decode_manifest, decode_wave
from wigeonreach.platform._workers import decode_heartbeat
from wigeonreach.scheduling._vms import VmPhase

_SEED = 20_261
_MUTATIONS = 3000
_STRANGE: tuple[object, ...] = (
    None,
    True,
    -1,
    0,
    1.5,
    10**30,
    '',
    'nobody-named-this',
    '\ud800',
    [],
    {},
    [None],
    [[]],
    {'x': 1},
)

Decode = Callable[[bytes], object]


def _heartbeat(body: bytes) -> object:
    return decode_heartbeat('i-1', body)


def _page(body: bytes) -> object:
    return _machines.decode_page(200, body)


def _advice(body: bytes) -> object:
    return _advisor.decode_advice(200, body)


@dataclasses.dataclass(frozen=True)
class _Border:
    """A decoder, a body that it reads, and how it refuses others."""

    decode: Decode
    sound: Body
    refusal: type[Exception]

    def survives(self, body: bytes) -> None:
        """Decode a body; only a refusal may come out instead of a result."""
        try:
            decoded = self.decode(body)
        except self.refusal:
            return
        # What is accepted goes on to other processes.
        msgspec.msgpack.encode(decoded)


_BORDERS = (
    _Border(_heartbeat, heartbeat(), RequestRefusedError),
    _Border(_page, vm_list(), UnreadableBodyError),
    _Border(_advice, advice(), UnreadableBodyError),
    _Border(decode_job, submitted(), RequestRefusedError),
    _Border(decode_manifest, manifest_text(), FleetTextError),
    _Border(decode_wave, wave(), FleetTextError),
)


def _mutate(part: object, rng: random.Random) -> object:
    """Return a body with one part dropped, replaced or mutated."""
    if isinstance(part, dict) and part:
        name = rng.choice(sorted(part))
        changed = dict(part)
        changed.pop(name)
        if rng.randrange(10) < 7:
            changed[name] = _replaced(part[name], rng)
        return changed
    if isinstance(part, list) and part:
        index = rng.randrange(len(part))
        return [
            _replaced(entry, rng) if number == index else entry
            for number, entry in enumerate(part)
        ]
    return rng.choice(_STRANGE)


def _replaced(part: object, rng: random.Random) -> object:
    return _mutate(part, rng) if rng.randrange(10) < 6 else rng.choice(_STRANGE)


def _encode(body: object, rng: random.Random) -> bytes:
    encoded = json.dumps(body).encode()
    if not rng.randrange(5):
        position = rng.randrange(len(encoded))
        return encoded[:position] + rng.randbytes(3) + encoded[position:]
    return encoded


class TestAnyBytes(testtools.TestCase):
    """No body makes a decoder fail in a way that its caller does not expect."""

    def test_mutated_bodies_are_refused_or_read(self) -> None:
        """Parts are missing, of other types, or not to be read."""
        rng = random.Random(_SEED)
        for _ in range(_MUTATIONS):
            for border in _BORDERS:
                border.survives(_encode(_mutate(border.sound, rng), rng))

    @hypothesis.settings(deadline=None, derandomize=True, database=None)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_are_refused_or_read(self, body: bytes) -> None:
        """Whatever arrives."""
        for border in _BORDERS:
            border.survives(body)

    def test_deep_nesting_is_refused(self) -> None:
        """A body of brackets only does not exhaust the stack."""
        body = b'[' * 100_000
        for border in _BORDERS:
            border.survives(body)


class TestForeignHeartbeats(testtools.TestCase):
    """A heartbeat that is not understood in full names no worker to use."""

    def _refused(self, **changes: object) -> None:
        body = json.dumps({**heartbeat(), **changes}).encode()
        self.assertRaises(RequestRefusedError, _heartbeat, body)

    def test_sound_one_is_read(self) -> None:
        """The one from which the others are made."""
        _heartbeat(json.dumps(heartbeat()).encode())

    def test_unknown_state_is_refused(self) -> None:
        """Only what is known to take work is given work."""
        self._refused(state='resting')
        self._refused(state=None)

    def test_missing_part_is_refused(self) -> None:
        """What decides where work goes has to be told."""
        for name in ('state', 'capacity', 'labels', 'sequence', 'service'):
            body = {
                part: told for part, told in heartbeat().items() if part != name
            }
            encoded = json.dumps(body).encode()
            self.assertRaises(RequestRefusedError, _heartbeat, encoded)

    def test_rows_of_other_types_are_refused(self) -> None:
        """A row that can't be read says nothing for sure."""
        rows = (
            [7, 1, '', 0],
            [None, 1, '', 0],
            [f'{JOB}.0.0.0', None, '', 0],
            [f'{JOB}.0.0.0', 1],
            [f'{JOB}.0.0.\u0661', 1, '', 0],
            'row',
        )
        for row in rows:
            self._refused(running=[row])
        self._refused(finished=[[1, f'{JOB}.0.0.0', 1, 'exploded', '']])
        self._refused(finished=[[1, f'{JOB}.0.0.0', 1, ['done'], '']])

    def test_capacity_below_nothing_is_refused(self) -> None:
        """It would be taken for a worker that is over its room."""
        self._refused(capacity={'cpu': -1, 'memMb': 1})


class TestForeignEntries(testtools.TestCase):
    """One bad entry of a list does not void the others."""

    def test_sound_vms_are_kept(self) -> None:
        """Each entry is read by itself."""
        body = {
            'machines': [{'machine': 7}, vm_entry(), 'text', {'pool': 's'}],
            'nextToken': 'more',
        }
        page = _machines.decode_page(200, json.dumps(body).encode())
        self.assertThat([vm.vm for vm in page.vms], matchers.Equals(['m-1']))
        self.assertThat(page.unreadable, matchers.Equals(3))
        self.assertThat(page.next_token, matchers.Equals('more'))

    def test_unknown_state_is_no_vm_to_use(self) -> None:
        """A VM counts as down while it does what nobody named."""
        body = {'machines': [{**vm_entry(), 'state': 'resting'}]}
        page = _machines.decode_page(200, json.dumps(body).encode())
        self.assertThat(page.vms[0].phase, matchers.Is(VmPhase.DOWN))

    def test_sound_tickets_are_kept(self) -> None:
        """Each row is read by itself."""
        body = {
            'allowedWorkers': [['i-1'], ['i-2', 'ticket'], 3, [None, '']],
            'validityMs': 3000,
        }
        told = _advisor.decode_advice(200, json.dumps(body).encode())
        self.assertThat(dict(told.tickets), matchers.Equals({'i-2': 'ticket'}))
