"""Track proposals and reads until their outcome is known."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import secrets

import msgspec

from wigeonreach.agreement._raft_types import AppendedProposal, RequestOrigin

_FIRST_NUMBER_BITS = 60


class Applied(msgspec.Struct, frozen=True):
    """A proposal was applied, with this reply of the state machine."""

    reply: bytes


class ReadIndex(msgspec.Struct, frozen=True):
    """A read may be answered once the entry at this index is applied."""

    index: int


class NotStored(msgspec.Struct, frozen=True):
    """The request was refused; nothing was stored.

    There is no known leader, the receiver is not the leader, or too many
    proposals are pending.
    """


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """No definite reply arrived; a proposal may still be applied."""


RequestOutcome = Applied | ReadIndex | NotStored | OutcomeUnknown


@dataclasses.dataclass(slots=True)
class PendingRequests:
    """Pending requests of this replica, and unapplied proposals in its log."""

    # Numbers start at a random one: replies to requests of this replica's
    # previous process may still arrive, and must not match a new request.
    _numbers: itertools.count[int] = dataclasses.field(
        default_factory=lambda: itertools.count(
            secrets.randbits(_FIRST_NUMBER_BITS)
        ),
    )
    _waiting: dict[int, asyncio.Future[RequestOutcome]] = dataclasses.field(
        default_factory=dict,
    )
    _proposals: dict[int, AppendedProposal] = dataclasses.field(
        default_factory=dict
    )

    @property
    def proposal_count(self) -> int:
        """Number of proposals in the log that are not applied yet."""
        return len(self._proposals)

    def create(self) -> tuple[int, asyncio.Future[RequestOutcome]]:
        """Create a request; return its number and a future of its outcome."""
        number = next(self._numbers)
        future: asyncio.Future[RequestOutcome] = asyncio.Future()
        self._waiting[number] = future
        future.add_done_callback(lambda _: self._waiting.pop(number, None))
        return number, future

    def resolve(self, number: int, outcome: RequestOutcome) -> None:
        """Set the outcome of a request, if it is still pending."""
        future = self._waiting.get(number)
        if future is not None and not future.done():
            future.set_result(outcome)

    def resolve_all(self, outcome: RequestOutcome) -> None:
        """Set the same outcome for all pending requests."""
        for number in list(self._waiting):
            self.resolve(number, outcome)

    def track_proposal(self, accepted: AppendedProposal) -> None:
        """Record the origin of an entry in the log."""
        self._proposals[accepted.index] = accepted

    def pop_proposal(self, index: int, term: int) -> RequestOrigin | None:
        """Remove the proposal of an applied entry; return its origin or None.

        An entry of another term at the same index was proposed elsewhere.
        """
        accepted = self._proposals.pop(index, None)
        if accepted is None or accepted.term != term:
            return None
        return accepted.origin

    def pop_all_proposals(self) -> list[RequestOrigin]:
        """Remove all proposals; return their origins."""
        origins = [accepted.origin for accepted in self._proposals.values()]
        self._proposals.clear()
        return origins
