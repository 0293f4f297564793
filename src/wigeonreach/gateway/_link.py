"""Connection to one core process."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable

import mode

from wigeonreach.exceptions import WireError
from wigeonreach.observe import LogEvent, Logger
from wigeonreach.wire import Channel, connect, parse_address
from wigeonreach.wire._call_messages import (
    AnyCall,
    CallReply,
    CallRequest,
    CoreHello,
    CoreNotice,
)
from wigeonreach.wire._call_replies import AnyReply

# Core processes send a notice several times a second, so a channel that receives
# nothing for this long is considered broken.
_IDLE_TIMEOUT_S = 1.2
_CONNECT_TIMEOUT_S = 0.6
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0


class CoreLink(mode.Service):
    """A channel to a core process that reconnects whenever it breaks.

    Parameters
    ----------
    core
        Address of the core process, which is also its name.
    process
        Name of this process.
    on_change
        Called when the link opens or closes, or a notice has changed.
    logger
        Where events are logged.
    """

    def __init__(
        self,
        core: str,
        process: str,
        on_change: Callable[[], None],
        logger: Logger,
    ) -> None:
        """Create a link; the connection is opened on start."""
        super().__init__()
        self.core = core
        self.notice: CoreNotice | None = None
        self.notice_received_s = float('-inf')
        self._process = process
        self._on_change = on_change
        self._log = logger
        self._channel: Channel | None = None
        self._call_numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[AnyReply | None]] = {}
        self._failures = 0

    @property
    def is_open(self) -> bool:
        """Whether the channel is open and a notice was received on it."""
        return self._channel is not None and self.notice is not None

    async def call(
        self,
        call: AnyCall,
        hops_left: int,
        timeout_s: float,
    ) -> AnyReply | None:
        """Send a call and wait for its reply.

        Parameters
        ----------
        call
            The call to make.
        hops_left
            How many times it may be forwarded.
        timeout_s
            How long to wait for the reply, in seconds.

        Returns
        -------
        AnyReply or None
            None if no reply arrived; the call may have had an effect.
        """
        channel = self._channel
        if channel is None:
            return None
        number = next(self._call_numbers)
        reply: asyncio.Future[AnyReply | None] = asyncio.Future()
        self._pending[number] = reply
        channel.post(CallRequest(number, hops_left, call))
        try:
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError:
            return None
        finally:
            self._pending.pop(number, None)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                channel = await connect(
                    parse_address(self.core, 'core'),
                    _CONNECT_TIMEOUT_S,
                )
            except WireError as error:
                await self._back_off(error)
                continue
            await self._use_channel(channel)

    async def _back_off(self, error: WireError) -> None:
        if self._failures == 0:
            self._log.warning(
                LogEvent.CORE_UNREACHABLE,
                core=self.core,
                reason=str(error),
            )
        self._failures += 1
        backoff_s = _MIN_BACKOFF_S * 2 ** min(self._failures, 5)
        await self.sleep(min(backoff_s, _MAX_BACKOFF_S))

    async def _use_channel(self, channel: Channel) -> None:
        self._channel = channel
        reason = ''
        try:
            await channel.send(CoreHello(self._process))
            await self._receive_messages(channel)
        except (WireError, OSError, TimeoutError) as error:
            reason = str(error) or 'silent'
        finally:
            self._drop_channel(channel, reason)
        with contextlib.suppress(OSError):
            await channel.close()

    async def _receive_messages(self, channel: Channel) -> None:
        while not self.should_stop:
            async with asyncio.timeout(_IDLE_TIMEOUT_S):
                message = await channel.receive()
            if isinstance(message, CoreNotice):
                self._handle_notice(message)
            elif isinstance(message, CallReply):
                self._resolve_call(message)

    def _handle_notice(self, notice: CoreNotice) -> None:
        if not self.is_open:
            self._failures = 0
            self._log.info(LogEvent.CORE_CONNECTED, core=self.core)
        has_changed = notice != self.notice
        self.notice = notice
        self.notice_received_s = time.monotonic()
        if has_changed:
            self._on_change()

    def _resolve_call(self, message: CallReply) -> None:
        reply = self._pending.get(message.number)
        if reply is not None and not reply.done():
            reply.set_result(message.reply)

    def _drop_channel(self, channel: Channel, reason: str) -> None:
        channel.abort()
        if self.is_open:
            self._log.warning(
                LogEvent.CORE_LOST,
                core=self.core,
                reason=reason,
                in_flight=len(self._pending),
                at_s=round(time.monotonic(), 3),
            )
        self._channel = None
        self.notice = None
        for reply in self._pending.values():
            if not reply.done():
                reply.set_result(None)
        self._on_change()
