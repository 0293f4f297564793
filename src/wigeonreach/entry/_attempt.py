"""Make one attempt to have one target run a request."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import secrets
import time
from collections.abc import Callable
from typing import Final

import aiohttp
import multidict
import yarl

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._request import CallerRequest
from wigeonreach.entry._request_reading import DEADLINE_HEADER
from wigeonreach.entry._target_response import (
    REQUEST_ID_HEADER,
    EchoedResponse,
    send_once,
)
from wigeonreach.entry._target_state import TargetAnswered, read_target_state
from wigeonreach.exceptions import AttemptFailedError

_KEEPALIVE_S: Final = 30
_MS_PER_S: Final = 1000
# Trust in a target lasts 1.2 s at most, and a leave must be heeded within 2 s.
_CONNECT_TIMEOUT_S: Final = 0.7
_MAX_ANSWER_BYTES: Final = 4 * 1024 * 1024
_MAX_HEADER_BYTES: Final = 8190
_MAX_ECHOING: Final = 4096
_PREFIX_BYTES: Final = 6
_OUTCOME_HEADER: Final = 'X-Outcome'
_FIRST_FINAL_STATUS: Final = 200
_BODILESS_STATUSES: Final = frozenset((204, 304))
_UNREACHABLE_ERRORS: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_LOST_ERRORS: Final = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """The whole answer of a target."""

    status: int
    content_type: str | None
    body: bytes
    content_encoding: str | None = None


StateListener = Callable[[TargetAnswered], None]


def ignore_state(_answered: TargetAnswered) -> None:
    """Do nothing with what a target says of itself."""


class Attempts:
    """The connections towards targets, on which each request is sent once.

    Parameters
    ----------
    max_answer_bytes
        Larger answers are given up on.
    on_state
        Called with what a target says of itself in an answer.
    """

    def __init__(
        self,
        max_answer_bytes: int = _MAX_ANSWER_BYTES,
        on_state: StateListener = ignore_state,
    ) -> None:
        """Prepare; no connection is opened yet."""
        self._max_answer_bytes = max_answer_bytes
        self._on_state = on_state
        self._prefix = secrets.token_hex(_PREFIX_BYTES)
        self._numbers = itertools.count(1)
        self._echoing: set[str] = set()
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Make ready for attempts."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=_KEEPALIVE_S,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
            middlewares=(send_once,),
            # A target must not choose a coding that the caller can't read.
            skip_auto_headers=('Accept', 'Accept-Encoding', 'User-Agent'),
            response_class=EchoedResponse,
        )

    async def close(self) -> None:
        """Close all connections towards targets."""
        if self._session is not None:
            await self._session.close()

    async def run(self, request: CallerRequest, address: str) -> TargetAnswer:
        """Ask a target to run a request and return its whole answer.

        Parameters
        ----------
        request
            What to run; the rest of its deadline is passed on.
        address
            ``IP:PORT`` of the target.

        Returns
        -------
        TargetAnswer
            The target's answer.

        Raises
        ------
        AttemptFailedError
            If there is no whole answer in time.  Its outcome is "not run"
            only if not one byte was sent or the target itself says so.
        """
        left_s = max(0, request.due_s - time.monotonic())
        try:
            async with asyncio.timeout(left_s):
                return await self._ask(request, address, left_s)
        except _UNREACHABLE_ERRORS as unreachable:
            raise AttemptFailedError(
                ResultCode.REQUEST_TARGET_UNREACHABLE,
                Outcome.NOT_RUN,
                type(unreachable).__name__,
            ) from None
        except _LOST_ERRORS as lost:
            raise AttemptFailedError(
                ResultCode.REQUEST_ANSWER_LOST,
                Outcome.UNKNOWN,
                type(lost).__name__,
            ) from None

    async def _ask(
        self,
        request: CallerRequest,
        address: str,
        left_s: float,
    ) -> TargetAnswer:
        assert self._session is not None  # noqa: S101
        # Headers that a caller wrote in another case are replaced as well.
        headers = multidict.CIMultiDict(request.headers)
        headers[DEADLINE_HEADER] = str(int(left_s * _MS_PER_S))
        sent_s = time.monotonic()
        headers[REQUEST_ID_HEADER] = f'{self._prefix}-{next(self._numbers)}'
        async with self._session.request(
            request.method,
            yarl.URL(f'http://{address}{request.path}', encoded=True),
            data=request.body or None,
            headers=headers,
            timeout=aiohttp.ClientTimeout(
                total=None,
                connect=min(_CONNECT_TIMEOUT_S, left_s),
            ),
            # A redirect is the target's answer; following it would run more.
            allow_redirects=False,
        ) as response:
            answered = read_target_state(response.headers, address, sent_s)
            if answered is not None:
                self._on_state(answered)
            try:
                return await self._take(response, address)
            except BaseException:
                # What still comes on this connection belongs to nobody.
                response.close()
                raise

    async def _take(
        self,
        response: aiohttp.ClientResponse,
        address: str,
    ) -> TargetAnswer:
        self._check_echo(response, address)
        _check_framing(response)
        answer = TargetAnswer(
            status=response.status,
            content_type=response.headers.get('Content-Type'),
            body=await self._read_whole(response),
            content_encoding=response.headers.get('Content-Encoding'),
        )
        if response.headers.get(_OUTCOME_HEADER) == Outcome.NOT_RUN.value:
            raise AttemptFailedError(
                ResultCode.REQUEST_TARGET_REFUSED,
                Outcome.NOT_RUN,
                f'the target answered {answer.status}',
            )
        return answer

    def _check_echo(
        self,
        response: aiohttp.ClientResponse,
        address: str,
    ) -> None:
        echoed = response.headers.get(REQUEST_ID_HEADER)
        expected = response.request_info.headers[REQUEST_ID_HEADER]
        if echoed == expected:
            if len(self._echoing) >= _MAX_ECHOING:
                self._echoing.clear()
            self._echoing.add(address)
            return
        # A target that echoed before and does not now may have sent an answer
        # that nobody asked for; one that never echoes is told by nothing.
        if echoed is not None or address in self._echoing:
            self._echoing.discard(address)
            raise _unknown(
                ResultCode.REQUEST_ANSWER_CROSSED,
                f'expected {expected}, got {echoed}',
            )

    async def _read_whole(self, response: aiohttp.ClientResponse) -> bytes:
        chunks: list[bytes] = []
        size_bytes = 0
        try:
            async for chunk in response.content.iter_any():
                chunks.append(chunk)
                size_bytes += len(chunk)
                if size_bytes > self._max_answer_bytes:
                    raise _unknown(
                        ResultCode.REQUEST_ANSWER_TOO_LARGE,
                        f'allowed: {self._max_answer_bytes} bytes',
                    )
        except aiohttp.ClientError as cut:
            raise _unknown(
                ResultCode.REQUEST_ANSWER_INCOMPLETE,
                type(cut).__name__,
            ) from None
        return b''.join(chunks)


def _check_framing(response: aiohttp.ClientResponse) -> None:
    if response.status < _FIRST_FINAL_STATUS:
        raise _unknown(
            ResultCode.REQUEST_ANSWER_MALFORMED,
            f'status {response.status}',
        )
    if response.method == 'HEAD' or response.status in _BODILESS_STATUSES:
        return
    headers = response.headers
    is_chunked = headers.get('Transfer-Encoding', '').lower() == 'chunked'
    if not (is_chunked or 'Content-Length' in headers):
        # What ends with its connection looks whole also when it is cut short.
        raise _unknown(
            ResultCode.REQUEST_ANSWER_INCOMPLETE,
            'the answer does not say how long it is',
        )


def _unknown(code: ResultCode, detail: str) -> AttemptFailedError:
    return AttemptFailedError(code, Outcome.UNKNOWN, detail)
