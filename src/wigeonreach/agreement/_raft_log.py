"""Keep the entries behind the last snapshot in memory."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Sequence

import msgspec

from wigeonreach.wire._raft_messages import EntryKind, LogEntry, MemberId

Voters = tuple[MemberId, ...]
_MAX_BATCH_ENTRIES = 1024
_VOTERS = msgspec.msgpack.Decoder(Voters)


def encode_voters(voters: Voters) -> bytes:
    """Return the command of an entry that changes the voters."""
    return msgspec.msgpack.encode(voters)


@dataclasses.dataclass(slots=True)
class RaftLog:
    """Entries after ``base_index``, which a snapshot covers."""

    base_index: int = 0
    base_term: int = 0
    base_voters: Voters = ()
    entries: list[LogEntry] = dataclasses.field(default_factory=list)
    _voters: list[tuple[int, Voters]] = dataclasses.field(
        default_factory=list,
    )

    def __post_init__(self) -> None:
        """Find the changes of voters among the entries."""
        self._note_voters(self.entries)

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
        """The newest voters, which count from when they are stored."""
        return self._voters[-1][1] if self._voters else self.base_voters

    @property
    def voters_index(self) -> int:
        """Index of the entry that made them."""
        return self._voters[-1][0] if self._voters else self.base_index

    def voters_at(self, index: int) -> Voters:
        """Return who votes after an entry."""
        known = self.base_voters
        for changed_index, voters in self._voters:
            if changed_index > index:
                break
            known = voters
        return known

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not here."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def between(self, first_index: int, last_index: int) -> list[LogEntry]:
        """Return entries, both ends included."""
        start = first_index - self.base_index - 1
        return self.entries[start : last_index - self.base_index]

    def batch(self, first_index: int, limit_bytes: int) -> Sequence[LogEntry]:
        """Return entries from an index on: one at least, up to a size."""
        total_bytes = 0
        taken: list[LogEntry] = []
        start = first_index - self.base_index - 1
        for entry in self.entries[start : start + _MAX_BATCH_ENTRIES]:
            total_bytes += len(entry.command)
            if taken and total_bytes > limit_bytes:
                break
            taken.append(entry)
        return taken

    def is_newer_than(self, last_index: int, last_term: int) -> bool:
        """Whether this log has something that another may lack."""
        return (self.last_term, self.last_index) > (last_term, last_index)

    def store(self, entries: Sequence[LogEntry]) -> Sequence[LogEntry]:
        """Take a leader's entries; return those that were not here.

        The first entry follows one that is here.  A conflicting one and all
        behind it are dropped.
        """
        for place, entry in enumerate(entries):
            if entry.index <= self.base_index:
                continue
            if self.term_at(entry.index) != entry.term:
                fresh = entries[place:]
                self._drop_from(entry.index)
                self.entries.extend(fresh)
                self._note_voters(fresh)
                return fresh
        return ()

    def compact(self, index: int) -> None:
        """Forget the entries up to an index."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        assert term is not None
        self.base_voters = self.voters_at(index)
        self.entries = self.entries[index - self.base_index :]
        self.base_index = index
        self.base_term = term
        self._voters = [change for change in self._voters if change[0] > index]

    def _drop_from(self, index: int) -> None:
        del self.entries[index - self.base_index - 1 :]  # noqa: WPS420
        self._voters = [change for change in self._voters if change[0] < index]

    def _note_voters(self, entries: Iterable[LogEntry]) -> None:
        for entry in entries:
            if entry.kind is EntryKind.VOTERS:
                self._voters.append(
                    (entry.index, _VOTERS.decode(entry.command)),
                )
