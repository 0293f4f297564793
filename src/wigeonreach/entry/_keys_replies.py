"""Build the responses for issued keys and for requests with keys."""

from __future__ import annotations

import random
from types import MappingProxyType
from typing import Final

import msgspec
from aiohttp import web

from wigeonreach.codes import ResultCode
from wigeonreach.entry._replies import (
    error_reply,
    failure_reply,
    target_reply,
)
from wigeonreach.entry._results import KeyResult
from wigeonreach.exceptions import AttemptFailedError

_STATUS_BY_CODE: Final = MappingProxyType(
    {
        ResultCode.REQUEST_KEY_IN_PROGRESS: 409,
        ResultCode.REQUEST_KEY_EXPIRED: 410,
        ResultCode.REQUEST_ANSWER_FORGOTTEN: 410,
        ResultCode.REQUEST_KEY_INVALID: 400,
        ResultCode.REQUEST_KEY_MISMATCH: 422,
    },
)


class IssuedKeyBody(msgspec.Struct, frozen=True):
    """JSON body of the response to ``POST /v1/keys/SERVICE``."""

    key: str


def issued_reply(key: str) -> web.Response:
    """Build the response that returns a new key.

    Parameters
    ----------
    key
        Text of the key.

    Returns
    -------
    aiohttp.web.Response
        The response.
    """
    return web.Response(
        status=201,
        body=msgspec.json.encode(IssuedKeyBody(key)),
        content_type='application/json',
    )


def key_reply(result: KeyResult, rng: random.Random) -> web.Response:
    """Build the response to a request with a key.

    Parameters
    ----------
    result
        How the request ended.
    rng
        Randomizes ``Retry-After``.

    Returns
    -------
    aiohttp.web.Response
        The target's response, or an error that tells how the request ended.
    """
    if result.answer is not None:
        return target_reply(result.answer)
    status = _STATUS_BY_CODE.get(result.code)
    if status is not None:
        return error_reply(status, result.code, result.outcome, result.detail)
    return failure_reply(
        AttemptFailedError(result.code, result.outcome, result.detail),
        rng,
    )
