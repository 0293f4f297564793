"""Send messages to other replicas; messages that can't be sent are dropped."""

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

_RECONNECT_DELAY_S = 0.1
_SEND_TIMEOUT_S = 2.0
# Messages sent over a link are answered over the other replica's own link, so
# only probes show that a connection went silent.  Three probes fit into the
# time after which it is closed, which is about an election timeout.
_PROBE_INTERVAL_S = 0.4
_SILENCE_TIMEOUT_S = 1.2
_MAX_QUEUED_MESSAGES = 512
# Links unused for this long are closed, such as those to removed replicas.
_IDLE_TIMEOUT_S = 30.0


class Link(mode.Service):
    """Outgoing connection to one replica; Raft resends lost messages.

    Parameters
    ----------
    member
        Name and address of the replica.
    logger
        Where events are logged.
    """

    def __init__(self, member: Member, logger: Logger) -> None:
        """Create a link; it connects once it is started."""
        super().__init__()
        self._member = member
        self._log = logger
        self._outbox: collections.deque[RaftMessage] = collections.deque(
            maxlen=_MAX_QUEUED_MESSAGES,
        )
        self._has_message = asyncio.Event()
        self._is_reachable = False
        self.last_used_s = time.monotonic()

    def post(self, message: RaftMessage) -> None:
        """Queue a message; if the queue is full, the oldest is dropped."""
        self.last_used_s = time.monotonic()
        self._outbox.append(message)
        self._has_message.set()

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                await self._connect_and_send()
            except (WireError, OSError, TimeoutError):
                self._outbox.clear()
                await self.sleep(_RECONNECT_DELAY_S)

    async def _connect_and_send(self) -> None:
        channel = await connect(self._member.address)
        try:
            await self._run_connection(channel)
        except (WireError, OSError, TimeoutError) as error:
            self._report_unreachable(str(error) or 'silent')
            # Closing would first wait until all buffered bytes are sent.
            channel.abort()
            raise
        finally:
            await channel.close()

    async def _run_connection(self, channel: Channel) -> None:
        """Use a connection until it fails or goes silent."""
        work = (self._send_queued, self._probe, self._listen)
        tasks = [asyncio.create_task(one(channel)) for one in work]
        try:
            done, _ = await asyncio.wait(
                tasks,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for ended in done:
                ended.result()
        finally:
            await _cancel_and_wait(tasks)

    async def _send_queued(self, channel: Channel) -> None:
        while not self.should_stop:
            await self._has_message.wait()
            self._has_message.clear()
            while self._outbox:
                async with asyncio.timeout(_SEND_TIMEOUT_S):
                    await channel.send(self._outbox.popleft())

    async def _probe(self, channel: Channel) -> None:
        while not self.should_stop:
            channel.post(LinkProbe())
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def _listen(self, channel: Channel) -> None:
        while not self.should_stop:
            async with asyncio.timeout(_SILENCE_TIMEOUT_S):
                await channel.receive()
            self._report_reachable()

    def _report_reachable(self) -> None:
        if not self._is_reachable:
            self._is_reachable = True
            self._log.info(
                LogEvent.FOLLOWER_HEARD,
                replica=self._member.name,
            )

    def _report_unreachable(self, reason: str) -> None:
        # Logged once, though connecting is retried several times a second.
        if self._is_reachable:
            self._is_reachable = False
            self._log.warning(
                LogEvent.FOLLOWER_LOST,
                replica=self._member.name,
                reason=reason,
            )


async def _cancel_and_wait(tasks: Iterable[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class Links(mode.Service):
    """Links to all other replicas, each opened when it is first needed.

    Parameters
    ----------
    members
        Replicas known by name; the name of any other is its address.
    logger
        Where events are logged.
    """

    def __init__(self, members: Iterable[Member], logger: Logger) -> None:
        """Create an empty set of links."""
        super().__init__()
        self._log = logger
        self._members = {member.name: member for member in members}
        self._links: dict[str, Link] = {}
        self._opening: set[asyncio.Task[object]] = set()

    def post(self, name: str, message: RaftMessage) -> None:
        """Queue a message, if the replica's address is known."""
        link = self._links.get(name) or self._open(name)
        if link is not None:
            link.post(message)

    async def on_stop(self) -> None:
        """Close all links."""
        for link in self._links.values():
            await link.stop()

    @mode.Service.timer(_IDLE_TIMEOUT_S)
    async def _close_unused(self) -> None:
        oldest_s = time.monotonic() - _IDLE_TIMEOUT_S
        for name, link in list(self._links.items()):
            if link.last_used_s < oldest_s:
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
