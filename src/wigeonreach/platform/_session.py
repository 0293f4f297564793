"""HTTP client for the platform's services."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import TypeVar

import aiohttp

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import PlatformError
from wigeonreach.observe import LogEvent, Logger

_Decoded = TypeVar('_Decoded')
# SO_LINGER with a timeout of 0: closing resets the connection and discards
# unsent data.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_NO_HEADERS: Mapping[str, str] = MappingProxyType({})


class PlatformSession:
    """Connection pool for one service of the platform.

    Parameters
    ----------
    address
        Address of the service.
    timeout_s
        Time limit for a call, in seconds.
    logger
        Logs failed calls.
    """

    def __init__(self, address: str, timeout_s: float, logger: Logger) -> None:
        """Create a client that connects on its first call."""
        self._base = f'http://{address}'
        self._timeout_s = timeout_s
        self._log = logger
        self._session: aiohttp.ClientSession | None = None

    async def get(
        self,
        path: str,
        decode: Callable[[int, bytes], _Decoded],
    ) -> _Decoded | None:
        """Return the decoded response to a GET; see ``post``."""
        return await self._call('GET', path, decode)

    async def post(
        self,
        path: str,
        decode: Callable[[int, bytes], _Decoded],
        body: Mapping[str, object],
        headers: Mapping[str, str] = _NO_HEADERS,
        timeout_s: float | None = None,
    ) -> _Decoded | None:
        """Return the decoded response to a POST.

        Parameters
        ----------
        path
            Path with query.
        decode
            Converts status and body to the result; raises ``ValueError`` or
            ``PlatformError`` if the response is unusable.
        body
            Request body, sent as JSON.
        headers
            Additional request headers.
        timeout_s
            Time limit for this call, in seconds; by default that of the
            session.

        Returns
        -------
        object or None
            None if no usable response arrived; the call may have taken effect
            nevertheless.
        """
        return await self._call('POST', path, decode, body, headers, timeout_s)

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self,
        method: str,
        path: str,
        decode: Callable[[int, bytes], _Decoded],
        body: Mapping[str, object] | None = None,
        headers: Mapping[str, str] = _NO_HEADERS,
        timeout_s: float | None = None,
    ) -> _Decoded | None:
        limit_s = self._timeout_s if timeout_s is None else timeout_s
        try:
            async with self._client_session().request(
                method,
                f'{self._base}{path}',
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=limit_s),
            ) as response:
                return decode(response.status, await response.read())
        except PlatformError as rejection:
            self._log_failure(path, rejection.detail)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self._log_failure(path, repr(error))
        return None

    def _client_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    socket_factory=_resetting_socket,
                ),
            )
        return self._session

    def _log_failure(self, call: str, reason: str) -> None:
        self._log.warning(LogEvent.PLATFORM_FAULT, call=call, reason=reason)


def _resetting_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket that resets its connection when it is closed.

    Bytes that are held up by a network partition are delivered when it heals.
    Without the reset, an order whose call had timed out could then arrive
    after an order of a later leader.
    """
    family, kind, protocol, *_ = info
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    return opened


def expect_ok(status: int) -> None:
    """Check that a response has status 200.

    Raises
    ------
    PlatformError
        If it has another status.
    """
    if status != 200:
        raise PlatformError(ResultCode.PLATFORM_REFUSED, f'status {status}')
