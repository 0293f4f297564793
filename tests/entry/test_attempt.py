"""Tests of one attempt against targets that send malformed responses."""

from __future__ import annotations

import asyncio
import dataclasses
import time

import testtools

from tests.entry.misbehaving_target import (
    COMPLETE_RESPONSE,
    STATUS_LINE,
    MisbehavingTarget,
)
from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._attempt import TargetClient
from wigeonreach.entry._request import CallerRequest
from wigeonreach.exceptions import AttemptFailedError
from wigeonreach.text import parse_fleet_text

_TEXT = '[fleet]\nname = "f"\n[services.billing]\n'
_TIMEOUT_S = 20.0
_LOST = ResultCode.REQUEST_ANSWER_LOST
_INCOMPLETE = ResultCode.REQUEST_ANSWER_INCOMPLETE
_CROSSED = ResultCode.REQUEST_ANSWER_CROSSED
_MALFORMED_RESPONSES = (
    (b'', _LOST),
    (b'garbage\r\n\r\n', _LOST),
    (b'HTTP/1.1 2', _LOST),
    (b'%b\r\nends with the connection' % STATUS_LINE, _INCOMPLETE),
    (b'%bContent-Length: 9\r\n\r\nshort' % STATUS_LINE, _INCOMPLETE),
    (b'%bTransfer-Encoding: chunked\r\n\r\n5\r\nab' % STATUS_LINE, _INCOMPLETE),
    (
        b'%bContent-Length: 99\r\n\r\n%b' % (STATUS_LINE, bytes(99)),
        ResultCode.REQUEST_ANSWER_TOO_LARGE,
    ),
    (COMPLETE_RESPONSE % b'another', _CROSSED),
)


def _request(method: str, timeout_s: float = _TIMEOUT_S) -> CallerRequest:
    return CallerRequest(
        service=parse_fleet_text(_TEXT).services['billing'],
        method=method,
        path='/work',
        headers={'x-request-id': 'the-callers-own'},
        body=b'w1' if method == 'POST' else b'',
        team='',
        is_urgent=False,
        key='',
        due_s=time.monotonic() + timeout_s,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Result:
    """Result of one attempt."""

    outcome: Outcome
    code: ResultCode
    body: bytes = b''


async def _attempt(
    client: TargetClient,
    address: str,
    request: CallerRequest,
) -> _Result:
    try:
        answer = await client.run(request, address)
    except AttemptFailedError as failed:
        return _Result(failed.outcome, failed.code)
    return _Result(Outcome.RAN, ResultCode.OK, answer.body)


async def _send_all(
    target: MisbehavingTarget,
    requests: tuple[CallerRequest, ...],
) -> list[_Result]:
    server = await asyncio.start_server(target.accept, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    client = TargetClient(max_answer_bytes=64)
    await client.open()
    try:
        return [
            await _attempt(client, f'{host}:{port}', request)
            for request in requests
        ]
    finally:
        await client.close()
        server.close()


def _run(target: MisbehavingTarget, *requests: CallerRequest) -> list[_Result]:
    return asyncio.run(_send_all(target, requests))


_ANSWERED = _Result(Outcome.RAN, ResultCode.OK, b'ok')


class TestAttempt(testtools.TestCase):
    """An attempt is sent once and its outcome is reported correctly."""

    def test_reuses_connection(self) -> None:
        """The connection of a target that echoes the id is reused."""
        target = MisbehavingTarget(
            lambda _, request_id: COMPLETE_RESPONSE % request_id
        )
        results = _run(target, _request('POST'), _request('POST'))
        self.assertEqual([_ANSWERED, _ANSWERED], results)
        self.assertEqual(1, target.connections)

    def test_no_echo_no_reuse(self) -> None:
        """A target that echoes no id gets a new connection each time."""
        target = MisbehavingTarget(
            lambda *_: b'%bContent-Length: 2\r\n\r\nok' % STATUS_LINE,
        )
        results = _run(target, _request('POST'), _request('POST'))
        self.assertEqual([_ANSWERED, _ANSWERED], results)
        self.assertEqual(2, target.connections)

    def test_malformed_responses(self) -> None:
        """Only a complete response to this request is accepted."""
        for sent, code in _MALFORMED_RESPONSES:
            target = MisbehavingTarget(
                lambda *_, sent=sent: sent,
                keeps_open=False,
            )
            results = _run(target, _request('POST'))
            self.assertEqual(
                [_Result(Outcome.UNKNOWN, code)], results, repr(sent)
            )

    def test_crossed_response_closes(self) -> None:
        """A connection with a response to another request is not reused."""
        target = MisbehavingTarget(
            lambda number, request_id: (
                COMPLETE_RESPONSE % (request_id, b'x')[number == 1]
            ),
        )
        results = _run(target, _request('POST'), _request('POST'))
        self.assertEqual(
            [_Result(Outcome.UNKNOWN, _CROSSED), _ANSWERED],
            results,
        )
        self.assertEqual(2, target.connections)

    def test_unsolicited_response(self) -> None:
        """A second response to one request is never used for the next one."""
        unsolicited = b'%bContent-Length: 3\r\n\r\nbad' % STATUS_LINE
        target = MisbehavingTarget(
            lambda number, request_id: (
                COMPLETE_RESPONSE % request_id + (b'', unsolicited)[number == 1]
            ),
        )
        results = _run(target, *(_request('POST') for _ in range(3)))
        self.assertNotIn(b'bad', [result.body for result in results])
        self.assertEqual(_ANSWERED, results[-1])

    def test_late_response(self) -> None:
        """A connection whose response timed out is not reused."""
        target = MisbehavingTarget(
            lambda number, request_id: (
                STATUS_LINE if number == 1 else COMPLETE_RESPONSE % request_id
            ),
        )
        results = _run(target, _request('POST', 0.05), _request('POST'))
        self.assertEqual([_Result(Outcome.UNKNOWN, _LOST), _ANSWERED], results)
        self.assertEqual(2, target.connections)

    def test_sent_once(self) -> None:
        """If a kept-alive connection breaks, even a GET is not resent."""
        target = MisbehavingTarget(
            lambda number, request_id: (
                COMPLETE_RESPONSE % request_id if number == 1 else None
            ),
        )
        results = _run(target, _request('GET'), _request('GET'))
        self.assertEqual([_ANSWERED, _Result(Outcome.UNKNOWN, _LOST)], results)
        self.assertEqual(2, target.requests)

    def test_outcome_header(self) -> None:
        """An error response ran, unless the target says that it did not."""
        refusal = b'HTTP/1.1 503 Busy\r\n%bContent-Length: 0\r\n\r\n'
        not_run_header = b'X-Outcome: not-run\r\n'
        target = MisbehavingTarget(
            lambda number, _: refusal % (b'', not_run_header)[number == 1],
        )
        results = _run(target, _request('POST'), _request('POST'))
        self.assertEqual(
            [Outcome.NOT_RUN, Outcome.RAN],
            [result.outcome for result in results],
        )

    def test_unreachable_did_not_run(self) -> None:
        """A request whose connection was refused certainly did not run."""

        async def send() -> _Result:
            client = TargetClient()
            await client.open()
            try:
                return await _attempt(client, '127.0.0.1:1', _request('GET'))
            finally:
                await client.close()

        self.assertEqual(
            _Result(Outcome.NOT_RUN, ResultCode.REQUEST_TARGET_UNREACHABLE),
            asyncio.run(send()),
        )
