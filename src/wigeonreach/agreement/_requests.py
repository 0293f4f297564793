"""Keep track of proposals and reads until their outcome is known."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import secrets

import msgspec

from wigeonreach.agreement._raft_types import Accepted, Origin

_BITS = 60


class Done(msgspec.Struct, frozen=True):
    """A proposal was applied."""

    reply: bytes


class Readable(msgspec.Struct, frozen=True):
    """A read may be answered once this index is applied."""

    index: int


class NotStored(msgspec.Struct, frozen=True):
    """The replica that was asked does not lead; nothing was stored."""


class Unknown(msgspec.Struct, frozen=True):
    """Whether a proposal will be applied can't be known here."""


RequestOutcome = Done | Readable | NotStored | Unknown


@dataclasses.dataclass(slots=True)
class Requests:
    """Requests of this replica's callers, and proposals in its log."""

    # Answers to a request of this replica's former process may still be
    # under way; they must not be taken for an answer to a new one.
    _numbers: itertools.count[int] = dataclasses.field(
        default_factory=lambda: itertools.count(secrets.randbits(_BITS)),
    )
    _waiting: dict[int, asyncio.Future[RequestOutcome]] = dataclasses.field(
        default_factory=dict,
    )
    _stored: dict[int, Accepted] = dataclasses.field(default_factory=dict)

    @property
    def stored_count(self) -> int:
        """How many proposals stand in the log, not applied yet."""
        return len(self._stored)

    def open(self) -> tuple[int, asyncio.Future[RequestOutcome]]:
        """Return a new request's number and what will be its outcome."""
        number = next(self._numbers)
        future: asyncio.Future[RequestOutcome] = asyncio.Future()
        self._waiting[number] = future
        future.add_done_callback(lambda _: self._waiting.pop(number, None))
        return number, future

    def settle(self, number: int, outcome: RequestOutcome) -> None:
        """Tell a caller the outcome, if it still waits."""
        future = self._waiting.get(number)
        if future is not None and not future.done():
            future.set_result(outcome)

    def settle_all(self, outcome: RequestOutcome) -> None:
        """Tell all callers the same."""
        for number in list(self._waiting):
            self.settle(number, outcome)

    def note_stored(self, accepted: Accepted) -> None:
        """Remember who proposed an entry."""
        self._stored[accepted.index] = accepted

    def take_applied(self, index: int, term: int) -> Origin | None:
        """Return who proposed an applied entry, if it is known here."""
        accepted = self._stored.pop(index, None)
        if accepted is None or accepted.term != term:
            return None
        return accepted.origin

    def take_all_stored(self) -> list[Origin]:
        """Forget all proposals in the log; return who waits for them."""
        origins = [accepted.origin for accepted in self._stored.values()]
        self._stored.clear()
        return origins
