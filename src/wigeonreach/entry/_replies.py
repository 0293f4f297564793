"""Build the HTTP responses that callers receive."""

from __future__ import annotations

import random
from types import MappingProxyType

import msgspec
from aiohttp import web

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._admission import retry_after_s
from wigeonreach.entry._attempt import TargetAnswer
from wigeonreach.exceptions import AttemptFailedError, RequestRefusedError

OUTCOME_HEADER = 'X-Outcome'
CODE_HEADER = 'X-Result-Code'
_CONTENT_TYPE = 'Content-Type'
_CONTENT_ENCODING = 'Content-Encoding'
_RETRY_AFTER = 'Retry-After'
_UNAVAILABLE_STATUS = 503
_GATEWAY_TIMEOUT_STATUS = 504
_STATUS_BY_CODE = MappingProxyType(
    {
        ResultCode.REQUEST_UNKNOWN_SERVICE: 404,
        ResultCode.REQUEST_BAD_HEADER: 400,
        ResultCode.REQUEST_TOO_LARGE: 413,
        ResultCode.REQUEST_BODY_INCOMPLETE: 400,
        ResultCode.REQUEST_KEY_INVALID: 400,
        ResultCode.REQUEST_KEY_MISMATCH: 422,
    },
)


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body of every error response that the entry itself builds."""

    code: int
    name: str
    outcome: Outcome
    detail: str


def target_reply(answer: TargetAnswer) -> web.Response:
    """Build the response to a caller from a target's complete response.

    Parameters
    ----------
    answer
        The target's response.

    Returns
    -------
    aiohttp.web.Response
        The response, with the outcome "ran".
    """
    headers = {
        OUTCOME_HEADER: Outcome.RAN.value,
        CODE_HEADER: str(int(ResultCode.OK)),
    }
    if answer.content_type is not None:
        headers[_CONTENT_TYPE] = answer.content_type
    if answer.content_encoding is not None:
        headers[_CONTENT_ENCODING] = answer.content_encoding
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers=headers,
    )


def refusal_reply(
    refused: RequestRefusedError,
    rng: random.Random,
) -> web.Response:
    """Build the response to a request that certainly did not run.

    Parameters
    ----------
    refused
        Why the request was refused.
    rng
        Source of the jitter of ``Retry-After``.

    Returns
    -------
    aiohttp.web.Response
        The response; with ``Retry-After`` if a retry can succeed.
    """
    status = _STATUS_BY_CODE.get(refused.code, _UNAVAILABLE_STATUS)
    if status == _UNAVAILABLE_STATUS:
        return unavailable_reply(
            refused.code,
            refused.return_after_s or retry_after_s(0, rng),
            refused.detail,
        )
    return error_reply(status, refused.code, Outcome.NOT_RUN, refused.detail)


def failure_reply(
    failed: AttemptFailedError,
    rng: random.Random,
) -> web.Response:
    """Build the response to a request whose attempts failed.

    Parameters
    ----------
    failed
        How the request failed.
    rng
        Source of the jitter of ``Retry-After``.

    Returns
    -------
    aiohttp.web.Response
        A refusal if the request did not run, else a response with the outcome
        "unknown".
    """
    if failed.outcome is Outcome.NOT_RUN:
        return unavailable_reply(
            failed.code,
            retry_after_s(0, rng),
            failed.detail,
        )
    return error_reply(
        _GATEWAY_TIMEOUT_STATUS,
        failed.code,
        failed.outcome,
        failed.detail,
    )


def unknown_reply(refused: RequestRefusedError) -> web.Response:
    """Build the response to a refused copy of a request with a key.

    Parameters
    ----------
    refused
        Why this copy was refused.

    Returns
    -------
    aiohttp.web.Response
        A response with the outcome "unknown": only the entry that owns the
        idempotency key knows the results of the other copies.
    """
    return error_reply(
        _STATUS_BY_CODE.get(refused.code, _UNAVAILABLE_STATUS),
        refused.code,
        Outcome.UNKNOWN,
        refused.detail,
    )


def error_reply(
    status: int,
    code: ResultCode,
    outcome: Outcome,
    detail: str = '',
) -> web.Response:
    """Build an error response that says whether the request ran.

    Parameters
    ----------
    status
        HTTP status.
    code
        Numbered reason.
    outcome
        Whether the request ran, certainly did not run, or may have run.
    detail
        The allowed values, or what happened.

    Returns
    -------
    aiohttp.web.Response
        The response.
    """
    body = ErrorBody(int(code), code.name.lower(), outcome, detail)
    headers = {OUTCOME_HEADER: outcome.value, CODE_HEADER: str(int(code))}
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        headers=headers,
        content_type='application/json',
    )


def unavailable_reply(
    code: ResultCode,
    after_s: int,
    detail: str = '',
) -> web.Response:
    """Build a refusal that says when to retry.

    Parameters
    ----------
    code
        Numbered reason.
    after_s
        When to retry, in whole seconds.
    detail
        The allowed values, or what happened.

    Returns
    -------
    aiohttp.web.Response
        The response, with ``Retry-After``.
    """
    reply = error_reply(_UNAVAILABLE_STATUS, code, Outcome.NOT_RUN, detail)
    reply.headers[_RETRY_AFTER] = str(after_s)
    return reply
