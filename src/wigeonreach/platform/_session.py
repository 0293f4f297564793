"""Call the platform's own services."""

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

_Answer = TypeVar('_Answer')
# Linger for no time: what is not delivered yet is dropped.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_NO_HEADERS: Mapping[str, str] = MappingProxyType({})


class PlatformSession:
    """Connections to one address of the platform.

    Parameters
    ----------
    address
        Of the service.
    timeout_s
        How long a call may take.
    logger
        Where failed calls are logged.
    """

    def __init__(self, address: str, timeout_s: float, logger: Logger) -> None:
        """Connect at the first call."""
        self._base = f'http://{address}'
        self._timeout_s = timeout_s
        self._log = logger
        self._session: aiohttp.ClientSession | None = None

    async def get(
        self,
        path: str,
        decode: Callable[[int, bytes], _Answer],
    ) -> _Answer | None:
        """Return the decoded answer to a GET; see ``post``."""
        return await self._call('GET', path, decode)

    async def post(
        self,
        path: str,
        decode: Callable[[int, bytes], _Answer],
        body: Mapping[str, object],
        headers: Mapping[str, str] = _NO_HEADERS,
    ) -> _Answer | None:
        """Return the decoded answer to a POST.

        Parameters
        ----------
        path
            With its query.
        decode
            Makes the answer of status and body; it may raise ``ValueError`` or
            ``PlatformError`` if they tell nothing.
        body
            Sent as JSON.
        headers
            Sent beside it.

        Returns
        -------
        object or None
            None if no answer came, or none that tells anything: the call may
            have been carried out.
        """
        return await self._call('POST', path, decode, body, headers)

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self,
        method: str,
        path: str,
        decode: Callable[[int, bytes], _Answer],
        body: Mapping[str, object] | None = None,
        headers: Mapping[str, str] = _NO_HEADERS,
    ) -> _Answer | None:
        try:
            async with self._open().request(
                method,
                f'{self._base}{path}',
                json=body,
                headers=headers,
            ) as response:
                return decode(response.status, await response.read())
        except PlatformError as refused:
            self._note_failure(path, refused.detail)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self._note_failure(path, repr(error))
        return None

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(socket_factory=_socket),
                timeout=aiohttp.ClientTimeout(total=self._timeout_s),
            )
        return self._session

    def _note_failure(self, call: str, reason: str) -> None:
        self._log.warning(LogEvent.PLATFORM_FAULT, call=call, reason=reason)


def _socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket that resets its connection when it is closed.

    A cut holds bytes up and delivers them when it heals.  An order that was
    given up would then arrive after a later leader's.
    """
    family, kind, protocol, *_ = info
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    return opened


def expect_ok(status: int) -> None:
    """Check that an answer tells what was asked for.

    Raises
    ------
    PlatformError
        If its status is any but 200.
    """
    if status != 200:
        raise PlatformError(ResultCode.PLATFORM_REFUSED, f'status {status}')
