"""Keep aiohttp from resending requests and from mixing up responses."""

from __future__ import annotations

from typing import Final

import aiohttp
from aiohttp.connector import Connection

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.exceptions import AttemptFailedError

REQUEST_ID_HEADER: Final = 'X-Request-Id'


class EchoCheckedResponse(aiohttp.ClientResponse):
    """A response whose connection is reused only if it echoes the id."""

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Read the head and decide whether the connection may be reused.

        Parameters
        ----------
        connection
            Connection on which the request was sent.

        Returns
        -------
        aiohttp.ClientResponse
            This response.
        """
        protocol = connection.protocol
        started = await super().start(connection)
        if protocol is not None and not self._has_matching_id():
            # Without an echoed id, an unsolicited second response could not be
            # told from the response to the next request.
            protocol.force_close()
            if self.connection is None:
                # A short response is already complete, and its connection
                # already returned to the pool.
                protocol.close()
        return started

    def _has_matching_id(self) -> bool:
        expected = self.request_info.headers.get(REQUEST_ID_HEADER)
        return self.headers.get(REQUEST_ID_HEADER) == expected


async def send_once(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Client middleware that keeps aiohttp from resending a request.

    aiohttp resends an idempotent request when a kept-alive connection breaks.
    If the second try can't connect, its error would hide that the first try
    was sent.

    Parameters
    ----------
    request
        The request to send.
    handler
        Connects and sends it.

    Returns
    -------
    aiohttp.ClientResponse
        The response.

    Raises
    ------
    AttemptFailedError
        If the connection broke after part of the request may have been sent.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise AttemptFailedError(
            ResultCode.REQUEST_ANSWER_LOST,
            Outcome.UNKNOWN,
            type(error).__name__,
        ) from error
