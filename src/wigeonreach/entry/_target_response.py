"""Keep the HTTP library from sending twice or mixing answers up."""

from __future__ import annotations

from typing import Final

import aiohttp
from aiohttp.connector import Connection

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.exceptions import AttemptFailedError

REQUEST_ID_HEADER: Final = 'X-Request-Id'


class EchoedResponse(aiohttp.ClientResponse):
    """A response whose connection is kept only if it echoes the id."""

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Read the head and settle what becomes of the connection.

        Parameters
        ----------
        connection
            Where the request was sent.

        Returns
        -------
        aiohttp.ClientResponse
            This response.
        """
        protocol = connection.protocol
        started = await super().start(connection)
        if protocol is not None and not self._is_echoed():
            # Without an echo, a second answer could not be told from the
            # answer to the next request.
            protocol.force_close()
            if self.connection is None:
                # A short answer is already complete, and its connection back
                # among those that may be used again.
                protocol.close()
        return started

    def _is_echoed(self) -> bool:
        expected = self.request_info.headers.get(REQUEST_ID_HEADER)
        return self.headers.get(REQUEST_ID_HEADER) == expected


async def send_once(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Keep aiohttp from sending an idempotent request again by itself.

    It does so when a kept-alive connection breaks, and a second try that
    can't connect would then hide that the first was sent.

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
        If the connection broke after something may have been sent.
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
