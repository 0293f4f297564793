"""Fault injection into a target's responses."""

from __future__ import annotations

import asyncio
import enum
import random
from typing import Final

from aiohttp import web

REQUEST_ID_HEADER: Final = 'X-Request-Id'
_LATE_S: Final = 3.0
_GARBAGE: Final = b'\x00garbage\xff' * 8


class Fault(enum.StrEnum):
    """Kind of faulty response."""

    SHORT = 'short'
    LATE = 'late'
    CROSSED = 'crossed'
    GARBAGE = 'garbage'
    DOUBLED = 'doubled'


class FaultInjector:
    """Replaces some of a target's responses; the work is done regardless.

    Parameters
    ----------
    kinds
        Kinds of faults to inject.
    ratio
        Share of responses that are faulty.
    rng
        Source of random choices.
    """

    def __init__(
        self,
        kinds: tuple[Fault, ...],
        ratio: float,
        rng: random.Random,
    ) -> None:
        """Start without an earlier response."""
        self._kinds = kinds
        self._ratio = ratio
        self._rng = rng
        self._previous = ('none', 'none')

    async def faulty_response(
        self,
        request: web.Request,
        text: str,
    ) -> web.StreamResponse | None:
        """Send a faulty response in place of the correct one.

        Parameters
        ----------
        request
            The request to respond to.
        text
            Body of the correct response.

        Returns
        -------
        aiohttp.web.StreamResponse or None
            The faulty response, or None if the correct one is to be sent.
        """
        request_id = request.headers.get(REQUEST_ID_HEADER, '')
        previous = self._previous
        self._previous = (request_id, text)
        if not self._kinds or self._rng.random() >= self._ratio:
            return None
        match self._rng.choice(self._kinds):
            case Fault.LATE:
                await asyncio.sleep(_LATE_S)
                return None
            case Fault.CROSSED:
                return _response(*previous)
            case Fault.SHORT:
                raw = _raw_response(request_id, text, len(text) + 5)
            case Fault.DOUBLED:
                raw = _raw_response(
                    request_id, text, len(text)
                ) + _raw_response(*previous, -1)
            case _:
                raw = _GARBAGE
        return _send(request, raw)


def _response(request_id: str, text: str) -> web.Response:
    return web.Response(text=text, headers={REQUEST_ID_HEADER: request_id})


def _raw_response(request_id: str, text: str, length: int) -> bytes:
    if length < 0:
        length = len(text)
    head = (
        'HTTP/1.1 200 OK',
        f'{REQUEST_ID_HEADER}: {request_id}',
        f'Content-Length: {length}',
        '',
        text,
    )
    return '\r\n'.join(head).encode()


def _send(request: web.Request, raw: bytes) -> web.Response:
    if request.transport is not None:
        request.transport.write(raw)
        request.transport.close()
    # The connection is closed already, so this response is never sent.
    return web.Response()
