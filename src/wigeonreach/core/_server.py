"""Talk to the other processes over channels."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import mode

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

# Several in the time after which a silent channel is given up (1.2 s).
_NOTICE_S = 0.4


class CoreServer(mode.Service):
    """Take messages of replicas and calls of all processes.

    Parameters
    ----------
    listen
        Where to listen.
    notice
        Returns what others are to know now.
    on_replica
        Takes a message between replicas.
    on_call
        Answers a call that may be passed on so often.
    """

    def __init__(
        self,
        listen: Address,
        notice: Callable[[], CoreNotice],
        on_replica: Callable[[RaftMessage], None],
        on_call: Callable[[AnyCall, int], Awaitable[AnyReply]],
    ) -> None:
        """Listen once started."""
        super().__init__()
        self._listen = listen
        self._notice = notice
        self._on_replica = on_replica
        self._on_call = on_call
        self._server: asyncio.Server | None = None
        self._open: set[Channel] = set()
        self._told: set[Channel] = set()
        self._calls: set[asyncio.Task[None]] = set()

    async def on_start(self) -> None:
        """Listen."""
        self._server = await serve(self._listen, self._on_channel)

    async def on_stop(self) -> None:
        """Stop listening and drop all channels."""
        if self._server is not None:
            self._server.close()
        # Those of replicas too, which would go on sending to who is gone.
        for channel in self._open:
            channel.abort()

    def tell(self) -> None:
        """Send the notice to everybody now."""
        notice = self._notice()
        for channel in self._told:
            channel.post(notice)

    @mode.Service.timer(_NOTICE_S)
    async def _tell_regularly(self) -> None:
        self.tell()

    async def _on_channel(self, channel: Channel) -> None:
        self._open.add(channel)
        try:
            while True:
                await self._on_message(channel, await channel.receive())
        finally:
            self._open.discard(channel)
            self._told.discard(channel)

    async def _on_message(self, channel: Channel, message: object) -> None:
        match message:
            case RaftMessage():
                self._on_replica(message)
            case LinkProbe():
                channel.post(LinkEcho())
            case CoreHello():
                self._told.add(channel)
                channel.post(self._notice())
            case CallRequest():
                task = asyncio.create_task(self._answer(channel, message))
                self._calls.add(task)
                task.add_done_callback(self._calls.discard)

    async def _answer(self, channel: Channel, request: CallRequest) -> None:
        reply = await self._on_call(request.call, request.hops_left)
        channel.post(CallReply(request.number, reply))
