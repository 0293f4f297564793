"""Send messages to the other replicas, dropping what can't be sent."""

from __future__ import annotations

import asyncio
import collections
import time
from collections.abc import Iterable

import mode

from wigeonreach.exceptions import SettingError, WireError
from wigeonreach.observe import LogEvent, Logger
from wigeonreach.wire import Channel, Member, connect, parse_address
from wigeonreach.wire._raft_messages import LinkProbe, RaftMessage

_RETRY_S = 0.1
_SEND_TIMEOUT_S = 2.0
# What goes over a link is answered over another one, so only a probe shows
# that a connection went silent.  Three of them fit into the time after which
# it is given up, which is about that of an election.
_PROBE_S = 0.4
_SILENCE_S = 1.2
_WAITING_MESSAGES = 512
# A link to a replica that is gone for good is closed after this.
_UNUSED_S = 30.0


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
        self._is_heard = False
        self.used_s = time.monotonic()

    def post(self, message: RaftMessage) -> None:
        """Send a message soon; the oldest is dropped if too many wait."""
        self.used_s = time.monotonic()
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
            await self._use(channel)
        except (WireError, OSError, TimeoutError) as error:
            self._note_lost(str(error) or 'silent')
            # What still waits to be sent would hold a close up.
            channel.abort()
            raise
        finally:
            await channel.close()

    async def _use(self, channel: Channel) -> None:
        """Send over a connection until it fails or goes silent."""
        work = (self._send_over, self._probe, self._listen)
        tasks = [asyncio.create_task(one(channel)) for one in work]
        try:
            done, _ = await asyncio.wait(
                tasks,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for ended in done:
                ended.result()
        finally:
            await _cancel_all(tasks)

    async def _send_over(self, channel: Channel) -> None:
        while not self.should_stop:
            await self._has_message.wait()
            self._has_message.clear()
            while self._waiting:
                async with asyncio.timeout(_SEND_TIMEOUT_S):
                    await channel.send(self._waiting.popleft())

    async def _probe(self, channel: Channel) -> None:
        while not self.should_stop:
            channel.post(LinkProbe())
            await asyncio.sleep(_PROBE_S)

    async def _listen(self, channel: Channel) -> None:
        while not self.should_stop:
            async with asyncio.timeout(_SILENCE_S):
                await channel.receive()
            self._note_heard()

    def _note_heard(self) -> None:
        if not self._is_heard:
            self._is_heard = True
            self._log.info(
                LogEvent.FOLLOWER_HEARD,
                replica=self._member.name,
            )

    def _note_lost(self, reason: str) -> None:
        # A replica that is gone is tried several times a second.
        if self._is_heard:
            self._is_heard = False
            self._log.warning(
                LogEvent.FOLLOWER_LOST,
                replica=self._member.name,
                reason=reason,
            )


async def _cancel_all(tasks: Iterable[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class Links(mode.Service):
    """The outgoing connections, opened when they are first needed.

    Parameters
    ----------
    members
        Replicas with names of their own; any other is named by its address.
    logger
        Where events are logged.
    """

    def __init__(self, members: Iterable[Member], logger: Logger) -> None:
        """Connect to nobody yet."""
        super().__init__()
        self._log = logger
        self._members = {member.name: member for member in members}
        self._links: dict[str, Link] = {}
        self._opening: set[asyncio.Task[object]] = set()

    def post(self, name: str, message: RaftMessage) -> None:
        """Send a message soon, if the replica can be addressed."""
        link = self._links.get(name) or self._open(name)
        if link is not None:
            link.post(message)

    async def on_stop(self) -> None:
        """Close all links."""
        for link in self._links.values():
            await link.stop()

    @mode.Service.timer(_UNUSED_S)
    async def _close_unused(self) -> None:
        oldest_s = time.monotonic() - _UNUSED_S
        for name, link in list(self._links.items()):
            if link.used_s < oldest_s:
                self._links.pop(name)
                await link.stop()

    def _open(self, name: str) -> Link | None:
        member = self._members.get(name) or _member_at(name)
        if member is None:
            self._log.warning(LogEvent.FOLLOWER_LOST, replica=name)
            return None
        link = Link(member, self._log)
        self._links[name] = link
        task = asyncio.get_running_loop().create_task(link.start())
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        return link


def _member_at(name: str) -> Member | None:
    try:
        return Member(name, '', parse_address(name, 'replica'))
    except SettingError:
        return None
