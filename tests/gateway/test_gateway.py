"""Test that calls reach the leader, and that refusals are true."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import testtools
from testtools import matchers

from tests.builders_core import free_addresses
from wigeonreach.gateway import Gateway
from wigeonreach.observe import Logger, Metrics
from wigeonreach.wire import Channel, parse_address, serve
from wigeonreach.wire._call_messages import (
    CallReply,
    CallRequest,
    CoreHello,
    CoreNotice,
    ReadJob,
    ReadManifest,
    ReadWave,
    StartWaveCall,
)
from wigeonreach.wire._call_replies import (
    AnyReply,
    Done,
    NotDone,
    Unauthorized,
    Unknown,
    WhyNot,
)
from wigeonreach.workspaces import Denial

_PATIENCE_S = 20.0
_NOTICE_S = 0.1
# A call with an effect.
_WAVE = StartWaveCall(1, ('vm',), due_after_s=9, limit=1)


class _FakeCore:
    """A core process that answers as a test says.

    ``reply`` is sent for each call; None sends nothing.
    """

    def __init__(self, name: str, leader: str, term: int = 1) -> None:
        self.name = name
        self.notice = CoreNotice(leader, (name,), term)
        self.reply: AnyReply | None = Done()
        self.calls = 0
        self.is_silent = False
        self.channels: list[Channel] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        address = parse_address(self.name, 'name')
        self._server = await serve(address, self._on_channel)

    def stop(self) -> None:
        """End, with all channels."""
        if self._server is not None:
            self._server.close()
        for channel in self.channels:
            channel.abort()

    async def _on_channel(self, channel: Channel) -> None:
        self.channels.append(channel)
        teller = asyncio.create_task(self._tell(channel))
        try:
            while True:
                message = await channel.receive()
                if isinstance(message, CallRequest):
                    self._answer(channel, message)
                assert isinstance(message, (CallRequest, CoreHello))
        finally:
            teller.cancel()

    async def _tell(self, channel: Channel) -> None:
        while True:
            if not self.is_silent:
                channel.post(self.notice)
            await asyncio.sleep(_NOTICE_S)

    def _answer(self, channel: Channel, request: CallRequest) -> None:
        self.calls += 1
        if self.reply is not None:
            channel.post(CallReply(request.number, self.reply))


def _run(
    cores: list[_FakeCore],
    body: Callable[[Gateway], Awaitable[None]],
) -> None:
    asyncio.run(_run_async(cores, body))


async def _run_async(
    cores: list[_FakeCore],
    body: Callable[[Gateway], Awaitable[None]],
) -> None:
    names = [core.name for core in cores]
    gateway = Gateway('caller', names, Logger('caller'), Metrics())
    try:
        async with asyncio.timeout(_PATIENCE_S):
            for core in cores:
                await core.start()
            await gateway.start()
            await body(gateway)
    finally:
        await gateway.stop()
        for ended in cores:
            ended.stop()


async def _until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


class TestGateway(testtools.TestCase):
    """Calls of one process."""

    def setUp(self) -> None:
        """Name two core processes."""
        super().setUp()
        names = free_addresses(2)
        self.first = names[0]
        self.second = names[1]

    def test_call_goes_to_the_leader(self) -> None:
        """Also where the process that was asked first does not lead."""
        follower = _FakeCore(self.first, self.second)
        leader = _FakeCore(self.second, self.second)

        async def body(gateway: Gateway) -> None:
            await _until(lambda: len(leader.channels) > 0)
            await _until(lambda: gateway.has_leader)
            reply = await gateway.call(ReadManifest(), 3)
            self.assertThat(reply, matchers.Equals(Done()))
            self.assertThat(
                (follower.calls, leader.calls),
                matchers.Equals((0, 1)),
            )

        _run([follower, leader], body)

    def test_refused_credential_is_asked_about_once(self) -> None:
        """A stranger that goes on calling costs the leader nothing more."""
        leader = _FakeCore(self.first, self.first)
        leader.notice = CoreNotice(self.first, (self.first,), 1, 7)
        denied = Unauthorized(Denial.UNKNOWN, version=7)
        leader.reply = denied

        async def body(gateway: Gateway) -> None:
            await _until(lambda: gateway.has_leader)
            for number in range(5):
                call = ReadJob('club.example', f'/a/{number}', b'strange')
                self.assertThat(
                    await gateway.call(call, 3), matchers.Equals(denied)
                )
            self.assertThat(leader.calls, matchers.Equals(1))
            other = ReadJob('club.example', '/a/1', b'another')
            await gateway.call(other, 3)
            self.assertThat(leader.calls, matchers.Equals(2))

        _run([leader], body)

    def test_credential_is_asked_about_again_under_the_next_manifest(
        self,
    ) -> None:
        """It may have been added; so it is as soon as a notice tells of one."""
        leader = _FakeCore(self.first, self.first)
        leader.notice = CoreNotice(self.first, (self.first,), 1, 7)
        leader.reply = Unauthorized(Denial.UNKNOWN, version=7)
        call = ReadJob('club.example', '/a/1', b'new')

        async def body(gateway: Gateway) -> None:
            await _until(lambda: gateway.has_leader)
            await gateway.call(call, 3)
            leader.reply = Done()
            leader.notice = CoreNotice(self.first, (self.first,), 1, 8)
            reply = await gateway.call(call, 3)
            while reply != Done():
                await asyncio.sleep(0.01)
                reply = await gateway.call(call, 3)

        _run([leader], body)

    def test_silent_leader_refuses_nobody(self) -> None:
        """What it told last may be old by now."""
        leader = _FakeCore(self.first, self.first)
        leader.notice = CoreNotice(self.first, (self.first,), 1, 7)
        leader.reply = Unauthorized(Denial.UNKNOWN, version=7)
        call = ReadJob('club.example', '/a/1', b'new')

        async def body(gateway: Gateway) -> None:
            await _until(lambda: gateway.has_leader)
            await gateway.call(call, 3)
            leader.is_silent = True
            leader.reply = None
            await asyncio.sleep(1)
            reply = await gateway.call(call, 0.1)
            self.assertThat(reply, matchers.IsInstance(NotDone))

        _run([leader], body)

    def test_follower_passes_on_where_the_leader_is_out_of_reach(self) -> None:
        """A process without a channel to the leader asks one that has."""
        follower = _FakeCore(self.first, self.second)

        async def body(gateway: Gateway) -> None:
            await _until(lambda: gateway.has_leader)
            reply = await gateway.call(ReadManifest(), 3)
            self.assertThat(reply, matchers.Equals(Done()))

        _run([follower], body)

    def test_call_without_a_leader_was_not_done(self) -> None:
        """Nothing was sent, so the refusal is true."""
        core = _FakeCore(self.first, '')

        async def body(gateway: Gateway) -> None:
            reply = await gateway.call(ReadManifest(), 3)
            self.assertThat(reply, matchers.IsInstance(NotDone))
            self.assertThat(core.calls, matchers.Equals(0))

        _run([core], body)

    def test_lost_reply_is_not_taken_for_a_refusal(self) -> None:
        """What was sent may have had its effect."""
        leader = _FakeCore(self.first, self.first)
        leader.reply = None

        async def body(gateway: Gateway) -> None:
            await _until(lambda: gateway.has_leader)
            reply = await gateway.call(_WAVE, 0.3)
            self.assertThat(reply, matchers.Equals(Unknown()))

        _run([leader], body)

    def test_reply_lost_with_its_channel_is_not_a_refusal(self) -> None:
        """Also where no leader is found in the time that is left."""
        leader = _FakeCore(self.first, self.first)
        leader.reply = None

        async def body(gateway: Gateway) -> None:
            await _until(lambda: gateway.has_leader)
            call = asyncio.create_task(gateway.call(_WAVE, 2))
            await _until(lambda: leader.calls > 0)
            leader.stop()
            self.assertThat(await call, matchers.Equals(Unknown()))

        _run([leader], body)

    def test_call_whose_reply_was_lost_waits_for_the_next_leader(self) -> None:
        """Its caller is told what became of it, if there is time to learn it.

        Pattern: the leader loses its power with calls in flight, and the next one is
        found later than a new call would wait for it.
        """
        leader = _FakeCore(self.first, self.first)
        leader.reply = None
        later = _FakeCore(self.second, '')

        async def body(gateway: Gateway) -> None:
            await _until(lambda: gateway.has_leader)
            call = asyncio.create_task(gateway.call(_WAVE, 6))
            await _until(lambda: leader.calls > 0)
            leader.stop()
            await asyncio.sleep(1.5)
            later.notice = CoreNotice(self.second, (self.second,), 2)
            self.assertThat(await call, matchers.Equals(Done()))

        _run([leader, later], body)

    def test_lost_reply_to_a_read_is_a_refusal(self) -> None:
        """Nothing ran that its caller could not ask for again."""
        leader = _FakeCore(self.first, self.first)
        leader.reply = None

        async def body(gateway: Gateway) -> None:
            await _until(lambda: gateway.has_leader)
            for read in (ReadManifest(), ReadWave(1)):
                reply = await gateway.call(read, 0.3)
                self.assertThat(reply, matchers.IsInstance(NotDone))

        _run([leader], body)

    def test_new_leader_gets_the_call_again(self) -> None:
        """A reply that was lost with the old one is asked for again."""
        old = _FakeCore(self.first, self.first, term=1)
        old.reply = None
        new = _FakeCore(self.second, self.first, term=1)

        async def body(gateway: Gateway) -> None:
            await _until(lambda: gateway.has_leader and len(new.channels) > 0)
            call = asyncio.create_task(gateway.call(ReadManifest(), 5))
            await _until(lambda: old.calls > 0)
            old.stop()
            new.notice = CoreNotice(self.second, (self.second,), 2)
            self.assertThat(await call, matchers.Equals(Done()))

        _run([old, new], body)

    def test_newest_term_wins(self) -> None:
        """A process that was cut off still believes in an older leader."""
        cut_off = _FakeCore(self.first, self.first, term=1)
        leader = _FakeCore(self.second, self.second, term=2)

        async def body(gateway: Gateway) -> None:
            await _until(lambda: bool(cut_off.channels and leader.channels))
            await asyncio.sleep(2 * _NOTICE_S)
            await gateway.call(ReadManifest(), 3)
            self.assertThat(
                (cut_off.calls, leader.calls),
                matchers.Equals((0, 1)),
            )

        _run([cut_off, leader], body)

    def test_silent_channel_is_given_up(self) -> None:
        """A channel without a reset is found by its silence."""
        leader = _FakeCore(self.first, self.first)

        async def body(gateway: Gateway) -> None:
            await _until(lambda: gateway.has_leader)
            leader.is_silent = True
            await _until(lambda: not gateway.has_leader)
            leader.is_silent = False
            await _until(lambda: gateway.has_leader)

        _run([leader], body)

    def test_long_outage_sends_callers_away_for_longer(self) -> None:
        """Few tries are left to them, and an election takes a second."""
        core = _FakeCore(self.first, '')

        async def body(gateway: Gateway) -> None:
            soon = await gateway.call(ReadManifest(), 3)
            await asyncio.sleep(1.7)
            late = await gateway.call(ReadManifest(), 3)
            self.assertThat(
                (soon, late),
                matchers.Equals(
                    (
                        NotDone(WhyNot.NO_LEADER, 1),
                        NotDone(WhyNot.NO_LEADER, 2),
                    ),
                ),
            )

        _run([core], body)
