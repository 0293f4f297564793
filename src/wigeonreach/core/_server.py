"""Server for messages between replicas and calls of other processes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import mode

from wigeonreach.observe import Logger
from wigeonreach.wire import Address, Channel, serve
from wigeonreach.wire._call_messages import (
    AnyCall,
    CallReply,
    CallRequest,
    CoreHello,
    CoreNotice,
)
from wigeonreach.wire._call_replies import AnyReply
from wigeonreach.wire._raft_messages import (
    LinkEcho,
    LinkProbe,
    RaftMessage,
)

# Several notices fit in the idle timeout of a channel (1.2 s).
_NOTICE_INTERVAL_S = 0.4


class CoreServer(mode.Service):
    """Accepts channels from replicas and from callers.

    Parameters
    ----------
    listen
        Address to listen on.
    notice
        Returns the current notice for subscribers.
    on_replica
        Called with a message between replicas.
    on_call
        Called with a call and the number of times it may be forwarded.
    logger
        Where messages that can't be read are logged.
    """

    def __init__(
        self,
        listen: Address,
        notice: Callable[[], CoreNotice],
        on_replica: Callable[[RaftMessage], None],
        on_call: Callable[[AnyCall, int], Awaitable[AnyReply]],
        logger: Logger,
    ) -> None:
        """Prepare; the server listens on start."""
        super().__init__()
        self._listen = listen
        self._notice = notice
        self._on_replica = on_replica
        self._on_call = on_call
        self._log = logger
        self._server: asyncio.Server | None = None
        self._channels: set[Channel] = set()
        self._subscribers: set[Channel] = set()
        self._call_tasks: set[asyncio.Task[None]] = set()

    async def on_start(self) -> None:
        """Start listening."""
        self._server = await serve(
            self._listen, self._on_channel, self._log.message_unreadable
        )

    async def on_stop(self) -> None:
        """Stop listening and abort all channels."""
        if self._server is not None:
            self._server.close()
        # Replica channels too, as their peers would keep sending to them.
        for channel in self._channels:
            channel.abort()

    def send_notices(self) -> None:
        """Send the current notice to all subscribers."""
        notice = self._notice()
        for channel in self._subscribers:
            channel.post(notice)

    @mode.Service.timer(_NOTICE_INTERVAL_S)
    async def _send_notices_regularly(self) -> None:
        self.send_notices()

    async def _on_channel(self, channel: Channel) -> None:
        self._channels.add(channel)
        try:
            while True:
                await self._on_message(channel, await channel.receive())
        finally:
            self._channels.discard(channel)
            self._subscribers.discard(channel)

    async def _on_message(self, channel: Channel, message: object) -> None:
        match message:
            case RaftMessage():
                self._on_replica(message)
            case LinkProbe():
                channel.post(LinkEcho())
            case CoreHello():
                self._subscribers.add(channel)
                channel.post(self._notice())
            case CallRequest():
                task = asyncio.create_task(self._answer(channel, message))
                self._call_tasks.add(task)
                task.add_done_callback(self._call_tasks.discard)

    async def _answer(self, channel: Channel, request: CallRequest) -> None:
        reply = await self._on_call(request.call, request.hops_left)
        channel.post(CallReply(request.number, reply))
