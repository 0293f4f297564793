"""Forward each request with a key to the entry that issued the key."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import time
from typing import Final

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._attempt import TargetAnswer
from wigeonreach.entry._config import ConfigFollower
from wigeonreach.entry._keys import Key
from wigeonreach.entry._keys_owner import KeyOwner
from wigeonreach.entry._keys_routing import (
    OWNER_RESTARTED,
    Forward,
    Here,
    Place,
    place_of,
)
from wigeonreach.entry._lifecycle import Lifecycle
from wigeonreach.entry._peers import PeerExchange
from wigeonreach.entry._request import CallerRequest
from wigeonreach.entry._results import KeyResult
from wigeonreach.exceptions import RequestRefusedError
from wigeonreach.observe import Metrics
from wigeonreach.text import Service
from wigeonreach.wire._keys_messages import (
    ForwardReply,
    ForwardRequest,
    HeaderField,
)
from wigeonreach.wire._peer_messages import PeerHello

# The owner gets this part of the remaining time, so that its reply arrives
# before the deadline.
_OWNER_TIME_RATIO: Final = 0.95
_UNREACHABLE: Final = KeyResult(
    Outcome.UNKNOWN,
    ResultCode.REQUEST_KEY_OWNER_UNREACHABLE,
)
_SHUTTING_DOWN: Final = KeyResult(
    Outcome.UNKNOWN,
    ResultCode.REQUEST_SHUTTING_DOWN,
)
_UNKNOWN_SERVICE: Final = KeyResult(
    Outcome.UNKNOWN,
    ResultCode.REQUEST_UNKNOWN_SERVICE,
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    """A forwarded request that awaits the reply of its owner."""

    owner: str
    reply: asyncio.Future[KeyResult]


class KeyedRequests:
    """Answers requests with keys, or forwards them to the keys' owners.

    Parameters
    ----------
    name
        Name of this entry.
    owner
        Runs requests with keys of this entry.
    peers
        Channels to the other entries.
    config
        Source of the active configuration.
    lifecycle
        Tells whether new requests are accepted.
    metrics
        Counters.
    """

    def __init__(
        self,
        name: str,
        owner: KeyOwner,
        peers: PeerExchange,
        config: ConfigFollower,
        lifecycle: Lifecycle,
        metrics: Metrics,
    ) -> None:
        """Register the handlers of forwarded requests and of replies."""
        self._name = name
        self._owner = owner
        self._peers = peers
        self._config = config
        self._lifecycle = lifecycle
        self._metrics = metrics
        self._calls = itertools.count(1)
        self._pending: dict[str, _Pending] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        peers.handle(ForwardRequest, self._on_request)
        peers.handle(ForwardReply, self._on_reply)
        peers.on_peer_restart(self._on_restart)

    @property
    def in_flight(self) -> int:
        """Number of requests forwarded by other entries and not yet answered."""
        return len(self._tasks)

    async def answer(self, request: CallerRequest) -> KeyResult:
        """Answer a request with a key.

        Parameters
        ----------
        request
            The request that this entry received.

        Returns
        -------
        KeyResult
            How the request ended.  An outcome other than "unknown" holds for
            all copies of the request: it comes from the owner, or from a check
            of the key that fails on every entry.
        """
        try:
            return await self._route(request)
        except RequestRefusedError as refused:
            # This request can never run under this key.
            return KeyResult(Outcome.NOT_RUN, refused.code, refused.detail)

    async def _route(self, request: CallerRequest) -> KeyResult:
        key, place = self._place_of(request)
        match place:
            case Here():
                return await self._owner.answer(request, key)
            case Forward(owner):
                return await self._forward(request, owner)
            case result:
                return result

    def _place_of(self, request: CallerRequest) -> tuple[Key, Place]:
        key = self._owner.codec.read(request.key)
        place = place_of(
            key,
            request.service.name,
            self._name,
            self._owner.codec.incarnation,
        )
        return key, place

    async def _forward(self, request: CallerRequest, owner: str) -> KeyResult:
        self._metrics.count('keys', 'forwarded')
        call_id = f'{self._owner.codec.incarnation}-{next(self._calls)}'
        remaining_s = request.due_s - time.monotonic()
        message = _to_message(request, call_id, remaining_s * _OWNER_TIME_RATIO)
        reply: asyncio.Future[KeyResult] = asyncio.Future()
        self._pending[call_id] = _Pending(owner, reply)
        try:
            async with asyncio.timeout(remaining_s):
                if not self._peers.post(owner, message):
                    return _UNREACHABLE
                return await reply
        except TimeoutError:
            return _UNREACHABLE
        finally:
            self._pending.pop(call_id)

    def _on_reply(self, _hello: PeerHello, message: ForwardReply) -> None:
        pending = self._pending.get(message.call_id)
        if pending is None or pending.reply.done():
            # The request has timed out or its owner restarted.
            self._metrics.count('keys', 'late_reply')
            return
        pending.reply.set_result(_from_reply(message))

    def _on_restart(self, peer: str) -> None:
        for pending in self._pending.values():
            if pending.owner == peer and not pending.reply.done():
                pending.reply.set_result(OWNER_RESTARTED)

    def _on_request(self, hello: PeerHello, message: ForwardRequest) -> None:
        task = asyncio.create_task(self._handle(hello.process, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(self, peer: str, message: ForwardRequest) -> None:
        text = self._config.text
        service = text.services.get(message.service) if text else None
        result = _SHUTTING_DOWN
        if service is None:
            result = _UNKNOWN_SERVICE
        elif self._lifecycle.takes_work:
            result = await self._answer_forwarded(
                _from_message(message, service)
            )
        self._peers.post(peer, _to_reply(message.call_id, result))

    async def _answer_forwarded(self, request: CallerRequest) -> KeyResult:
        try:
            key, place = self._place_of(request)
            # A forwarded request is not forwarded again.
            if isinstance(place, Here):
                return await self._owner.answer(request, key)
        except RequestRefusedError as refused:
            return KeyResult(Outcome.NOT_RUN, refused.code, refused.detail)
        return OWNER_RESTARTED


def _to_message(
    request: CallerRequest,
    call_id: str,
    remaining_s: float,
) -> ForwardRequest:
    return ForwardRequest(
        call_id=call_id,
        key=request.key,
        service=request.service.name,
        method=request.method,
        path=request.path,
        headers=tuple(
            # msgspec can't encode the HTTP library's type of header names.
            HeaderField(str(name), text)
            for name, text in request.headers.items()
        ),
        body=request.body,
        team=request.team,
        weight=request.weight,
        is_urgent=request.is_urgent,
        left_s=remaining_s,
    )


def _from_message(message: ForwardRequest, service: Service) -> CallerRequest:
    return CallerRequest(
        service=service,
        method=message.method,
        path=message.path,
        headers={field.name: field.text for field in message.headers},
        body=message.body,
        team=message.team,
        weight=message.weight,
        is_urgent=message.is_urgent,
        key=message.key,
        due_s=time.monotonic() + message.left_s,
    )


def _to_reply(call_id: str, result: KeyResult) -> ForwardReply:
    answer = result.answer or TargetAnswer(0, None, b'')
    return ForwardReply(
        call_id,
        result.outcome.value,
        int(result.code),
        result.detail,
        answer.status,
        answer.content_type,
        answer.content_encoding,
        answer.body,
    )


def _from_reply(message: ForwardReply) -> KeyResult:
    answer = None
    if message.status:
        answer = TargetAnswer(
            message.status,
            message.content_type,
            message.body,
            message.content_encoding,
        )
    return KeyResult(
        Outcome(message.outcome),
        ResultCode(message.code),
        message.detail,
        answer,
    )
