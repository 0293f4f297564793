"""Test how the soak starts and restarts core processes."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import tempfile
from unittest import mock

import testtools
from testtools import matchers

from bench.relay import Relay
from soak._cores import CoreCluster

_START_S = 0.05


class _FakeProcess:
    """A process that ends when it is killed, and writes nothing."""

    def __init__(self) -> None:
        self.pid = 1
        self.returncode: int | None = None
        self.stdout = asyncio.StreamReader()
        self._ended = asyncio.Event()

    def send_signal(self, signal_number: int) -> None:
        """End on SIGKILL."""
        if signal_number == signal.SIGKILL:
            self.returncode = -signal_number
            self.stdout.feed_eof()
            self._ended.set()

    async def wait(self) -> int | None:
        """Wait until it was killed."""
        await self._ended.wait()
        return self.returncode


class TestRestarts(testtools.TestCase):
    """Faults that overlap on one process."""

    def setUp(self) -> None:
        """Start fake processes, each after a while."""
        super().setUp()
        self.started: list[_FakeProcess] = []
        patch = mock.patch.object(
            asyncio, 'create_subprocess_exec', self._start_slowly
        )
        patch.start()
        self.addCleanup(patch.stop)

    async def _start_slowly(self, *_: str, **_pipes: int) -> _FakeProcess:
        await asyncio.sleep(_START_S)
        process = _FakeProcess()
        self.started.append(process)
        return process

    async def _kill_while_starting(self, folder: pathlib.Path) -> None:
        relay = Relay()
        cluster = CoreCluster(1, 0, folder, relay)
        await cluster.start()
        cluster.kill(cluster.all[0], 0)
        await asyncio.sleep(_START_S / 2)
        cluster.kill(cluster.all[0], 0)
        await cluster.settle()
        await cluster.kill_all()
        relay.close()

    def test_process_is_started_once(self) -> None:
        """A second kill while a killed process starts again is passed over.

        Guards against two processes on one data folder, of which one ends by
        itself: seed 15 failed so on a busy machine.
        """
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(self._kill_while_starting(pathlib.Path(folder)))
        self.assertThat(self.started, matchers.HasLength(2))
