"""Build the answers that callers receive."""

from __future__ import annotations

import random
from types import MappingProxyType

import msgspec
from aiohttp import web

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._admission import return_after_s
from wigeonreach.entry._attempt import TargetAnswer
from wigeonreach.exceptions import AttemptFailedError, RequestRefusedError

OUTCOME_HEADER = 'X-Outcome'
CODE_HEADER = 'X-Result-Code'
_CONTENT_TYPE = 'Content-Type'
_CONTENT_ENCODING = 'Content-Encoding'
_RETRY_AFTER = 'Retry-After'
_BUSY_STATUS = 503
_LOST_STATUS = 504
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
    """JSON body of every answer that is not a target's."""

    code: int
    name: str
    outcome: Outcome
    detail: str


def target_reply(answer: TargetAnswer) -> web.Response:
    """Pass a target's whole answer on.

    Parameters
    ----------
    answer
        What the target answered.

    Returns
    -------
    aiohttp.web.Response
        The answer, marked as run.
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
    """Build the answer to a request that truly did not run.

    Parameters
    ----------
    refused
        Why it was refused.
    rng
        Spreads ``Retry-After``.

    Returns
    -------
    aiohttp.web.Response
        The answer; it says when to come back if that can help.
    """
    status = _STATUS_BY_CODE.get(refused.code, _BUSY_STATUS)
    if status == _BUSY_STATUS:
        return busy_reply(
            refused.code,
            refused.return_after_s or return_after_s(0, rng),
            refused.detail,
        )
    return error_reply(status, refused.code, Outcome.NOT_RUN, refused.detail)


def failure_reply(
    failed: AttemptFailedError,
    rng: random.Random,
) -> web.Response:
    """Build the answer to a request whose last attempt failed.

    Parameters
    ----------
    failed
        How it failed.
    rng
        Spreads ``Retry-After``.

    Returns
    -------
    aiohttp.web.Response
        A refusal if it did not run, else an answer that says "unknown".
    """
    if failed.outcome is Outcome.NOT_RUN:
        return busy_reply(
            failed.code,
            return_after_s(0, rng),
            failed.detail,
        )
    return error_reply(
        _LOST_STATUS,
        failed.code,
        failed.outcome,
        failed.detail,
    )


def unknown_reply(refused: RequestRefusedError) -> web.Response:
    """Build the answer to a refused copy of a request with a key.

    Parameters
    ----------
    refused
        Why this copy was refused.

    Returns
    -------
    aiohttp.web.Response
        An answer that says "unknown": only the owner of the key knows what
        became of the other copies.
    """
    return error_reply(
        _STATUS_BY_CODE.get(refused.code, _BUSY_STATUS),
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
    """Build an answer that says whether the request ran.

    Parameters
    ----------
    status
        HTTP status.
    code
        Numbered reason.
    outcome
        Whether the work ran, truly did not run, or may have run.
    detail
        What is allowed, or what happened.

    Returns
    -------
    aiohttp.web.Response
        The answer.
    """
    body = ErrorBody(int(code), code.name.lower(), outcome, detail)
    headers = {OUTCOME_HEADER: outcome.value, CODE_HEADER: str(int(code))}
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        headers=headers,
        content_type='application/json',
    )


def busy_reply(
    code: ResultCode,
    after_s: int,
    detail: str = '',
) -> web.Response:
    """Build a refusal that says when to come back.

    Parameters
    ----------
    code
        Numbered reason.
    after_s
        When to come back, in whole seconds.
    detail
        What is allowed, or what happened.

    Returns
    -------
    aiohttp.web.Response
        The answer, with ``Retry-After``.
    """
    reply = error_reply(_BUSY_STATUS, code, Outcome.NOT_RUN, detail)
    reply.headers[_RETRY_AFTER] = str(after_s)
    return reply
