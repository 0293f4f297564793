"""Read and validate a caller's request before it is dispatched."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import http_exceptions, web

from wigeonreach.codes import ResultCode
from wigeonreach.entry._request import CallerRequest
from wigeonreach.exceptions import RequestRefusedError
from wigeonreach.text import FleetText, Service, Team

DEADLINE_HEADER = 'X-Deadline-Ms'
TEAM_HEADER = 'X-Team'
URGENT_HEADER = 'X-Urgent'
KEY_HEADER = 'Idempotency-Key'
_CONTENT_TYPE = 'Content-Type'
_FORWARDED_PREFIX = 'x-'
_URGENT_VALUES = frozenset(('0', '1'))
_MAX_TEAM_CHARACTERS = 63
_MS_PER_S = 1000
_PATH_PREFIX_PARTS = 3
_BODY_ERRORS = (
    aiohttp.ClientError,
    http_exceptions.HttpProcessingError,
    web.RequestPayloadError,
    OSError,
)
_UNLISTED_TEAM = Team(name='', weight=1.0, quota_processors=0, urgent_ratio=0)


async def read_request(
    request: web.Request,
    text: FleetText | None,
    now_s: float,
) -> CallerRequest:
    """Read a caller's request completely and validate it.

    Parameters
    ----------
    request
        The HTTP request to ``/s/SERVICE/...``.
    text
        The fleet configuration in force, if any.
    now_s
        Monotonic time at which the request's head was read, in seconds.

    Returns
    -------
    CallerRequest
        The validated request.

    Raises
    ------
    RequestRefusedError
        If the request is invalid or incomplete; it did not run.
    """
    if text is None:
        raise RequestRefusedError(ResultCode.REQUEST_CONFIG_NOT_READY, '')
    service = _find_service(request, text)
    due_s = now_s + _timeout_s(request, service)
    team = _find_team(request, text)
    urgent = request.headers.get(URGENT_HEADER, '0')
    if urgent not in _URGENT_VALUES:
        raise _bad_header(URGENT_HEADER, '0 or 1')
    return CallerRequest(
        service=service,
        method=request.method,
        path=_target_path(request),
        headers=_forwarded_headers(request),
        body=await _read_body(request, due_s - now_s),
        team=team.name,
        weight=team.weight,
        is_urgent=urgent == '1',
        key=request.headers.get(KEY_HEADER, ''),
        due_s=due_s,
    )


def _find_service(request: web.Request, text: FleetText) -> Service:
    name = request.match_info['service']
    service = text.services.get(name)
    if service is None:
        raise RequestRefusedError(
            ResultCode.REQUEST_UNKNOWN_SERVICE,
            'allowed: a service of the text in force',
        )
    return service


def _find_team(request: web.Request, text: FleetText) -> Team:
    name = request.headers.get(TEAM_HEADER, '')
    if len(name) > _MAX_TEAM_CHARACTERS:
        raise _bad_header(TEAM_HEADER, f'{_MAX_TEAM_CHARACTERS} characters')
    # Teams that are not configured share one weight, so that a caller can't
    # gain capacity by inventing team names.
    return text.teams.get(name, _UNLISTED_TEAM)


def _timeout_s(request: web.Request, service: Service) -> float:
    requested = request.headers.get(DEADLINE_HEADER)
    if requested is None:
        return service.deadline_s
    if not (
        requested.isascii() and requested.isdecimal() and len(requested) < 10
    ):
        raise _bad_header(DEADLINE_HEADER, 'whole milliseconds')
    return min(int(requested) / _MS_PER_S, service.deadline_s)


def max_body_size_bytes(request: web.Request, max_bytes: int) -> int:
    """Return the largest possible size of a request's body, in bytes.

    Parameters
    ----------
    request
        The HTTP request.
    max_bytes
        Largest allowed size, in bytes.

    Returns
    -------
    int
        The declared ``Content-Length``, or ``max_bytes`` without one; 0 if
        the request has no body.

    Raises
    ------
    RequestRefusedError
        If the declared size is larger than allowed.
    """
    if not request.body_exists:
        return 0
    declared = request.content_length
    if declared is None:
        return max_bytes
    if declared > max_bytes:
        raise RequestRefusedError(
            ResultCode.REQUEST_TOO_LARGE,
            f'allowed: {max_bytes} bytes',
        )
    return declared


async def _read_body(request: web.Request, timeout_s: float) -> bytes:
    if not request.body_exists:
        return b''
    try:
        if request.content.is_eof():
            # The body arrived together with the head, so a timeout would only
            # add overhead.
            return await request.read()
        async with asyncio.timeout(timeout_s):
            return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise RequestRefusedError(
            ResultCode.REQUEST_TOO_LARGE,
            error.text or '',
        ) from None
    except TimeoutError:
        raise RequestRefusedError(
            ResultCode.REQUEST_BODY_INCOMPLETE,
            'allowed: the whole body within the deadline',
        ) from None
    except _BODY_ERRORS as error:
        raise RequestRefusedError(
            ResultCode.REQUEST_BODY_INCOMPLETE,
            type(error).__name__,
        ) from None


def _target_path(request: web.Request) -> str:
    # The caller's percent-encoding is kept; the target decodes the path.
    parts = request.raw_path.split('/', maxsplit=_PATH_PREFIX_PARTS)
    return '/{0}'.format(parts[_PATH_PREFIX_PARTS])


def _forwarded_headers(request: web.Request) -> dict[str, str]:
    return {
        name: field
        for name, field in request.headers.items()
        if name.lower().startswith(_FORWARDED_PREFIX) or name == _CONTENT_TYPE
    }


def _bad_header(name: str, allowed: str) -> RequestRefusedError:
    return RequestRefusedError(
        ResultCode.REQUEST_BAD_HEADER,
        f'{name}: allowed: {allowed}',
    )
