"""Simulate many configuration followers, by push or by polling."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Sequence

from wigeonreach.exceptions import WireError
from wigeonreach.rollout._follower import Follower, Hold
from wigeonreach.wire import Channel, Member, connect
from wigeonreach.wire._rollout_messages import (
    ConfigBeat,
    ConfigDelta,
    ConfigInForce,
    ConfigSections,
    Follow,
)
from wigeonreach.wire._state_messages import (
    AcceptedText,
    Answered,
    Ask,
    ReadAccepted,
)

_POLL_S = 1.0
_TIMEOUT_S = 5.0


class Subscriber:
    """A simulated follower that records versions and transferred bytes.

    Parameters
    ----------
    name
        Name under which it follows.
    replica
        Replica that it follows.
    """

    def __init__(self, name: str, replica: Member) -> None:
        """Start without any version."""
        self.name = name
        self.held_at_s: dict[int, float] = {}
        self._replica = replica
        self._channel: Channel | None = None
        self._follower = Follower()

    def passed_bytes(self) -> int:
        """Return the bytes of both directions so far."""
        if self._channel is None:
            return 0
        return self._channel.sent_bytes + self._channel.received_bytes

    async def follow(self) -> None:
        """Receive pushed changes until cancelled."""
        channel = await connect(self._replica.address)
        self._channel = channel
        held = self._follower.held
        channel.post(
            Follow(self.name, self._replica.zone, held.version, held.checksum),
        )
        with contextlib.suppress(WireError):
            while True:
                await self._take_one(channel)

    async def poll(self, delay_s: float) -> None:
        """Request the whole text once a second until cancelled."""
        await asyncio.sleep(delay_s)
        self._channel = await connect(self._replica.address)
        question = Ask(ReadAccepted(), is_local=True)
        while True:
            reply = await self._channel.request(question, _TIMEOUT_S)
            assert isinstance(reply, Answered)
            assert isinstance(reply.answer, AcceptedText)
            self.held_at_s.setdefault(reply.answer.version, time.time())
            await asyncio.sleep(_POLL_S)

    async def _take_one(self, channel: Channel) -> None:
        message = await channel.receive()
        if not isinstance(message, (ConfigBeat, ConfigDelta, ConfigSections)):
            return
        for effect in self._follower.on_message(message, time.monotonic()):
            if isinstance(effect, Hold):
                version = effect.copy.version
                self.held_at_s.setdefault(version, time.time())
                channel.post(ConfigInForce(version, time.monotonic()))
            else:
                channel.post(effect.need)


class SubscriberGroup:
    """Many simulated followers, spread over the replicas.

    Parameters
    ----------
    replicas
        Replicas to follow.
    count
        Number of followers.
    kind
        Prefix of their names.
    """

    def __init__(
        self,
        replicas: Sequence[Member],
        count: int,
        kind: str,
    ) -> None:
        """Create the followers without connecting them."""
        self.subscribers = [
            Subscriber(f'{kind}-{number}', replicas[number % len(replicas)])
            for number in range(count)
        ]
        self._tasks: list[asyncio.Future[None]] = []

    def start_following(self) -> None:
        """Start to receive pushed changes with all followers."""
        self._tasks = [
            asyncio.ensure_future(one.follow()) for one in self.subscribers
        ]

    def start_polling(self) -> None:
        """Start to poll with all followers, spread over the period."""
        count = len(self.subscribers)
        self._tasks = [
            asyncio.ensure_future(one.poll(number * _POLL_S / count))
            for number, one in enumerate(self.subscribers)
        ]

    def stop(self) -> None:
        """Cancel all of them."""
        for task in self._tasks:
            task.cancel()

    def passed_bytes(self) -> int:
        """Return the bytes of all so far."""
        return sum(one.passed_bytes() for one in self.subscribers)

    def delays_s(self, sent_at_s: dict[int, float]) -> list[float]:
        """Return how long each version took to reach each follower.

        A version that was skipped counts as reached with the next one.
        """
        return [
            delay_s
            for one in self.subscribers
            for delay_s in _delays_s(one.held_at_s, sent_at_s)
        ]


def _delays_s(
    held_at_s: dict[int, float],
    sent_at_s: dict[int, float],
) -> list[float]:
    return [
        min(
            held_s
            for held_version, held_s in held_at_s.items()
            if held_version >= version
        )
        - sent_s
        for version, sent_s in sent_at_s.items()
    ]
