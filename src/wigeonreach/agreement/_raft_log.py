"""The Raft log in memory, without the entries removed by compaction."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Sequence

import msgspec

from wigeonreach.wire._raft_messages import EntryKind, LogEntry, MemberId

Voters = tuple[MemberId, ...]
_MAX_BATCH_ENTRIES = 1024
_VOTERS_DECODER = msgspec.msgpack.Decoder(Voters)


def encode_voters(voters: Voters) -> bytes:
    """Return the command of an entry that sets the voters."""
    return msgspec.msgpack.encode(voters)


@dataclasses.dataclass(slots=True)
class RaftLog:
    """Entries after ``base_index``; a snapshot covers those up to it."""

    base_index: int = 0
    base_term: int = 0
    base_voters: Voters = ()
    entries: list[LogEntry] = dataclasses.field(default_factory=list)
    _voter_changes: list[tuple[int, Voters]] = dataclasses.field(
        default_factory=list,
    )

    def __post_init__(self) -> None:
        """Index the entries that change the voters."""
        self._record_voter_changes(self.entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def voters(self) -> Voters:
        """The newest voters, in effect as soon as their entry is stored."""
        return (
            self._voter_changes[-1][1]
            if self._voter_changes
            else self.base_voters
        )

    @property
    def voters_index(self) -> int:
        """Index of the entry that set the newest voters, or the base index."""
        return (
            self._voter_changes[-1][0]
            if self._voter_changes
            else self.base_index
        )

    def voters_at(self, index: int) -> Voters:
        """Return the voters in effect once the entry at an index is stored."""
        known = self.base_voters
        for changed_index, voters in self._voter_changes:
            if changed_index > index:
                break
            known = voters
        return known

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if the log lacks it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def between(self, first_index: int, last_index: int) -> list[LogEntry]:
        """Return the entries from one index to another, both included."""
        start = first_index - self.base_index - 1
        return self.entries[start : last_index - self.base_index]

    def batch(self, first_index: int, limit_bytes: int) -> Sequence[LogEntry]:
        """Return entries from an index on, limited by size.

        The result holds at least one entry, even one above the limit, unless
        there are none.
        """
        total_bytes = 0
        taken: list[LogEntry] = []
        start = first_index - self.base_index - 1
        for entry in self.entries[start : start + _MAX_BATCH_ENTRIES]:
            total_bytes += len(entry.command)
            if taken and total_bytes > limit_bytes:
                break
            taken.append(entry)
        return taken

    def is_more_up_to_date_than(self, last_index: int, last_term: int) -> bool:
        """Whether this log is more up to date than another.

        The log whose last entry has the higher term, or the higher index in
        the same term, is more up to date; it may hold committed entries that
        the other lacks.
        """
        return (self.last_term, self.last_index) > (last_term, last_index)

    def store(self, entries: Sequence[LogEntry]) -> Sequence[LogEntry]:
        """Store entries of a leader; return those that the log lacked.

        The entry before the first one must be in the log.  A conflicting
        entry and all after it are removed.
        """
        for place, entry in enumerate(entries):
            if entry.index <= self.base_index:
                continue
            if self.term_at(entry.index) != entry.term:
                new_entries = entries[place:]
                self._truncate_from(entry.index)
                self.entries.extend(new_entries)
                self._record_voter_changes(new_entries)
                return new_entries
        return ()

    def compact(self, index: int) -> None:
        """Discard the entries up to an index."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        assert term is not None
        self.base_voters = self.voters_at(index)
        self.entries = self.entries[index - self.base_index :]
        self.base_index = index
        self.base_term = term
        self._voter_changes = [
            change for change in self._voter_changes if change[0] > index
        ]

    def _truncate_from(self, index: int) -> None:
        del self.entries[index - self.base_index - 1 :]  # noqa: WPS420
        self._voter_changes = [
            change for change in self._voter_changes if change[0] < index
        ]

    def _record_voter_changes(self, entries: Iterable[LogEntry]) -> None:
        for entry in entries:
            if entry.kind is EntryKind.VOTERS:
                self._voter_changes.append(
                    (entry.index, _VOTERS_DECODER.decode(entry.command)),
                )
