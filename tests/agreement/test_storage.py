"""Test the storage of a replica after crashes, damage and disk errors."""

from __future__ import annotations

import pathlib
import random
import shutil
import tempfile

import testtools
from testtools import matchers

from tests.builders_disk import CrashedError, FakeDisk
from wigeonreach.agreement._disk import FolderDisk
from wigeonreach.agreement._raft_types import Write
from wigeonreach.agreement._storage import Storage, SyncFailedError
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError
from wigeonreach.wire._raft_messages import EntryKind, LogEntry


def _write(index: int, text: str = 'change') -> Write:
    entry = LogEntry(index, 1, EntryKind.COMMAND, text.encode())
    return Write(index, index, 1, commit_index=index - 1, entries=(entry,))


def _storage_with_entries(count: int) -> tuple[FakeDisk, Storage]:
    disk = FakeDisk()
    storage = Storage(disk, random.Random(1))
    storage.load()
    storage.write([_write(index) for index in range(1, count + 1)])
    return disk, storage


class TestStorage(testtools.TestCase):
    """Storage on a disk that crashes, is damaged or refuses writes."""

    def test_torn_tail_is_cut_at_every_length(self) -> None:
        """The remains of an interrupted write are removed, all else is kept."""
        disk, storage = _storage_with_entries(2)
        start = len(disk.read('journal'))
        storage.write([_write(3)])
        whole = disk.read('journal')
        for size in range(len(whole) - 1, start, -1):
            for filling in (b'', b'\0' * 40):
                disk.truncate('journal', 0)
                disk.append('journal', whole[:size] + filling)
                stored = storage.load()
                self.assertIn(stored.log.last_index, (2, 3))
                self.assertEqual(0, storage.load().torn_bytes)
                if size < start + 20:
                    torn_bytes = size - start + len(filling)
                    self.assertEqual(torn_bytes, stored.torn_bytes)

    def test_every_damaged_byte_before_the_end_is_refused(self) -> None:
        """A changed byte is never read as a valid record or a torn tail."""
        disk, storage = _storage_with_entries(3)
        size = len(disk.read('journal'))
        for offset in range(size):
            disk.damage('journal', offset)
            error = self.assertRaises(StateError, storage.load)
            self.assertEqual(ResultCode.STATE_DAMAGED, error.code)
            disk.damage('journal', offset)
        self.assertEqual(3, storage.load().log.last_index)

    def test_damaged_or_missing_hard_state_is_refused(self) -> None:
        """A replica never loses its vote without an error."""
        disk, storage = _storage_with_entries(1)
        disk.damage('hard-state', 30)
        self.assertRaises(StateError, storage.load)
        disk.remove('hard-state')
        self.assertRaises(StateError, storage.load)

    def test_set_aside_begins_as_another_disk(self) -> None:
        """Damaged files are kept, and the replica may not bootstrap."""
        disk, storage = _storage_with_entries(1)
        before = storage.load().hard
        after = storage.move_damaged_files().hard
        self.assertNotEqual(before.incarnation, after.incarnation)
        self.assertFalse(after.may_found)
        self.assertEqual(0, storage.load().log.last_index)
        kept = [name for name in disk.names() if name.startswith('damaged-')]
        self.assertThat(kept, matchers.HasLength(2))

    def test_full_disk_stores_once_there_is_room(self) -> None:
        """A refused write leaves nothing behind and can be retried."""
        disk, storage = _storage_with_entries(1)
        disk.is_full = True
        self.assertRaises(OSError, storage.write, [_write(2)])
        disk.is_full = False
        storage.write([_write(2)])
        self.assertEqual(2, storage.load().log.last_index)

    def test_failed_sync_is_no_refusal(self) -> None:
        """A failed sync is not reported as a refusal, which may be retried."""
        disk, storage = _storage_with_entries(1)
        disk.fails_sync = True
        self.assertRaises(SyncFailedError, storage.write, [_write(2)])

    def test_crash_at_every_operation_of_founding(self) -> None:
        """A folder whose initialization was interrupted is initialized again."""
        for operations in range(8):
            disk = FakeDisk(operations_left=operations)
            storage = Storage(disk, random.Random(1))
            try:
                storage.load()
            except CrashedError:
                disk.crash(random.Random(operations))
            self.assertEqual(0, storage.load().hard.term)

    def test_one_process_uses_a_folder(self) -> None:
        """A second process is refused with the reason."""
        folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        disk = FolderDisk(folder)
        self.addCleanup(disk.close)
        error = self.assertRaises(StateError, FolderDisk, folder)
        self.assertEqual(ResultCode.STATE_FOLDER_IN_USE, error.code)
