"""Test how the gateway finds the leader and reports failed calls."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import testtools
from testtools import matchers

from tests.builders_core import free_addresses
from tests.builders_jobs import job
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
    SubmitJob,
)
from wigeonreach.wire._call_replies import (
    AnyReply,
    Done,
    Forbidden,
    Invalid,
    NotDone,
    NotFound,
    Unauthorized,
    Unknown,
    WhyNot,
)
from wigeonreach.workspaces import Denial

_TEST_TIMEOUT_S = 20.0
_NOTICE_S = 0.1
# A call with an effect.
_WAVE = StartWaveCall(1, ('vm',), due_after_s=9, limit=1)
_SUBMISSION = SubmitJob('club.example', '/bookings/00000000000000a1', job())
# What a manifest that drops the queue or withdraws the credential leads to.
_REFUSALS = (
    NotFound(),
    Unauthorized(Denial.UNKNOWN, version=7),
    Forbidden(''),
    Invalid('job id'),
    NotDone(WhyNot.NO_MANIFEST),
)


class _FakeCore:
    """A core process with a configurable reply and notice.

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
        self._server = await serve(
            address, self._on_channel, Logger('test').message_unreadable
        )

    def stop(self) -> None:
        """Stop listening and abort all channels."""
        if self._server is not None:
            self._server.close()
        for channel in self.channels:
            channel.abort()

    async def _on_channel(self, channel: Channel) -> None:
        self.channels.append(channel)
        notice_task = asyncio.create_task(self._send_notices(channel))
        try:
            while True:
                message = await channel.receive()
                if isinstance(message, CallRequest):
                    self._answer(channel, message)
                assert isinstance(message, (CallRequest, CoreHello))
        finally:
            notice_task.cancel()

    async def _send_notices(self, channel: Channel) -> None:
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
    asyncio.run(_run_with_gateway(cores, body))


async def _run_with_gateway(
    cores: list[_FakeCore],
    body: Callable[[Gateway], Awaitable[None]],
) -> None:
    names = [core.name for core in cores]
    gateway = Gateway('caller', names, Logger('caller'), Metrics())
    try:
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            for core in cores:
                await core.start()
            await gateway.start()
            await body(gateway)
    finally:
        await gateway.stop()
        for started in cores:
            started.stop()


async def _wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


class TestGateway(testtools.TestCase):
    """Calls through the gateway of one process."""

    def setUp(self) -> None:
        """Choose the addresses of two core processes."""
        super().setUp()
        names = free_addresses(2)
        self.first = names[0]
        self.second = names[1]

    def test_call_goes_to_the_leader(self) -> None:
        """A follower is not called if there is a link to the leader."""
        follower = _FakeCore(self.first, self.second)
        leader = _FakeCore(self.second, self.second)

        async def body(gateway: Gateway) -> None:
            await _wait_until(lambda: len(leader.channels) > 0)
            await _wait_until(lambda: gateway.has_leader)
            reply = await gateway.call(ReadManifest(), 3)
            self.assertThat(reply, matchers.Equals(Done()))
            self.assertThat(
                (follower.calls, leader.calls),
                matchers.Equals((0, 1)),
            )

        _run([follower, leader], body)

    def test_denied_credential_is_cached(self) -> None:
        """Repeated calls with an unknown credential do not load the leader."""
        leader = _FakeCore(self.first, self.first)
        leader.notice = CoreNotice(self.first, (self.first,), 1, 7)
        denied = Unauthorized(Denial.UNKNOWN, version=7)
        leader.reply = denied

        async def body(gateway: Gateway) -> None:
            await _wait_until(lambda: gateway.has_leader)
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

    def test_cached_denial_ends_with_the_next_manifest(
        self,
    ) -> None:
        """The credential is checked again once a notice has a newer version."""
        leader = _FakeCore(self.first, self.first)
        leader.notice = CoreNotice(self.first, (self.first,), 1, 7)
        leader.reply = Unauthorized(Denial.UNKNOWN, version=7)
        call = ReadJob('club.example', '/a/1', b'new')

        async def body(gateway: Gateway) -> None:
            await _wait_until(lambda: gateway.has_leader)
            await gateway.call(call, 3)
            leader.reply = Done()
            leader.notice = CoreNotice(self.first, (self.first,), 1, 8)
            reply = await gateway.call(call, 3)
            while reply != Done():
                await asyncio.sleep(0.01)
                reply = await gateway.call(call, 3)

        _run([leader], body)

    def test_cached_denial_needs_a_fresh_notice(self) -> None:
        """The version in an old notice may no longer be the active one."""
        leader = _FakeCore(self.first, self.first)
        leader.notice = CoreNotice(self.first, (self.first,), 1, 7)
        leader.reply = Unauthorized(Denial.UNKNOWN, version=7)
        call = ReadJob('club.example', '/a/1', b'new')

        async def body(gateway: Gateway) -> None:
            await _wait_until(lambda: gateway.has_leader)
            await gateway.call(call, 3)
            leader.is_silent = True
            leader.reply = None
            await asyncio.sleep(1)
            reply = await gateway.call(call, 0.1)
            self.assertThat(reply, matchers.IsInstance(NotDone))

        _run([leader], body)

    def test_follower_forwards_if_the_leader_is_unreachable(self) -> None:
        """Without a link to the leader, the call goes to a follower."""
        follower = _FakeCore(self.first, self.second)

        async def body(gateway: Gateway) -> None:
            await _wait_until(lambda: gateway.has_leader)
            reply = await gateway.call(ReadManifest(), 3)
            self.assertThat(reply, matchers.Equals(Done()))

        _run([follower], body)

    def test_call_without_a_leader_is_not_done(self) -> None:
        """Nothing was sent, so the call had no effect."""
        core = _FakeCore(self.first, '')

        async def body(gateway: Gateway) -> None:
            reply = await gateway.call(ReadManifest(), 3)
            self.assertThat(reply, matchers.IsInstance(NotDone))
            self.assertThat(core.calls, matchers.Equals(0))

        _run([core], body)

    def test_lost_reply_gives_an_unknown_outcome(self) -> None:
        """A call that was sent may have had an effect."""
        leader = _FakeCore(self.first, self.first)
        leader.reply = None

        async def body(gateway: Gateway) -> None:
            await _wait_until(lambda: gateway.has_leader)
            reply = await gateway.call(_WAVE, 0.3)
            self.assertThat(reply, matchers.Equals(Unknown()))

        _run([leader], body)

    def test_channel_lost_during_a_call_gives_an_unknown_outcome(self) -> None:
        """The outcome stays unknown if no leader is found in time."""
        leader = _FakeCore(self.first, self.first)
        leader.reply = None

        async def body(gateway: Gateway) -> None:
            await _wait_until(lambda: gateway.has_leader)
            call = asyncio.create_task(gateway.call(_WAVE, 2))
            await _wait_until(lambda: leader.calls > 0)
            leader.stop()
            self.assertThat(await call, matchers.Equals(Unknown()))

        _run([leader], body)

    def test_call_with_a_lost_reply_waits_for_the_next_leader(self) -> None:
        """It gets the reply of the next leader within the caller's timeout.

        Guards against an unknown outcome when a leader loses power with calls in
        flight, and the election takes longer than a new call would wait.
        """
        leader = _FakeCore(self.first, self.first)
        leader.reply = None
        later = _FakeCore(self.second, '')

        async def body(gateway: Gateway) -> None:
            await _wait_until(lambda: gateway.has_leader)
            call = asyncio.create_task(gateway.call(_WAVE, 6))
            await _wait_until(lambda: leader.calls > 0)
            leader.stop()
            await asyncio.sleep(1.5)
            later.notice = CoreNotice(self.second, (self.second,), 2)
            self.assertThat(await call, matchers.Equals(Done()))

        _run([leader, later], body)

    def test_read_with_a_lost_reply_is_not_done(self) -> None:
        """A read has no effect, so the outcome is known."""
        leader = _FakeCore(self.first, self.first)
        leader.reply = None

        async def body(gateway: Gateway) -> None:
            await _wait_until(lambda: gateway.has_leader)
            for read in (ReadManifest(), ReadWave(1)):
                reply = await gateway.call(read, 0.3)
                self.assertThat(reply, matchers.IsInstance(NotDone))

        _run([leader], body)

    def test_call_is_retried_with_the_new_leader(self) -> None:
        """The reply was lost with the connection to the old leader."""
        old = _FakeCore(self.first, self.first, term=1)
        old.reply = None
        new = _FakeCore(self.second, self.first, term=1)

        async def body(gateway: Gateway) -> None:
            await _wait_until(
                lambda: gateway.has_leader and len(new.channels) > 0
            )
            call = asyncio.create_task(gateway.call(ReadManifest(), 5))
            await _wait_until(lambda: old.calls > 0)
            old.stop()
            new.notice = CoreNotice(self.second, (self.second,), 2)
            self.assertThat(await call, matchers.Equals(Done()))

        _run([old, new], body)

    def test_refusal_after_a_lost_reply_gives_an_unknown_outcome(self) -> None:
        """The first try may have taken effect before the refusal held.

        Guards against a client that is told that there is no such queue while
        its job runs: an entry process was frozen between a call and its reply,
        and the manifest dropped the queue meanwhile.
        """
        for refusal in _REFUSALS:
            with self.subTest(refusal=refusal):
                self._refuse_second_try(refusal)

    def _refuse_second_try(self, refusal: AnyReply) -> None:
        leader = _FakeCore(self.first, self.first)
        leader.reply = None

        async def body(gateway: Gateway) -> None:
            await _wait_until(lambda: gateway.has_leader)
            call = asyncio.create_task(gateway.call(_SUBMISSION, 5))
            await _wait_until(lambda: leader.calls > 0)
            leader.reply = refusal
            leader.channels[0].abort()
            self.assertThat(await call, matchers.Equals(Unknown()))
            self.assertThat(leader.calls, matchers.Equals(2))

        _run([leader], body)

    def test_refusal_of_the_only_try_is_passed_on(self) -> None:
        """A refusal that is certain comes at once, as it is."""
        leader = _FakeCore(self.first, self.first)
        leader.reply = NotFound()

        async def body(gateway: Gateway) -> None:
            await _wait_until(lambda: gateway.has_leader)
            reply = await gateway.call(_SUBMISSION, 3)
            self.assertThat(reply, matchers.Equals(NotFound()))

        _run([leader], body)

    def test_newest_term_wins(self) -> None:
        """A partitioned process may still report the leader of an older term."""
        cut_off = _FakeCore(self.first, self.first, term=1)
        leader = _FakeCore(self.second, self.second, term=2)

        async def body(gateway: Gateway) -> None:
            await _wait_until(
                lambda: bool(cut_off.channels and leader.channels)
            )
            await asyncio.sleep(2 * _NOTICE_S)
            await gateway.call(ReadManifest(), 3)
            self.assertThat(
                (cut_off.calls, leader.calls),
                matchers.Equals((0, 1)),
            )

        _run([cut_off, leader], body)

    def test_idle_channel_is_closed(self) -> None:
        """A broken connection without a TCP reset is detected by a timeout."""
        leader = _FakeCore(self.first, self.first)

        async def body(gateway: Gateway) -> None:
            await _wait_until(lambda: gateway.has_leader)
            leader.is_silent = True
            await _wait_until(lambda: not gateway.has_leader)
            leader.is_silent = False
            await _wait_until(lambda: gateway.has_leader)

        _run([leader], body)

    def test_long_outage_gives_a_longer_retry_delay(self) -> None:
        """Callers retry only a few times, and an election takes a second."""
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
