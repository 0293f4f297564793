"""Test which writes are reported as synced when the disk fails."""

from __future__ import annotations

import asyncio
import random
from unittest import mock

import testtools

from tests.builders_disk import FakeDisk
from wigeonreach.agreement import _disk_writer
from wigeonreach.agreement._disk_writer import DiskWriter
from wigeonreach.agreement._raft_types import Write
from wigeonreach.agreement._storage import Storage, SyncFailedError
from wigeonreach.observe import Logger
from wigeonreach.wire._raft_messages import EntryKind, LogEntry

_RETRY_S = 0.001


class TestDiskWriter(testtools.TestCase):
    """Only durable writes are reported as synced."""

    def setUp(self) -> None:
        """Create a writer over a fake disk."""
        super().setUp()
        patched = mock.patch.object(_disk_writer, '_RETRY_S', _RETRY_S)
        patched.start()
        self.addCleanup(patched.stop)
        self.disk = FakeDisk()
        self.storage = Storage(self.disk, random.Random(1))
        self.storage.load()
        self.synced: list[int] = []
        self.failures: list[Exception] = []

    def test_full_disk_is_tried_again(self) -> None:
        """A write to a full disk is retried, and reported once it is synced."""
        self.disk.is_full = True
        asyncio.run(self._write_through())
        self.assertEqual([], self.failures)
        self.assertEqual([1], self.synced)
        self.assertEqual(1, self.storage.load().log.last_index)

    def test_failed_sync_ends_it(self) -> None:
        """After a failed sync no write is reported as synced."""
        self.disk.fails_sync = True
        asyncio.run(self._write_through())
        self.assertEqual([], self.synced)
        self.assertIsInstance(self.failures[0], SyncFailedError)

    async def _write_through(self) -> None:
        writer = DiskWriter(
            self.storage,
            self.synced.append,
            self.failures.append,
            Logger('test'),
        )
        await writer.start()
        entry = LogEntry(1, 1, EntryKind.COMMAND, b'change')
        writer.post([Write(1, 1, 1, entries=(entry,))])
        await asyncio.sleep(_RETRY_S * 20)
        self.assertEqual([], self.synced)
        self.disk.is_full = False
        while not self.synced and not self.failures:
            await asyncio.sleep(_RETRY_S)
        await writer.stop()
