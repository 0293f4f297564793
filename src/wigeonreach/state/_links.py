"""Send messages to the other replicas, dropping what can't be sent."""

from __future__ import annotations

import asyncio
import collections

import mode

from wigeonreach.exceptions import WireError
from wigeonreach.observe import LogEvent, Logger
from wigeonreach.wire import Channel, Member, connect
from wigeonreach.wire._raft_messages import RaftMessage

_RETRY_S = 0.1
_SEND_TIMEOUT_S = 2.0
_WAITING_MESSAGES = 512


class Link(mode.Service):
    """One outgoing connection; the agreement repeats what is lost.

    Parameters
    ----------
    member
        Where the replica listens.
    logger
        Where events are logged.
    """

    def __init__(self, member: Member, logger: Logger) -> None:
        """Connect once started."""
        super().__init__()
        self._member = member
        self._log = logger
        self._waiting: collections.deque[RaftMessage] = collections.deque(
            maxlen=_WAITING_MESSAGES,
        )
        self._has_message = asyncio.Event()

    def post(self, message: RaftMessage) -> None:
        """Send a message soon; the oldest is dropped if too many wait."""
        self._waiting.append(message)
        self._has_message.set()

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                await self._send_all()
            except (WireError, OSError, TimeoutError):
                self._waiting.clear()
                await self.sleep(_RETRY_S)

    async def _send_all(self) -> None:
        channel = await connect(self._member.address)
        try:
            await self._send_over(channel)
        except (OSError, TimeoutError):
            self._log.warning(
                LogEvent.FOLLOWER_LOST,
                replica=self._member.name,
            )
            raise
        finally:
            await channel.close()

    async def _send_over(self, channel: Channel) -> None:
        while not self.should_stop:
            await self._has_message.wait()
            self._has_message.clear()
            while self._waiting:
                async with asyncio.timeout(_SEND_TIMEOUT_S):
                    await channel.send(self._waiting.popleft())
