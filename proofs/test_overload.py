"""Check that bad input and overload are refused early and correctly."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import re
import shutil
import socket
import tempfile
import time

import testtools
from testtools.matchers import Equals, GreaterThan, LessThan

from bench.cluster import Cluster, Process, Shape
from bench.open_loop import Sample, Stream, drive, goodput_ratio
from wigeonreach.codes import ResultCode
from wigeonreach.standins._run_log import RunKind, read_run_log

_SERVICE = 'records'
_TEXT = """
[fleet]
name = "overload"

[services.records]
promised_slots = 16
deadline_s = 2.0

[teams.clinics]
weight = 1.0

[teams.schools]
weight = 1.0
"""
_SHAPE = Shape(
    zones=('a',),
    entries_per_zone=1,
    services=(_SERVICE,),
    targets_per_service=2,
    service_time_s=0.1,
)
# Two targets of 8 slots each, 0.1 s per request.
_CAPACITY_PER_S = 160.0
_DEADLINE_S = 1.0
_HEAD_TIMEOUT_S = 2.0
_ANNOUNCE_WAIT_S = 1.5
_SOCKET_TIMEOUT_S = 8.0
_MEBIBYTE = 1024 * 1024
_CODE = re.compile(rb'X-Result-Code: (\d+)')
_HEAD = (
    'POST /s/records/work HTTP/1.1\r\n'
    'Host: entry\r\nContent-Length: {length}\r\n{more}\r\n'
)


def _head(length: object, more: str = '', body: str = '') -> bytes:
    head = _HEAD.format(length=length, more=more)
    return f'{head}{body}'.encode()


_MALFORMED = (
    (b'\x00\x01\x02\r\n\r\n', ResultCode.REQUEST_BAD_HEADER),
    (
        b'POST /s/records/w HTTP/1.1\r\nHost: e\r\nBad\x00: 1\r\n\r\n',
        ResultCode.REQUEST_BAD_HEADER,
    ),
    (
        b'POST /s/records/w HTTP/1.1\r\nHost: e\r\nX-A: %b\r\n\r\n'
        % (b'a' * 65536),
        ResultCode.REQUEST_BAD_HEADER,
    ),
    (
        b'POST /s/records/w HTTP/1.1\r\nHost: e\r\n%b\r\n'
        % (b'X-A: a\r\n' * 5000),
        ResultCode.REQUEST_BAD_HEADER,
    ),
    (
        _head('nine'),
        ResultCode.REQUEST_BAD_HEADER,
    ),
    (
        _head(1, 'X-Deadline-Ms: soon\r\n', 'a'),
        ResultCode.REQUEST_BAD_HEADER,
    ),
    (
        _head(1, 'X-Urgent: yes\r\n', 'a'),
        ResultCode.REQUEST_BAD_HEADER,
    ),
    (
        _head(2 * _MEBIBYTE),
        ResultCode.REQUEST_TOO_LARGE,
    ),
    (
        b'POST /s/records/w HTTP/1.1\r\nHost: e\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n200000\r\n%b' % (b'a' * 0x200000),
        ResultCode.REQUEST_TOO_LARGE,
    ),
    (
        b'POST /s/records/w HTTP/1.1\r\nHost: e\r\n'
        b'Transfer-Encoding: chunked\r\n\r\nnot-a-size\r\n',
        ResultCode.REQUEST_BAD_HEADER,
    ),
    (
        b'GET /s/nothing/w HTTP/1.1\r\nHost: e\r\n\r\n',
        ResultCode.REQUEST_UNKNOWN_SERVICE,
    ),
    (
        b'GET /nowhere HTTP/1.1\r\nHost: e\r\n\r\n',
        ResultCode.REQUEST_UNKNOWN_PATH,
    ),
)


class OverloadCase(testtools.TestCase):
    """A small fleet with one entry and two targets."""

    def setUp(self) -> None:
        """Start the fleet."""
        super().setUp()
        folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder, ignore_errors=True)
        text = folder / 'fleet.toml'
        text.write_text(_TEXT)
        self.cluster = Cluster(_SHAPE, folder)
        self.addCleanup(self.cluster.stop)
        self.entry = self.cluster.entries[0]
        self.entry.command.extend(
            ('--head-timeout-s', str(_HEAD_TIMEOUT_S)),
        )
        self.cluster.start()
        self.cluster.command_line('apply', str(text))
        self.cluster.wait_until_ready()
        time.sleep(_ANNOUNCE_WAIT_S)

    def started_work(self) -> list[str]:
        """Return the work items that targets started."""
        runs = read_run_log(self.cluster.run_log)
        return [run.work for run in runs if run.kind is RunKind.START]

    def assert_serving(self) -> None:
        """Check that the entry serves a request and ran nothing before it."""
        sent = _head(5, 'Connection: close\r\n', 'whole')
        answer = _exchange(self.entry, sent)
        self.assertThat(_code(answer), Equals(ResultCode.OK))
        self.assertThat(self.started_work(), Equals(['whole']))


class TestBadInput(OverloadCase):
    """Behaviour towards malformed, incomplete and slow requests."""

    def test_malformed_requests_run_nothing(self) -> None:
        """Each malformed request is refused with its result code."""
        for sent, code in _MALFORMED:
            answer = _exchange(self.entry, sent)
            seen = (sent[:60], _code(answer), b'X-Outcome: not-run' in answer)
            self.assertThat(seen, Equals((sent[:60], code, True)))
        self.assert_serving()

    def test_aborted_bodies_run_nothing(self) -> None:
        """A request with an incomplete body is never run."""
        for _ in range(20):
            with _connect(self.entry) as caller:
                caller.sendall(_head(100, body='half'))
        time.sleep(0.2)
        self.assert_serving()

    def test_slow_callers_are_bounded(self) -> None:
        """Slow heads are closed; slow bodies are refused at the deadline."""
        heads = [_connect(self.entry) for _ in range(50)]
        bodies = [_connect(self.entry) for _ in range(50)]
        for slow in heads:
            slow.sendall(b'POST /s/records/work HT')
        for caller in bodies:
            more = 'X-Deadline-Ms: 500\r\n'
            caller.sendall(_head(9, more, 'half'))
        started_s = time.monotonic()
        for body in bodies:
            code = _code(_receive(body))
            self.assertThat(code, Equals(ResultCode.REQUEST_BODY_INCOMPLETE))
        self.assertThat(time.monotonic() - started_s, LessThan(1.5))
        for closed in heads:
            _receive(closed)
        taken_s = time.monotonic() - started_s
        self.assertThat(taken_s, LessThan(2 * _HEAD_TIMEOUT_S))
        self.assert_serving()

    def test_unfinished_bodies_take_bounded_memory(self) -> None:
        """Many large unfinished bodies don't grow the entry without bound."""
        before_bytes = _resident_bytes(self.entry)
        callers = [_UnfinishedUpload(_connect(self.entry)) for _ in range(300)]
        peak_bytes = before_bytes
        for _ in range(20):
            for caller in callers:
                caller.send_some()
            peak_bytes = max(peak_bytes, _resident_bytes(self.entry))
            time.sleep(0.05)
        for caller in callers:
            caller.close()
        grown = (peak_bytes - before_bytes) / _MEBIBYTE
        self.assertThat(grown, LessThan(128))
        self.assert_serving()


class TestOverload(OverloadCase):
    """Behaviour at several times the capacity."""

    def test_refusals_come_early(self) -> None:
        """Refused callers learn early that and when they should retry."""
        samples = self._drive(_stream('clinics', 4))
        refused = [one for one in samples if one.outcome == 'not-run']
        self.assertThat(len(refused), GreaterThan(len(samples) // 2))
        at_once = sorted(
            one.taken_s / one.deadline_s
            for one in refused
            if one.code != ResultCode.REQUEST_DEADLINE_PASSED
        )
        self.assertThat(at_once[len(at_once) * 99 // 100], LessThan(0.25))
        for one in refused:
            self.assertThat(one.taken_s, LessThan(1.1 * one.deadline_s))
        returns = {one.return_after_s for one in refused}
        self.assertThat(min(returns), GreaterThan(0))
        self.assertThat(len(returns), GreaterThan(2))
        started = set(self.started_work())
        self.assertThat(
            [one.work for one in refused if one.work in started],
            Equals([]),
        )

    def test_flood_does_not_starve(self) -> None:
        """A team within its share is served while another overloads."""
        samples = self._drive(
            _stream('schools', 4),
            _stream('clinics', 0.25),
        )
        calm = [one for one in samples if one.team == 'clinics']
        self.assertThat(goodput_ratio(calm), GreaterThan(0.95))

    def _drive(self, *streams: Stream) -> list[Sample]:
        urls = (f'http://{self.entry.http}/s/{_SERVICE}/work',)
        return asyncio.run(
            drive(
                [
                    Stream(
                        urls,
                        one.rate_per_s,
                        one.deadline_s,
                        one.team,
                    )
                    for one in streams
                ],
                length_s=5,
            ),
        )


class _UnfinishedUpload:
    """A caller that sends all of a large body but its last byte."""

    def __init__(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        self._connection = connection
        self._unsent = _head(_MEBIBYTE, body='a' * (_MEBIBYTE - 1))

    def send_some(self) -> None:
        with contextlib.suppress(OSError):
            sent = self._connection.send(self._unsent)
            self._unsent = self._unsent[sent:]

    def close(self) -> None:
        self._connection.close()


def _stream(team: str, load: float) -> Stream:
    return Stream((), load * _CAPACITY_PER_S, _DEADLINE_S, team)


def _connect(entry: Process) -> socket.socket:
    host, _, port = entry.http.rpartition(':')
    return socket.create_connection((host, int(port)), _SOCKET_TIMEOUT_S)


def _exchange(entry: Process, sent: bytes) -> bytes:
    with _connect(entry) as caller:
        _send_some(caller, sent)
        return _receive(caller)


def _send_some(caller: socket.socket, sent: bytes) -> None:
    # The entry may close the connection before reading a refused request.
    with contextlib.suppress(OSError):
        caller.sendall(sent)


def _receive(caller: socket.socket) -> bytes:
    received = b''
    while b'"detail"' not in received:
        try:
            chunk = caller.recv(65536)
        except OSError:
            break
        if not chunk:
            break
        received += chunk
    return received


def _code(answer: bytes) -> int:
    found = _CODE.search(answer)
    return int(found.group(1)) if found else -1


def _resident_bytes(process: Process) -> int:
    assert process.popen is not None
    status = pathlib.Path(f'/proc/{process.popen.pid}/status').read_text()
    found = re.search(r'VmRSS:\s+(\d+) kB', status)
    assert found is not None
    return int(found.group(1)) * 1024
