"""Keep one channel to one core process."""

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

# Core processes tell several times a second who leads, so a channel on which
# nothing comes for longer has gone silent.
_SILENCE_S = 1.2
_CONNECT_TIMEOUT_S = 0.6
_FIRST_RETRY_S = 0.1
_LONGEST_RETRY_S = 1.0


class CoreLink(mode.Service):
    """One channel, opened again whenever it breaks.

    Parameters
    ----------
    core
        Address of the core process, which is also its name.
    process
        Name of this process.
    on_change
        Called when the channel opens or closes, or tells something new.
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
        """Connect once started."""
        super().__init__()
        self.core = core
        self.notice: CoreNotice | None = None
        self.noticed_s = float('-inf')
        self._process = process
        self._on_change = on_change
        self._log = logger
        self._channel: Channel | None = None
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[AnyReply | None]] = {}
        self._failures = 0

    @property
    def is_open(self) -> bool:
        """Whether the core process is heard."""
        return self._channel is not None and self.notice is not None

    async def call(
        self,
        call: AnyCall,
        hops_left: int,
        timeout_s: float,
    ) -> AnyReply | None:
        """Make a call.

        Returns
        -------
        AnyReply or None
            None if no reply came: the call may have had its effect.
        """
        channel = self._channel
        if channel is None:
            return None
        number = next(self._numbers)
        reply: asyncio.Future[AnyReply | None] = asyncio.Future()
        self._waiting[number] = reply
        channel.post(CallRequest(number, hops_left, call))
        try:
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(number, None)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                channel = await connect(
                    parse_address(self.core, 'core'),
                    _CONNECT_TIMEOUT_S,
                )
            except WireError as error:
                await self._wait_after(error)
                continue
            await self._serve(channel)

    async def _wait_after(self, error: WireError) -> None:
        if self._failures == 0:
            self._log.warning(
                LogEvent.CORE_UNREACHABLE,
                core=self.core,
                reason=str(error),
            )
        self._failures += 1
        doubled_s = _FIRST_RETRY_S * 2 ** min(self._failures, 5)
        await self.sleep(min(doubled_s, _LONGEST_RETRY_S))

    async def _serve(self, channel: Channel) -> None:
        self._channel = channel
        reason = ''
        try:
            await channel.send(CoreHello(self._process))
            await self._listen(channel)
        except (WireError, OSError, TimeoutError) as error:
            reason = str(error) or 'silent'
        finally:
            self._lose(channel, reason)
        with contextlib.suppress(OSError):
            await channel.close()

    async def _listen(self, channel: Channel) -> None:
        while not self.should_stop:
            async with asyncio.timeout(_SILENCE_S):
                message = await channel.receive()
            if isinstance(message, CoreNotice):
                self._take_notice(message)
            elif isinstance(message, CallReply):
                self._settle(message)

    def _take_notice(self, notice: CoreNotice) -> None:
        if not self.is_open:
            self._failures = 0
            self._log.info(LogEvent.CORE_CONNECTED, core=self.core)
        is_news = notice != self.notice
        self.notice = notice
        self.noticed_s = time.monotonic()
        if is_news:
            self._on_change()

    def _settle(self, message: CallReply) -> None:
        reply = self._waiting.get(message.number)
        if reply is not None and not reply.done():
            reply.set_result(message.reply)

    def _lose(self, channel: Channel, reason: str) -> None:
        channel.abort()
        if self.is_open:
            self._log.warning(
                LogEvent.CORE_LOST,
                core=self.core,
                reason=reason,
                in_flight=len(self._waiting),
                at_s=round(time.monotonic(), 3),
            )
        self._channel = None
        self.notice = None
        for reply in self._waiting.values():
            if not reply.done():
                reply.set_result(None)
        self._on_change()
