"""Send a request once to one target and read the complete response."""

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
    EchoCheckedResponse,
    send_once,
)
from wigeonreach.entry._target_state import TargetAnswered, read_target_state
from wigeonreach.exceptions import AttemptFailedError

_KEEPALIVE_S: Final = 30
_MS_PER_S: Final = 1000
# Without contact to the peers, a target counts as serving for at most 1.2 s
# after it confirmed that; requests to a leaving target must stop within 2 s.
_CONNECT_TIMEOUT_S: Final = 0.7
_MAX_ANSWER_BYTES: Final = 4 * 1024 * 1024
_MAX_HEADER_BYTES: Final = 8190
_MAX_ECHOING_TARGETS: Final = 4096
_ID_PREFIX_BYTES: Final = 6
_OUTCOME_HEADER: Final = 'X-Outcome'
_FIRST_FINAL_STATUS: Final = 200
_STATUSES_WITHOUT_BODY: Final = frozenset((204, 304))
_UNREACHABLE_ERRORS: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_RESPONSE_ERRORS: Final = (
    aiohttp.ClientError,
    OSError,
    TimeoutError,
    ValueError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """The complete response of a target."""

    status: int
    content_type: str | None
    body: bytes
    content_encoding: str | None = None


StateCallback = Callable[[TargetAnswered], None]


def ignore_state(_answered: TargetAnswered) -> None:
    """Ignore the state that a target reports."""


class TargetClient:
    """HTTP client for targets that sends each request at most once.

    Parameters
    ----------
    max_answer_bytes
        Responses with a larger body are an error.
    on_state
        Called with the state that a target reports in a response.
    """

    def __init__(
        self,
        max_answer_bytes: int = _MAX_ANSWER_BYTES,
        on_state: StateCallback = ignore_state,
    ) -> None:
        """Store the options; no connection is opened yet."""
        self._max_answer_bytes = max_answer_bytes
        self._on_state = on_state
        self._id_prefix = secrets.token_hex(_ID_PREFIX_BYTES)
        self._request_numbers = itertools.count(1)
        self._echoing_targets: set[str] = set()
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Create the connection pool."""
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
            # Only encodings that the caller accepts may be used by a target.
            skip_auto_headers=('Accept', 'Accept-Encoding', 'User-Agent'),
            response_class=EchoCheckedResponse,
        )

    async def close(self) -> None:
        """Close all connections to targets."""
        if self._session is not None:
            await self._session.close()

    async def run(self, request: CallerRequest, address: str) -> TargetAnswer:
        """Send a request to a target and return the complete response.

        Parameters
        ----------
        request
            What to send; the time until its deadline is passed on.
        address
            ``IP:PORT`` of the target.

        Returns
        -------
        TargetAnswer
            The target's response.

        Raises
        ------
        AttemptFailedError
            If there is no complete response in time.  Its outcome is "not
            run" only if not one byte was sent or the target itself says so.
        """
        remaining_s = max(0, request.due_s - time.monotonic())
        try:
            async with asyncio.timeout(remaining_s):
                return await self._send(request, address, remaining_s)
        except _UNREACHABLE_ERRORS as unreachable:
            raise AttemptFailedError(
                ResultCode.REQUEST_TARGET_UNREACHABLE,
                Outcome.NOT_RUN,
                type(unreachable).__name__,
            ) from None
        except _RESPONSE_ERRORS as failed:
            raise AttemptFailedError(
                ResultCode.REQUEST_ANSWER_LOST,
                Outcome.UNKNOWN,
                type(failed).__name__,
            ) from None

    async def _send(
        self,
        request: CallerRequest,
        address: str,
        remaining_s: float,
    ) -> TargetAnswer:
        assert self._session is not None  # noqa: S101
        # Header names are case-insensitive, so a caller's own header is
        # replaced whatever its case.
        headers = multidict.CIMultiDict(request.headers)
        headers[DEADLINE_HEADER] = str(int(remaining_s * _MS_PER_S))
        sent_s = time.monotonic()
        headers[REQUEST_ID_HEADER] = (
            f'{self._id_prefix}-{next(self._request_numbers)}'
        )
        async with self._session.request(
            request.method,
            yarl.URL(f'http://{address}{request.path}', encoded=True),
            data=request.body or None,
            headers=headers,
            timeout=aiohttp.ClientTimeout(
                total=None,
                connect=min(_CONNECT_TIMEOUT_S, remaining_s),
            ),
            # A redirect is passed to the caller; following it would send a
            # second request.
            allow_redirects=False,
        ) as response:
            state = read_target_state(response.headers, address, sent_s)
            if state is not None:
                self._on_state(state)
            try:
                return await self._read_response(response, address)
            except BaseException:
                # The rest of this response must not be read as the response
                # to a later request on the same connection.
                response.close()
                raise

    async def _read_response(
        self,
        response: aiohttp.ClientResponse,
        address: str,
    ) -> TargetAnswer:
        self._check_echo(response, address)
        _check_framing(response)
        answer = TargetAnswer(
            status=response.status,
            content_type=response.headers.get('Content-Type'),
            body=await self._read_body(response),
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
            if len(self._echoing_targets) >= _MAX_ECHOING_TARGETS:
                self._echoing_targets.clear()
            self._echoing_targets.add(address)
            return
        # A missing id is an error only for a target that echoed ids before:
        # the response may then be an unsolicited one.  For a target that never
        # echoes, a mix-up can't be detected.
        if echoed is not None or address in self._echoing_targets:
            self._echoing_targets.discard(address)
            raise _unknown_outcome(
                ResultCode.REQUEST_ANSWER_CROSSED,
                f'expected {expected}, got {echoed}',
            )

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        chunks: list[bytes] = []
        size_bytes = 0
        try:
            async for chunk in response.content.iter_any():
                chunks.append(chunk)
                size_bytes += len(chunk)
                if size_bytes > self._max_answer_bytes:
                    raise _unknown_outcome(
                        ResultCode.REQUEST_ANSWER_TOO_LARGE,
                        f'allowed: {self._max_answer_bytes} bytes',
                    )
        except aiohttp.ClientError as error:
            raise _unknown_outcome(
                ResultCode.REQUEST_ANSWER_INCOMPLETE,
                type(error).__name__,
            ) from None
        return b''.join(chunks)


def _check_framing(response: aiohttp.ClientResponse) -> None:
    if response.status < _FIRST_FINAL_STATUS:
        raise _unknown_outcome(
            ResultCode.REQUEST_ANSWER_MALFORMED,
            f'status {response.status}',
        )
    if response.method == 'HEAD' or response.status in _STATUSES_WITHOUT_BODY:
        return
    headers = response.headers
    is_chunked = headers.get('Transfer-Encoding', '').lower() == 'chunked'
    if not (is_chunked or 'Content-Length' in headers):
        # A body that is delimited by the end of the connection can't be told
        # from a truncated one.
        raise _unknown_outcome(
            ResultCode.REQUEST_ANSWER_INCOMPLETE,
            'the answer does not say how long it is',
        )


def _unknown_outcome(code: ResultCode, detail: str) -> AttemptFailedError:
    return AttemptFailedError(code, Outcome.UNKNOWN, detail)
