"""Take the requests of the platform's clients."""

from __future__ import annotations

import re
import time

from wigeonreach.exceptions import RequestRefusedError
from wigeonreach.gateway import Gateway
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.platform._http import HttpReply, HttpRequest, error_reply
from wigeonreach.platform._jobs import decode_job
from wigeonreach.platform._replies import http_reply
from wigeonreach.wire._call_messages import (
    AnyCall,
    CancelJobCall,
    ReadJob,
    SubmitJob,
)
from wigeonreach.wire._call_replies import (
    AnyReply,
    Forbidden,
    NotDone,
    Unauthorized,
    Unknown,
)
from wigeonreach.workspaces import (
    NO_CREDENTIAL,
    Credential,
    credential_of,
)

# Who calls; the platform's word for a workspace's credential is a key.
_CALLER_HEADER = 'Authorization'
_CALLER = re.compile(r'token +(\S+)', re.IGNORECASE)
# How long a client waits for its answer.
_DEADLINE_HEADER = 'X-Deadline-Ms'
_DEFAULT_DEADLINE_S = 3.0
_DEADLINE = re.compile('[0-9]{1,9}')
# Of the client's time, for the way back.
_RETURN_S = 0.1
_LEAST_S = 0.1


class ClientApi:
    """Translate requests into calls.

    Parameters
    ----------
    gateway
        Where calls go.
    logger, metrics
        Where refusals are logged and requests counted.
    """

    def __init__(
        self,
        gateway: Gateway,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Keep the gateway."""
        self._gateway = gateway
        self._log = logger
        self._metrics = metrics

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answer one request."""
        try:
            call = _decode(request)
        except RequestRefusedError as error:
            self._note_refusal(request, 'invalid', str(error), 0)
            return error_reply(400, error)
        if call is None:
            return HttpReply(405, b'{}')
        began_s = time.monotonic()
        reply = await self._gateway.call(call, _timeout_s(request))
        took_s = time.monotonic() - began_s
        self._metrics.observe_s(request.method.lower(), took_s)
        reason, detail = _why_refused(reply)
        if reason:
            self._note_refusal(request, reason, detail, took_s)
        return http_reply(reply)

    def _note_refusal(
        self,
        request: HttpRequest,
        reason: str,
        detail: str,
        waited_s: float,
    ) -> None:
        self._metrics.count('requests_refused', reason)
        self._log.warning(
            LogEvent.JOB_REFUSED,
            method=request.method,
            host=request.host,
            path=request.path,
            reason=reason,
            detail=detail,
            waited_s=round(waited_s, 3),
            leader=self._gateway.leader,
        )


def _decode(request: HttpRequest) -> AnyCall | None:
    place = (request.host, request.path)
    credential = _credential(request)
    if request.method == 'POST':
        return SubmitJob(*place, decode_job(request.body), credential)
    if request.method == 'GET':
        return ReadJob(*place, credential)
    if request.method == 'DELETE':
        return CancelJobCall(*place, credential)
    return None


def _credential(request: HttpRequest) -> Credential:
    """Return who calls; what can't be read stands for nobody."""
    told = _CALLER.fullmatch(request.headers.get(_CALLER_HEADER, '').strip())
    return credential_of(told.group(1)) if told else NO_CREDENTIAL


def _why_refused(reply: AnyReply) -> tuple[str, str]:
    """Return reason and detail of a refusal, for people; nothing if it is none."""
    match reply:
        case NotDone(reason=reason):
            return reason.value, ''
        case Unknown():
            return 'outcome-unknown', ''
        case Unauthorized(denial=denial, workspace=workspace):
            return denial.value, workspace
        case Forbidden(workspace=workspace):
            return 'other-workspace', workspace
    return '', ''


def _timeout_s(request: HttpRequest) -> float:
    text = request.headers.get(_DEADLINE_HEADER, '')
    is_read = _DEADLINE.fullmatch(text) is not None
    wait_s = int(text) / 1000 if is_read else _DEFAULT_DEADLINE_S
    return max(min(wait_s, _DEFAULT_DEADLINE_S) - _RETURN_S, _LEAST_S)
