"""Serve the HTTP API for the platform's clients."""

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
    credential_digest,
)

# Carries the workspace's credential, which the platform calls an API key.
_CREDENTIAL_HEADER = 'Authorization'
_CREDENTIAL_PATTERN = re.compile(r'token +(\S+)', re.IGNORECASE)
# How long the client waits for the response.
_DEADLINE_HEADER = 'X-Deadline-Ms'
_DEFAULT_DEADLINE_S = 3.0
_DEADLINE_PATTERN = re.compile('[0-9]{1,9}')
# Part of the client's deadline that is reserved for returning the response.
_RESPONSE_MARGIN_S = 0.1
_MIN_TIMEOUT_S = 0.1


class ClientApi:
    """Translate client requests into calls to the core.

    Parameters
    ----------
    gateway
        Forwards the calls to the core.
    logger, metrics
        Record refusals and response times.
    """

    def __init__(
        self,
        gateway: Gateway,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Create a handler that forwards to the gateway."""
        self._gateway = gateway
        self._log = logger
        self._metrics = metrics

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Return the response to a request."""
        try:
            call = _decode(request)
        except RequestRefusedError as error:
            self._log_refusal(request, 'invalid', str(error), 0)
            return error_reply(400, error)
        if call is None:
            return HttpReply(405, b'{}')
        started_s = time.monotonic()
        reply = await self._gateway.call(call, _timeout_s(request))
        elapsed_s = time.monotonic() - started_s
        self._metrics.observe_s(request.method.lower(), elapsed_s)
        reason, detail = _refusal_of(reply)
        if reason:
            self._log_refusal(request, reason, detail, elapsed_s)
        return http_reply(reply)

    def _log_refusal(
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
    location = (request.host, request.path)
    credential = _credential(request)
    if request.method == 'POST':
        return SubmitJob(*location, decode_job(request.body), credential)
    if request.method == 'GET':
        return ReadJob(*location, credential)
    if request.method == 'DELETE':
        return CancelJobCall(*location, credential)
    return None


def _credential(request: HttpRequest) -> Credential:
    """Return the caller's credential; a malformed header counts as none."""
    matched = _CREDENTIAL_PATTERN.fullmatch(
        request.headers.get(_CREDENTIAL_HEADER, '').strip(),
    )
    return credential_digest(matched.group(1)) if matched else NO_CREDENTIAL


def _refusal_of(reply: AnyReply) -> tuple[str, str]:
    """Return reason and detail of a reply to log; empty for all others."""
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
    is_valid = _DEADLINE_PATTERN.fullmatch(text) is not None
    deadline_s = int(text) / 1000 if is_valid else _DEFAULT_DEADLINE_S
    return max(
        min(deadline_s, _DEFAULT_DEADLINE_S) - _RESPONSE_MARGIN_S,
        _MIN_TIMEOUT_S,
    )
