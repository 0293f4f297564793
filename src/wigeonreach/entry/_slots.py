"""Slots of targets that attempts acquire and release."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

import msgspec

_SERVER_ERROR = 500


class Ending(enum.Enum):
    """How an attempt ended, as relevant for its slot and its target."""

    ANSWERED = enum.auto()
    """A complete response that is not a server error."""

    FAILED = enum.auto()
    """A complete response that is a server error."""

    NOT_SENT = enum.auto()
    """No connection: the target did not receive the request."""

    GIVEN_UP = enum.auto()
    """No complete response in time; the target may still be working."""

    ABANDONED = enum.auto()
    """The caller disconnected; not a failure, but the target may still work."""

    UNUSED = enum.auto()
    """No attempt was made."""

    @property
    def may_still_work(self) -> bool:
        """Whether the target may still be working on the request."""
        return self in {Ending.GIVEN_UP, Ending.ABANDONED}


def ending_of(status: int) -> Ending:
    """Return the ending of an attempt with a complete response."""
    return Ending.FAILED if status >= _SERVER_ERROR else Ending.ANSWERED


class TargetKey(msgspec.Struct, frozen=True):
    """One incarnation of one target.

    A restarted target is a new process with free slots, so that requests in
    flight at its former incarnation don't count against the new one.  Each
    request looks up several keys, so hashing must not run Python code.
    """

    target_id: str
    incarnation_ns: int


class Slot(msgspec.Struct, frozen=True):
    """The right to have one request in flight at one target."""

    number: int
    service: str
    target_id: str
    incarnation_ns: int
    address: str
    acquired_s: float

    @property
    def target(self) -> TargetKey:
        """The incarnation of the target that the slot belongs to."""
        return TargetKey(self.target_id, self.incarnation_ns)


class SlotSource(Protocol):
    """Pool that a slot was taken from and is returned to."""

    def give_back(self, free_from_s: float) -> None:
        """Return one slot, which must stay unused until ``free_from_s``."""


@dataclasses.dataclass(slots=True)
class SlotPool:
    """Interchangeable slots of one target that one entry may use.

    ``held_until_s`` has the monotonic time at which each returned slot is free
    again: later than the return if the target may still be working.
    """

    size: int
    in_use: int = 0
    held_until_s: list[float] = dataclasses.field(default_factory=list)

    def busy(self, now_s: float) -> int:
        """Return how many slots are, or may still be, in use."""
        if self.held_until_s:
            self.held_until_s = [
                until_s for until_s in self.held_until_s if until_s > now_s
            ]
        return self.in_use + len(self.held_until_s)

    def take(self) -> None:
        """Mark one slot as used."""
        self.in_use += 1

    def give_back(self, free_from_s: float) -> None:
        """Return one slot, to be free from ``free_from_s`` on."""
        self.in_use -= 1
        self.held_until_s.append(free_from_s)
