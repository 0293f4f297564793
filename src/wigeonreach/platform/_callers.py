"""Take the requests of the platform's clients."""

from __future__ import annotations

from wigeonreach.exceptions import RequestRefusedError
from wigeonreach.gateway import Gateway
from wigeonreach.platform._http import HttpReply, HttpRequest, error_reply
from wigeonreach.platform._jobs import decode_job
from wigeonreach.platform._replies import http_reply
from wigeonreach.wire._call_messages import (
    AnyCall,
    CancelJobCall,
    ReadJob,
    SubmitJob,
)

# How long a client waits for its answer.
_DEADLINE_HEADER = 'X-Deadline-Ms'
_DEFAULT_DEADLINE_S = 3.0
# Of the client's time, for the way back.
_RETURN_S = 0.1
_LEAST_S = 0.1


class ClientApi:
    """Translate requests into calls.

    Parameters
    ----------
    gateway
        Where calls go.
    """

    def __init__(self, gateway: Gateway) -> None:
        """Keep the gateway."""
        self._gateway = gateway

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answer one request."""
        try:
            call = _decode(request)
        except RequestRefusedError as error:
            return error_reply(400, error)
        if call is None:
            return HttpReply(405, b'{}')
        reply = await self._gateway.call(call, _timeout_s(request))
        return http_reply(reply)


def _decode(request: HttpRequest) -> AnyCall | None:
    place = (request.host, request.path)
    if request.method == 'POST':
        return SubmitJob(*place, decode_job(request.body))
    if request.method == 'GET':
        return ReadJob(*place)
    if request.method == 'DELETE':
        return CancelJobCall(*place)
    return None


def _timeout_s(request: HttpRequest) -> float:
    text = request.headers.get(_DEADLINE_HEADER, '')
    wait_s = int(text) / 1000 if text.isdecimal() else _DEFAULT_DEADLINE_S
    return max(min(wait_s, _DEFAULT_DEADLINE_S) - _RETURN_S, _LEAST_S)
