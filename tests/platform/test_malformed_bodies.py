"""Test each decoder with malformed bodies, as other programs may send them.

Guards against decoders that fail with an unexpected exception, or that use a
worker or VM of a malformed part, on bodies in which a part is missing, has
another type, has unknown names or can't be parsed.  A malformed entry of a list
must not invalidate the valid ones.
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
    JOB_ID,
    Body,
    advice_response,
    heartbeat,
    manifest_text,
    submitted_job,
    vm_entry,
    vm_page,
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
_UNEXPECTED_VALUES: tuple[object, ...] = (
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


def _decode_heartbeat(body: bytes) -> object:
    return decode_heartbeat('i-1', body)


def _decode_vm_page(body: bytes) -> object:
    return _machines.decode_page(200, body)


def _decode_advice(body: bytes) -> object:
    return _advisor.decode_advice(200, body)


@dataclasses.dataclass(frozen=True)
class _DecoderCase:
    """A decoder, a valid body, and the error that it raises for others."""

    decode: Decode
    valid: Body
    expected_error: type[Exception]

    def survives(self, body: bytes) -> None:
        """Decode a body; only the expected error may be raised."""
        try:
            decoded = self.decode(body)
        except self.expected_error:
            return
        # Accepted bodies are forwarded, so they must be encodable.
        msgspec.msgpack.encode(decoded)


# Decoders of data from other programs.  The names used by the derandomized
# test below stay as they are: its draws depend on its source.
_BORDERS = (
    _DecoderCase(_decode_heartbeat, heartbeat(), RequestRefusedError),
    _DecoderCase(_decode_vm_page, vm_page(), UnreadableBodyError),
    _DecoderCase(_decode_advice, advice_response(), UnreadableBodyError),
    _DecoderCase(decode_job, submitted_job(), RequestRefusedError),
    _DecoderCase(decode_manifest, manifest_text(), FleetTextError),
    _DecoderCase(decode_wave, wave(), FleetTextError),
)


def _mutated(part: object, rng: random.Random) -> object:
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
    return rng.choice(_UNEXPECTED_VALUES)


def _replaced(part: object, rng: random.Random) -> object:
    return (
        _mutated(part, rng)
        if rng.randrange(10) < 6
        else rng.choice(_UNEXPECTED_VALUES)
    )


def _encode(body: object, rng: random.Random) -> bytes:
    encoded = json.dumps(body).encode()
    if not rng.randrange(5):
        position = rng.randrange(len(encoded))
        return encoded[:position] + rng.randbytes(3) + encoded[position:]
    return encoded


class TestAnyBytes(testtools.TestCase):
    """No body makes a decoder raise an exception that callers don't expect."""

    def test_mutated_bodies_are_refused_or_read(self) -> None:
        """Parts are missing, have other types, or can't be parsed."""
        rng = random.Random(_SEED)
        for _ in range(_MUTATIONS):
            for border in _BORDERS:
                border.survives(_encode(_mutated(border.valid, rng), rng))

    @hypothesis.settings(deadline=None, derandomize=True, database=None)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_are_refused_or_read(self, body: bytes) -> None:
        """Whatever arrives."""
        for border in _BORDERS:
            border.survives(body)

    def test_deep_nesting_is_refused(self) -> None:
        """A body of opening brackets only does not exhaust the stack."""
        body = b'[' * 100_000
        for border in _BORDERS:
            border.survives(body)


class TestMalformedHeartbeats(testtools.TestCase):
    """A heartbeat with any malformed part is refused as a whole."""

    def _refused(self, **changes: object) -> None:
        body = json.dumps({**heartbeat(), **changes}).encode()
        self.assertRaises(RequestRefusedError, _decode_heartbeat, body)

    def test_valid_heartbeat_is_accepted(self) -> None:
        """The unchanged body that the other tests modify."""
        _decode_heartbeat(json.dumps(heartbeat()).encode())

    def test_unknown_state_is_refused(self) -> None:
        """Only workers in a known state are given tasks."""
        self._refused(state='resting')
        self._refused(state=None)

    def test_missing_field_is_refused(self) -> None:
        """Another writer's heartbeat must not get work or withdraw runs.

        Every worker sends all of these fields.
        """
        for name in heartbeat():
            body = {
                field: content
                for field, content in heartbeat().items()
                if field != name
            }
            encoded = json.dumps(body).encode()
            self.assertRaises(RequestRefusedError, _decode_heartbeat, encoded)

    def test_missing_amount_is_refused(self) -> None:
        """A worker without processors would lose the runs it is to start."""
        complete = heartbeat()['capacity']
        assert isinstance(complete, dict)
        for name in complete:
            self._refused(
                capacity={
                    unit: amount
                    for unit, amount in complete.items()
                    if unit != name
                }
            )

    def test_empty_name_is_refused(self) -> None:
        """It identifies no VM, service, zone or address."""
        for name in ('machine', 'service', 'zone', 'address'):
            self._refused(**{name: ''})

    def test_labels_without_a_rack_are_refused(self) -> None:
        """A worker sends its kind and its rack."""
        self._refused(labels=['kind'])

    def test_rows_of_other_types_are_refused(self) -> None:
        """One malformed row makes the whole heartbeat unreliable."""
        rows = (
            [7, 1, '', 0],
            [None, 1, '', 0],
            [f'{JOB_ID}.0.0.0', None, '', 0],
            [f'{JOB_ID}.0.0.0', 1],
            [f'{JOB_ID}.0.0.\u0661', 1, '', 0],
            'row',
        )
        for row in rows:
            self._refused(running=[row])
        self._refused(finished=[[1, f'{JOB_ID}.0.0.0', 1, 'exploded', '']])
        self._refused(finished=[[1, f'{JOB_ID}.0.0.0', 1, ['done'], '']])

    def test_negative_capacity_is_refused(self) -> None:
        """The worker would seem to exceed its capacity."""
        self._refused(capacity={'cpu': -1, 'memMb': 1})


class TestMalformedEntries(testtools.TestCase):
    """A malformed entry of a list does not invalidate the others."""

    def test_valid_vms_are_kept(self) -> None:
        """Each entry is decoded independently."""
        body = {
            'machines': [{'machine': 7}, vm_entry(), 'text', {'pool': 's'}],
            'nextToken': 'more',
        }
        page = _machines.decode_page(200, json.dumps(body).encode())
        self.assertThat([vm.vm for vm in page.vms], matchers.Equals(['m-1']))
        self.assertThat(page.unreadable, matchers.Equals(3))
        self.assertThat(page.next_token, matchers.Equals('more'))

    def test_vm_of_unknown_state_is_not_used(self) -> None:
        """A VM in an unknown state counts as down."""
        body = {'machines': [{**vm_entry(), 'state': 'resting'}]}
        page = _machines.decode_page(200, json.dumps(body).encode())
        self.assertThat(page.vms[0].phase, matchers.Is(VmPhase.DOWN))

    def test_valid_tickets_are_kept(self) -> None:
        """Each row is decoded independently."""
        body = {
            'allowedWorkers': [['i-1'], ['i-2', 'ticket'], 3, [None, '']],
            'validityMs': 3000,
        }
        decoded = _advisor.decode_advice(200, json.dumps(body).encode())
        self.assertThat(
            dict(decoded.tickets), matchers.Equals({'i-2': 'ticket'})
        )
