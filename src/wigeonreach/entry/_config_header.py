"""Exchange the configuration version with callers in an HTTP header."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._config import ConfigFollower
from wigeonreach.entry._replies import error_reply
from wigeonreach.observe import Metrics

VERSION_HEADER = 'X-Config-Version'
_VERSION_KEY = web.RequestKey('config_version', int)
_CATCH_UP_TIMEOUT_S = 1.0
_MAX_DIGITS = 18
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def tell_versions(
    application: web.Application,
    config: ConfigFollower,
    metrics: Metrics,
) -> None:
    """Add the configuration version to each response of an application.

    A request may carry the newest version that its caller has seen.  An entry
    with an older version waits up to a second for it, then refuses the
    request.

    Parameters
    ----------
    application
        The application, which must not have started yet.
    config
        Source of the active version.
    metrics
        Counters of refusals by HTTP status.
    """

    @web.middleware
    async def check_version(  # noqa: WPS430 - aiohttp wants a callback of two arguments
        request: web.Request,
        handler: _Handler,
    ) -> web.StreamResponse:
        refusal = await _refuse_if_behind(request, config)
        request[_VERSION_KEY] = config.version
        if refusal is not None:
            metrics.count('config_refused', str(refusal.status))
            return refusal
        return await handler(request)

    application.middlewares.append(check_version)
    application.on_response_prepare.append(_add_header)


async def _add_header(
    request: web.Request,
    response: web.StreamResponse,
) -> None:
    version = request.get(_VERSION_KEY)
    if version:
        response.headers[VERSION_HEADER] = str(version)


async def _refuse_if_behind(
    request: web.Request,
    config: ConfigFollower,
) -> web.Response | None:
    caller_version = request.headers.get(VERSION_HEADER)
    if caller_version is None:
        return None
    if not caller_version.isdecimal() or len(caller_version) > _MAX_DIGITS:
        return error_reply(
            400,
            ResultCode.REQUEST_BAD_HEADER,
            Outcome.NOT_RUN,
            f'{VERSION_HEADER}: {caller_version!r}; allowed: a version',
        )
    if await config.wait_version(int(caller_version), _CATCH_UP_TIMEOUT_S):
        return None
    return error_reply(
        503,
        ResultCode.REQUEST_CONFIG_NOT_READY,
        Outcome.NOT_RUN,
        f'version {config.version} in force here, {caller_version} seen',
    )
