"""Test that requests are forwarded to the owner of their key."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any, TypeAlias, cast

import msgspec
import testtools
from multidict import istr

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._attempt import TargetAnswer
from wigeonreach.entry._config import ConfigFollower
from wigeonreach.entry._dispatch import Dispatcher
from wigeonreach.entry._keys_forward import KeyedRequests
from wigeonreach.entry._keys_owner import KeyOwner
from wigeonreach.entry._lifecycle import Lifecycle
from wigeonreach.entry._peers import PeerExchange
from wigeonreach.entry._request import CallerRequest
from wigeonreach.entry._settings import EntrySettings
from wigeonreach.observe import Metrics
from wigeonreach.text import FleetText, parse_fleet_text
from wigeonreach.wire import Address, Message
from wigeonreach.wire._base import WireMessage
from wigeonreach.wire._peer_messages import PeerHello

_TEXT = '[fleet]\nname = "f"\n[services.billing]\n[services.records]\n'
_Ending: TypeAlias = tuple[Outcome, ResultCode]
_DECODER = msgspec.msgpack.Decoder(Message)


class _Config:
    """Fake holder of the active configuration."""

    def __init__(self, text: FleetText) -> None:
        self.text = text


class _Peers:
    """Fake peer exchange that encodes and decodes each message."""

    def __init__(self, name: str, all_peers: dict[str, _Peers]) -> None:
        self._hello = PeerHello(name, 'a', 1)
        self._all_peers = all_peers
        self.handlers: dict[type, Callable[[PeerHello, Any], None]] = {}
        all_peers[name] = self

    def handle(
        self,
        message_type: type,
        handler: Callable[[PeerHello, Any], None],
    ) -> None:
        self.handlers[message_type] = handler

    def on_peer_restart(self, _listener: Callable[[str], None]) -> None:
        """Ignore the listener, since no peer restarts in these tests."""

    def post(self, name: str, message: WireMessage) -> bool:
        arrived = _DECODER.decode(msgspec.msgpack.encode(message))
        handler = self._all_peers[name].handlers[type(arrived)]
        asyncio.get_running_loop().call_soon(handler, self._hello, arrived)
        return True


class _Dispatcher:
    """Fake dispatcher that records the requests it was given."""

    def __init__(self) -> None:
        self.ran: list[bytes] = []

    async def run(self, request: CallerRequest) -> TargetAnswer:
        self.ran.append(request.body)
        await asyncio.sleep(0)
        return TargetAnswer(200, 'text/plain', b'done %b' % request.body)


class _Entry:
    """The components of an entry that handle keys."""

    def __init__(self, name: str, all_peers: dict[str, _Peers]) -> None:
        address = Address('127.0.0.1', 1)
        settings = EntrySettings(name, 'a', address, address, (), (), 1, 1)
        text = parse_fleet_text(_TEXT)
        self.dispatcher = _Dispatcher()
        self.owner = KeyOwner(
            settings,
            cast(Dispatcher, self.dispatcher),
            Metrics(),
        )
        self.requests = KeyedRequests(
            name,
            self.owner,
            cast(PeerExchange, _Peers(name, all_peers)),
            cast(ConfigFollower, _Config(text)),
            Lifecycle(),
            Metrics(),
        )


def _request(key: str, body: bytes, service: str = 'billing') -> CallerRequest:
    return CallerRequest(
        service=parse_fleet_text(_TEXT).services[service],
        method='POST',
        path='/work',
        headers={istr('X-Trace'): 'one'},
        body=body,
        team='',
        is_urgent=False,
        key=key,
        due_s=time.monotonic() + 20,
    )


class TestKeyForwarding(testtools.TestCase):
    """Only the owner runs a request, and each copy gets the response."""

    def test_copies(self) -> None:
        """Concurrent copies sent to both entries run once, at the owner."""

        async def send() -> tuple[_Entry, _Entry, set[bytes]]:
            peers: dict[str, _Peers] = {}
            owner, other = _Entry('a0', peers), _Entry('b0', peers)
            key = owner.owner.issue('billing')
            results = await asyncio.gather(
                *(
                    entry.requests.answer(_request(key, b'w'))
                    for entry in (other, owner, other)
                ),
            )
            bodies = {one.answer.body for one in results if one.answer}
            return owner, other, bodies

        owner, other, bodies = asyncio.run(send())
        self.assertEqual({b'done w'}, bodies)
        self.assertEqual([b'w'], owner.dispatcher.ran)
        self.assertEqual([], other.dispatcher.ran)

    def test_rejected_without_run(self) -> None:
        """A different body or service or an invalid key runs nothing."""

        async def send() -> tuple[_Entry, list[_Ending]]:
            peers: dict[str, _Peers] = {}
            owner, other = _Entry('a0', peers), _Entry('b0', peers)
            key = owner.owner.issue('billing')
            await other.requests.answer(_request(key, b'w'))
            results = [
                await other.requests.answer(request)
                for request in (
                    _request(key, b'x'),
                    _request(key, b'w', 'records'),
                    _request('own', b'w'),
                )
            ]
            return owner, [(one.outcome, one.code) for one in results]

        owner, seen = asyncio.run(send())
        mismatch = (Outcome.NOT_RUN, ResultCode.REQUEST_KEY_MISMATCH)
        invalid = (Outcome.NOT_RUN, ResultCode.REQUEST_KEY_INVALID)
        self.assertEqual([mismatch, mismatch, invalid], seen)
        self.assertEqual([b'w'], owner.dispatcher.ran)
