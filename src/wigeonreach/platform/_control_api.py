"""Serve the HTTP API for workers and operators."""

from __future__ import annotations

import re

from wigeonreach.core import Core
from wigeonreach.exceptions import FleetTextError, RequestRefusedError
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.platform._http import HttpReply, HttpRequest, error_reply
from wigeonreach.platform._manifest import decode_manifest, decode_wave
from wigeonreach.platform._replies import http_reply
from wigeonreach.platform._workers import (
    decode_deregistration,
    decode_heartbeat,
)
from wigeonreach.wire._call_messages import (
    AnyCall,
    DropWorker,
    HearWorker,
    PutManifest,
    ReadManifest,
    ReadWave,
)
from wigeonreach.wire._call_replies import (
    Unknown,
)

# Callers retry at another process after 1 s.
_TIMEOUT_S = 0.92
_HEARTBEAT_PREFIX = '/Instances.Heartbeat/'
_DEREGISTER_PREFIX = '/Instances.Deregister/'
_READ_WAVE_PREFIX = '/wave-get/'
_WAVE_NUMBER_PATTERN = re.compile('[0-9]{1,15}')
_UNAVAILABLE = 503


class ControlApi:
    """Translate requests of workers and operators into calls to the core.

    Parameters
    ----------
    core
        Answers the calls.
    requires_credentials
        Whether a manifest without workspaces rejects all clients, except those
        of public queues, instead of accepting all.
    logger, metrics
        Record refused heartbeats.
    """

    def __init__(
        self,
        core: Core,
        requires_credentials: bool,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Create a handler that calls the core."""
        self._core = core
        self._requires_credentials = requires_credentials
        self._log = logger
        self._metrics = metrics

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Return the response to a request."""
        try:
            call = self._decode(request)
        except RequestRefusedError as refused:
            self._metrics.count('heartbeats_refused')
            self._log.warning(LogEvent.HEARTBEAT_REFUSED, reason=refused.detail)
            return error_reply(400, refused)
        except FleetTextError as error:
            return error_reply(400, error)
        if call is None:
            return HttpReply(404, b'{}')
        reply = await self._core.call(call, _TIMEOUT_S)
        if isinstance(reply, Unknown):
            # Unlike a client, the caller retries at another process whether or
            # not the call has run; calls are idempotent.
            return HttpReply(_UNAVAILABLE, b'{"error":"outcome-unknown"}')
        return http_reply(reply)

    def _decode(self, request: HttpRequest) -> AnyCall | None:
        if request.method == 'GET':
            return _decode_read(request)
        path = request.path
        if path.startswith(_HEARTBEAT_PREFIX):
            worker_id = path.removeprefix(_HEARTBEAT_PREFIX)
            return HearWorker(decode_heartbeat(worker_id, request.body))
        if path.startswith(_DEREGISTER_PREFIX):
            leaving_id = path.removeprefix(_DEREGISTER_PREFIX)
            return DropWorker(decode_deregistration(leaving_id, request.body))
        if path == '/Config.Replace':
            return PutManifest(
                decode_manifest(request.body, self._requires_credentials),
            )
        if path == '/wave-start':
            return decode_wave(request.body)
        return None


def _decode_read(request: HttpRequest) -> AnyCall | None:
    if request.path == '/Config.Read':
        return ReadManifest()
    wave = request.path.removeprefix(_READ_WAVE_PREFIX)
    if wave != request.path and _WAVE_NUMBER_PATTERN.fullmatch(wave):
        return ReadWave(int(wave))
    return None
