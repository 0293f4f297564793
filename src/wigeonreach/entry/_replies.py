"""Build the answers that an entry gives of its own."""

from __future__ import annotations

import random

import msgspec
from aiohttp import web

from wigeonreach.codes import Outcome, ResultCode

OUTCOME_HEADER = 'X-Outcome'
CODE_HEADER = 'X-Result-Code'
_RETRY_AFTER = 'Retry-After'
_RETRY_AFTER_SPREAD_S = 4


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body of every answer that is not a target's."""

    code: int
    name: str
    outcome: Outcome
    detail: str


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


def busy_reply(code: ResultCode, rng: random.Random) -> web.Response:
    """Build a refusal that says when to come back.

    Parameters
    ----------
    code
        Numbered reason.
    rng
        Spreads the time, so that callers do not return together.

    Returns
    -------
    aiohttp.web.Response
        The answer, with ``Retry-After`` in whole seconds.
    """
    reply = error_reply(503, code, Outcome.NOT_RUN)
    after_s = 1 + rng.randrange(_RETRY_AFTER_SPREAD_S)
    reply.headers[_RETRY_AFTER] = str(after_s)
    return reply
