"""Take the calls of workers and operators."""

from __future__ import annotations

import re

from wigeonreach.core import Core
from wigeonreach.exceptions import FleetTextError, RequestRefusedError
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.platform._http import HttpReply, HttpRequest, error_reply
from wigeonreach.platform._manifest import decode_manifest, decode_wave
from wigeonreach.platform._replies import http_reply
from wigeonreach.platform._workers import decode_farewell, decode_heartbeat
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

# Callers go on to another process after 1 s.
_TIMEOUT_S = 0.92
_HEARTBEAT = '/Instances.Heartbeat/'
_LEAVE = '/Instances.Deregister/'
_READ_WAVE = '/wave-get/'
_WAVE = re.compile('[0-9]{1,15}')
_UNAVAILABLE = 503


class ControlApi:
    """Translate requests into calls.

    Parameters
    ----------
    core
        Who answers them.
    asks_credentials
        Whether a manifest without workspaces lets nobody in, instead of all.
    logger, metrics
        Where refusals are logged and counted.
    """

    def __init__(
        self,
        core: Core,
        asks_credentials: bool,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Keep the core process."""
        self._core = core
        self._asks_credentials = asks_credentials
        self._log = logger
        self._metrics = metrics

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answer one request."""
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
            # The caller asks another process; each call has one effect.
            return HttpReply(_UNAVAILABLE, b'{"error":"outcome-unknown"}')
        return http_reply(reply)

    def _decode(self, request: HttpRequest) -> AnyCall | None:
        if request.method == 'GET':
            return _decode_read(request)
        path = request.path
        if path.startswith(_HEARTBEAT):
            worker_id = path.removeprefix(_HEARTBEAT)
            return HearWorker(decode_heartbeat(worker_id, request.body))
        if path.startswith(_LEAVE):
            leaving_id = path.removeprefix(_LEAVE)
            return DropWorker(decode_farewell(leaving_id, request.body))
        if path == '/Config.Replace':
            return PutManifest(
                decode_manifest(request.body, self._asks_credentials),
            )
        if path == '/wave-start':
            return decode_wave(request.body)
        return None


def _decode_read(request: HttpRequest) -> AnyCall | None:
    if request.path == '/Config.Read':
        return ReadManifest()
    wave = request.path.removeprefix(_READ_WAVE)
    if wave != request.path and _WAVE.fullmatch(wave):
        return ReadWave(int(wave))
    return None
