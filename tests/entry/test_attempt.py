"""Test one attempt against targets that misbehave on the wire."""

from __future__ import annotations

import asyncio
import dataclasses
import time

import testtools

from tests.entry.misbehaving_target import HEAD, WHOLE, MisbehavingTarget
from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._attempt import Attempts
from wigeonreach.entry._request import CallerRequest
from wigeonreach.exceptions import AttemptFailedError
from wigeonreach.text import parse_fleet_text

_TEXT = '[fleet]\nname = "f"\n[services.billing]\n'
_PATIENCE_S = 20.0
_LOST = ResultCode.REQUEST_ANSWER_LOST
_INCOMPLETE = ResultCode.REQUEST_ANSWER_INCOMPLETE
_CROSSED = ResultCode.REQUEST_ANSWER_CROSSED
_BROKEN_ANSWERS = (
    (b'', _LOST),
    (b'garbage\r\n\r\n', _LOST),
    (b'HTTP/1.1 2', _LOST),
    (b'%b\r\nends with the connection' % HEAD, _INCOMPLETE),
    (b'%bContent-Length: 9\r\n\r\nshort' % HEAD, _INCOMPLETE),
    (b'%bTransfer-Encoding: chunked\r\n\r\n5\r\nab' % HEAD, _INCOMPLETE),
    (
        b'%bContent-Length: 99\r\n\r\n%b' % (HEAD, bytes(99)),
        ResultCode.REQUEST_ANSWER_TOO_LARGE,
    ),
    (WHOLE % b'another', _CROSSED),
)


def _request(method: str, patience_s: float = _PATIENCE_S) -> CallerRequest:
    return CallerRequest(
        service=parse_fleet_text(_TEXT).services['billing'],
        method=method,
        path='/work',
        headers={'x-request-id': 'the-callers-own'},
        body=b'w1' if method == 'POST' else b'',
        team='',
        is_urgent=False,
        key='',
        due_s=time.monotonic() + patience_s,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    """What one attempt ended with."""

    outcome: Outcome
    code: ResultCode
    body: bytes = b''


async def _attempt(
    attempts: Attempts,
    address: str,
    request: CallerRequest,
) -> _Seen:
    try:
        answer = await attempts.run(request, address)
    except AttemptFailedError as failed:
        return _Seen(failed.outcome, failed.code)
    return _Seen(Outcome.RAN, ResultCode.OK, answer.body)


async def _drive(
    target: MisbehavingTarget,
    requests: tuple[CallerRequest, ...],
) -> list[_Seen]:
    server = await asyncio.start_server(target.accept, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    attempts = Attempts(max_answer_bytes=64)
    await attempts.open()
    try:
        return [
            await _attempt(attempts, f'{host}:{port}', request)
            for request in requests
        ]
    finally:
        await attempts.close()
        server.close()


def _run(target: MisbehavingTarget, *requests: CallerRequest) -> list[_Seen]:
    return asyncio.run(_drive(target, requests))


_ANSWERED = _Seen(Outcome.RAN, ResultCode.OK, b'ok')


class TestAttempt(testtools.TestCase):
    """One attempt is sent once and tells the truth about it."""

    def test_reuses_connection(self) -> None:
        """A target that echoes the id keeps its connection."""
        target = MisbehavingTarget(lambda _, asked: WHOLE % asked)
        seen = _run(target, _request('POST'), _request('POST'))
        self.assertEqual([_ANSWERED, _ANSWERED], seen)
        self.assertEqual(1, target.connections)

    def test_no_echo_no_reuse(self) -> None:
        """A target that echoes nothing gets a new connection each time."""
        target = MisbehavingTarget(
            lambda *_: b'%bContent-Length: 2\r\n\r\nok' % HEAD,
        )
        seen = _run(target, _request('POST'), _request('POST'))
        self.assertEqual([_ANSWERED, _ANSWERED], seen)
        self.assertEqual(2, target.connections)

    def test_broken_answers(self) -> None:
        """Nothing but a whole answer to this request passes."""
        for sent, code in _BROKEN_ANSWERS:
            target = MisbehavingTarget(
                lambda *_, sent=sent: sent,
                keeps_open=False,
            )
            seen = _run(target, _request('POST'))
            self.assertEqual([_Seen(Outcome.UNKNOWN, code)], seen, repr(sent))

    def test_crossed_answer_closes(self) -> None:
        """A connection on which an answer was crossed is not used again."""
        target = MisbehavingTarget(
            lambda number, asked: WHOLE % (asked, b'x')[number == 1],
        )
        seen = _run(target, _request('POST'), _request('POST'))
        self.assertEqual(
            [_Seen(Outcome.UNKNOWN, _CROSSED), _ANSWERED],
            seen,
        )
        self.assertEqual(2, target.connections)

    def test_unsolicited_answer(self) -> None:
        """A second answer to one request never answers the next one."""
        bad = b'%bContent-Length: 3\r\n\r\nbad' % HEAD
        target = MisbehavingTarget(
            lambda number, asked: WHOLE % asked + (b'', bad)[number == 1],
        )
        seen = _run(target, *(_request('POST') for _ in range(3)))
        self.assertNotIn(b'bad', [one.body for one in seen])
        self.assertEqual(_ANSWERED, seen[-1])

    def test_late_answer(self) -> None:
        """A connection whose answer was given up on is not used again."""
        target = MisbehavingTarget(
            lambda number, asked: HEAD if number == 1 else WHOLE % asked,
        )
        seen = _run(target, _request('POST', 0.05), _request('POST'))
        self.assertEqual([_Seen(Outcome.UNKNOWN, _LOST), _ANSWERED], seen)
        self.assertEqual(2, target.connections)

    def test_sent_once(self) -> None:
        """A kept-alive connection that breaks is unknown, also for a GET."""
        target = MisbehavingTarget(
            lambda number, asked: WHOLE % asked if number == 1 else None,
        )
        seen = _run(target, _request('GET'), _request('GET'))
        self.assertEqual([_ANSWERED, _Seen(Outcome.UNKNOWN, _LOST)], seen)
        self.assertEqual(2, target.requests)

    def test_only_the_target_may_deny(self) -> None:
        """A target's error ran, unless the target says that it did not."""
        refusal = b'HTTP/1.1 503 Busy\r\n%bContent-Length: 0\r\n\r\n'
        denial = b'X-Outcome: not-run\r\n'
        target = MisbehavingTarget(
            lambda number, _: refusal % (b'', denial)[number == 1],
        )
        seen = _run(target, _request('POST'), _request('POST'))
        self.assertEqual(
            [Outcome.NOT_RUN, Outcome.RAN],
            [one.outcome for one in seen],
        )

    def test_unreachable_did_not_run(self) -> None:
        """A refused connection is certain not to have run anything."""

        async def ask() -> _Seen:
            attempts = Attempts()
            await attempts.open()
            try:
                return await _attempt(attempts, '127.0.0.1:1', _request('GET'))
            finally:
                await attempts.close()

        self.assertEqual(
            _Seen(Outcome.NOT_RUN, ResultCode.REQUEST_TARGET_UNREACHABLE),
            asyncio.run(ask()),
        )
