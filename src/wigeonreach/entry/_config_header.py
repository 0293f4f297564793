"""Tell callers which version answers them, and heed what they have seen."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._config import ConfigFollower
from wigeonreach.entry._replies import error_reply
from wigeonreach.observe import Metrics

VERSION_HEADER = 'X-Config-Version'
_VERSION_KEY = web.RequestKey('config_version', int)
_CATCH_UP_S = 1.0
_MAX_DIGITS = 18
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def tell_versions(
    application: web.Application,
    config: ConfigFollower,
    metrics: Metrics,
) -> None:
    """Have an application tell on each answer the version it acted on.

    A request may carry the version that its caller has seen; an entry that
    is behind it waits a moment and then refuses.

    Parameters
    ----------
    application
        The application; call this before it is started.
    config
        The text in force.
    metrics
        Counts refusals.
    """

    @web.middleware
    async def heed(  # noqa: WPS430 - aiohttp wants a callback of two arguments
        request: web.Request,
        handler: _Handler,
    ) -> web.StreamResponse:
        refusal = await _check_seen(request, config)
        request[_VERSION_KEY] = config.version
        if refusal is not None:
            metrics.count('config_refused', str(refusal.status))
            return refusal
        return await handler(request)

    application.middlewares.append(heed)
    application.on_response_prepare.append(_add_header)


async def _add_header(
    request: web.Request,
    response: web.StreamResponse,
) -> None:
    version = request.get(_VERSION_KEY)
    if version:
        response.headers[VERSION_HEADER] = str(version)


async def _check_seen(
    request: web.Request,
    config: ConfigFollower,
) -> web.Response | None:
    seen = request.headers.get(VERSION_HEADER)
    if seen is None:
        return None
    if not seen.isdecimal() or len(seen) > _MAX_DIGITS:
        return error_reply(
            400,
            ResultCode.REQUEST_BAD_HEADER,
            Outcome.NOT_RUN,
            f'{VERSION_HEADER}: {seen!r}; allowed: a version',
        )
    if await config.wait_version(int(seen), _CATCH_UP_S):
        return None
    return error_reply(
        503,
        ResultCode.REQUEST_CONFIG_NOT_READY,
        Outcome.NOT_RUN,
        f'version {config.version} in force here, {seen} seen',
    )
