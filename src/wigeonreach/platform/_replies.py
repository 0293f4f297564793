"""Convert replies to calls into HTTP responses."""

from __future__ import annotations

import functools

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import RequestRefusedError
from wigeonreach.platform._http import HttpReply, error_reply
from wigeonreach.platform._jobs import encode_state, encode_waiting
from wigeonreach.platform._workers import encode_orders
from wigeonreach.wire._call_replies import (
    Done,
    Forbidden,
    Invalid,
    JobState,
    ManifestText,
    NoSuchJob,
    NotDone,
    NotFound,
    Orders,
    Reply,
    Unauthorized,
    Unknown,
    WaitingJobs,
    WaveState,
    WhyNot,
)

# For clients, the platform takes 429 and 503 to mean that the request never
# runs; 504 leaves that open.
_OVERLOADED = 429
_UNAVAILABLE = 503
_OUTCOME_UNKNOWN = 504
# The platform's status for a job that does not exist.
_GONE = 410


@functools.singledispatch
def http_reply(reply: Reply) -> HttpReply:
    """Return the HTTP response for a reply."""
    raise TypeError(type(reply).__name__)


@http_reply.register
def _from_done(reply: Done) -> HttpReply:
    return HttpReply(200, b'{}')


@http_reply.register
def _from_state(reply: JobState) -> HttpReply:
    return HttpReply(200, encode_state(reply))


@http_reply.register
def _from_waiting(reply: WaitingJobs) -> HttpReply:
    return HttpReply(200, encode_waiting(reply))


@http_reply.register
def _from_manifest(reply: ManifestText) -> HttpReply:
    return HttpReply(200, reply.document)


@http_reply.register
def _from_wave(reply: WaveState) -> HttpReply:
    state = 'completed' if reply.is_done else 'running'
    return HttpReply(200, f'{{"state":"{state}"}}'.encode())


@http_reply.register
def _from_orders(reply: Orders) -> HttpReply:
    return HttpReply(200, encode_orders(reply.orders))


@http_reply.register
def _from_not_found(reply: NotFound) -> HttpReply:
    return error_reply(
        404,
        RequestRefusedError(
            ResultCode.REQUEST_UNKNOWN_SERVICE,
            'no queue of the newest manifest has this host and path',
        ),
    )


@http_reply.register
def _from_unauthorized(reply: Unauthorized) -> HttpReply:
    error = RequestRefusedError(
        ResultCode.REQUEST_UNAUTHORIZED,
        'this queue needs a credential that is in force; nothing was done',
    )
    return error_reply(401, error)


@http_reply.register
def _from_forbidden(reply: Forbidden) -> HttpReply:
    error = RequestRefusedError(
        ResultCode.REQUEST_OTHER_WORKSPACE,
        'the job is of another workspace; nothing was done',
    )
    return error_reply(403, error)


@http_reply.register
def _from_no_job(reply: NoSuchJob) -> HttpReply:
    return HttpReply(_GONE, b'{}')


@http_reply.register
def _from_invalid(reply: Invalid) -> HttpReply:
    error = RequestRefusedError(ResultCode.JOB_INVALID, reply.detail)
    return error_reply(400, error)


@http_reply.register
def _from_not_done(reply: NotDone) -> HttpReply:
    is_overload = reply.reason is WhyNot.OVERLOADED
    status = _OVERLOADED if is_overload else _UNAVAILABLE
    body = f'{{"error":"{reply.reason.value}"}}'.encode()
    return HttpReply(status, body, reply.retry_after_s)


@http_reply.register
def _from_unknown(reply: Unknown) -> HttpReply:
    return HttpReply(_OUTCOME_UNKNOWN, b'{"error":"outcome-unknown"}')
