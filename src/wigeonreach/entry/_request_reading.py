"""Read a caller's request whole and check it before anything runs."""

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
_SERVICE_PREFIX_PARTS = 3
_BROKEN_BODY_ERRORS = (
    aiohttp.ClientError,
    http_exceptions.HttpProcessingError,
    web.RequestPayloadError,
    OSError,
)
_OTHER_TEAMS = Team(name='', weight=1.0, quota_processors=0, urgent_ratio=0)


async def read_request(
    request: web.Request,
    text: FleetText | None,
    now_s: float,
) -> CallerRequest:
    """Return a caller's request once it is whole and valid.

    Parameters
    ----------
    request
        What the caller sends to ``/s/SERVICE/...``.
    text
        The text in force, if any.
    now_s
        Monotonic time at which the request's head was read, in seconds.

    Returns
    -------
    CallerRequest
        The checked request.

    Raises
    ------
    RequestRefusedError
        If anything is wrong; nothing ran then.
    """
    if text is None:
        raise RequestRefusedError(ResultCode.REQUEST_CONFIG_NOT_READY, '')
    service = _find_service(request, text)
    due_s = now_s + _deadline_s(request, service)
    team = _find_team(request, text)
    urgent = request.headers.get(URGENT_HEADER, '0')
    if urgent not in _URGENT_VALUES:
        raise _bad_header(URGENT_HEADER, '0 or 1')
    return CallerRequest(
        service=service,
        method=request.method,
        path=_path_at_target(request),
        headers=_forwarded(request),
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
    # A caller can't win shares by inventing names.
    return text.teams.get(name, _OTHER_TEAMS)


def _deadline_s(request: web.Request, service: Service) -> float:
    asked = request.headers.get(DEADLINE_HEADER)
    if asked is None:
        return service.deadline_s
    if not (asked.isascii() and asked.isdecimal() and len(asked) < 10):
        raise _bad_header(DEADLINE_HEADER, 'whole milliseconds')
    return min(int(asked) / _MS_PER_S, service.deadline_s)


def body_bound_bytes(request: web.Request, max_bytes: int) -> int:
    """Return the largest size that a request's body can have.

    Parameters
    ----------
    request
        What the caller sends.
    max_bytes
        Largest body that is allowed.

    Returns
    -------
    int
        The size that the caller declares, else the largest allowed.

    Raises
    ------
    RequestRefusedError
        If the caller declares more than is allowed.
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
            # It came whole with the head: a timer would only cost time.
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
    except _BROKEN_BODY_ERRORS as broken:
        raise RequestRefusedError(
            ResultCode.REQUEST_BODY_INCOMPLETE,
            type(broken).__name__,
        ) from None


def _path_at_target(request: web.Request) -> str:
    # The caller's own escapes are kept: the target decodes them, not we.
    parts = request.raw_path.split('/', maxsplit=_SERVICE_PREFIX_PARTS)
    return '/{0}'.format(parts[_SERVICE_PREFIX_PARTS])


def _forwarded(request: web.Request) -> dict[str, str]:
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
