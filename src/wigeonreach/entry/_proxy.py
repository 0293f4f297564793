"""Pass one request to a target and its whole answer back."""

from __future__ import annotations

import random
import time

import aiohttp
from aiohttp import web

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._config import ConfigFollower
from wigeonreach.entry._membership import Member, Membership
from wigeonreach.entry._replies import (
    CODE_HEADER,
    OUTCOME_HEADER,
    busy_reply,
    error_reply,
)
from wigeonreach.entry._routing import choose_target
from wigeonreach.entry._settings import EntrySettings
from wigeonreach.observe import Metrics
from wigeonreach.text import Service

_CONTENT_TYPE = 'Content-Type'


class Proxy:
    """Serve callers' requests.

    Parameters
    ----------
    settings
        Limits of this entry.
    config
        The text in force.
    membership
        The targets.
    metrics
        Counters of each refusal.
    rng
        Source of random choices.
    """

    def __init__(
        self,
        settings: EntrySettings,
        config: ConfigFollower,
        membership: Membership,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Keep what each request needs; no connection is opened yet."""
        self._settings = settings
        self._config = config
        self._membership = membership
        self._metrics = metrics
        self._rng = rng
        self._session: aiohttp.ClientSession | None = None
        self._sharers = len(settings.zone_peers) + 1
        self.in_flight = 0
        self.is_draining = False

    async def open(self) -> None:
        """Open the connections towards targets."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Close the connections towards targets."""
        if self._session is not None:
            await self._session.close()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one request.

        Parameters
        ----------
        request
            What the caller sent to ``/s/SERVICE/...``.

        Returns
        -------
        aiohttp.web.StreamResponse
            The target's answer, or a refusal.
        """
        started_s = time.monotonic()
        self.in_flight += 1
        try:
            reply = await self._answer(request)
        finally:
            self.in_flight -= 1
        if self.is_draining:
            reply.force_close()
        self._metrics.count('answers', reply.headers.get(CODE_HEADER, ''))
        self._metrics.observe_s('answer', time.monotonic() - started_s)
        return reply

    async def _answer(self, request: web.Request) -> web.Response:
        if self._config.text is None:
            return busy_reply(ResultCode.REQUEST_CONFIG_NOT_READY, self._rng)
        service = self._config.text.services.get(request.match_info['service'])
        if service is None:
            return error_reply(
                404,
                ResultCode.REQUEST_UNKNOWN_SERVICE,
                Outcome.NOT_RUN,
            )
        try:
            body = await request.read()
        except (aiohttp.ClientError, web.HTTPRequestEntityTooLarge):
            return error_reply(
                413,
                ResultCode.REQUEST_TOO_LARGE,
                Outcome.NOT_RUN,
                f'allowed: {self._settings.max_body_bytes} bytes',
            )
        return await self._dispatch(request, service, body)

    async def _dispatch(
        self,
        request: web.Request,
        service: Service,
        body: bytes,
    ) -> web.Response:
        members = self._membership.serving(service.name, time.monotonic())
        if not members:
            return busy_reply(ResultCode.REQUEST_NO_TARGET, self._rng)
        member = choose_target(members, self._sharers, self._rng)
        if member is None:
            return busy_reply(ResultCode.REQUEST_QUEUE_FULL, self._rng)
        member.in_flight += 1
        try:
            return await self._attempt(request, member, service, body)
        except aiohttp.ClientConnectorError:
            return busy_reply(
                ResultCode.REQUEST_TARGET_UNREACHABLE,
                self._rng,
            )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return error_reply(
                504,
                ResultCode.REQUEST_ANSWER_LOST,
                Outcome.UNKNOWN,
                type(error).__name__,
            )
        finally:
            member.in_flight -= 1

    async def _attempt(
        self,
        request: web.Request,
        member: Member,
        service: Service,
        body: bytes,
    ) -> web.Response:
        assert self._session is not None  # noqa: S101
        tail = request.match_info['tail']
        async with self._session.request(
            request.method,
            f'http://{member.record.address}/{tail}',
            data=body,
            headers=_forwarded(request),
            timeout=aiohttp.ClientTimeout(total=service.deadline_s),
        ) as answer:
            whole = await answer.read()
            headers = {
                OUTCOME_HEADER: Outcome.RAN.value,
                CODE_HEADER: str(int(ResultCode.OK)),
            }
            content_type = answer.headers.get(_CONTENT_TYPE)
            if content_type is not None:
                headers[_CONTENT_TYPE] = content_type
            return web.Response(
                status=answer.status,
                body=whole,
                headers=headers,
            )


def _forwarded(request: web.Request) -> dict[str, str]:
    return {
        name: text
        for name, text in request.headers.items()
        if name.lower().startswith('x-') or name == _CONTENT_TYPE
    }
