"""Define the slots that attempts take and give back."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

import msgspec

_SERVER_ERROR = 500


class Ending(enum.Enum):
    """How an attempt ended, as far as its slot and its target matter."""

    ANSWERED = enum.auto()
    """The whole answer came and it is no server error."""

    FAILED = enum.auto()
    """The whole answer came and it is a server error."""

    NOT_SENT = enum.auto()
    """No connection: the target never saw the request."""

    GIVEN_UP = enum.auto()
    """No whole answer came in time; the target may still be working."""

    ABANDONED = enum.auto()
    """The caller left; the target is not to blame but may still work."""

    UNUSED = enum.auto()
    """No attempt was made."""

    @property
    def may_still_work(self) -> bool:
        """Whether the target may go on with the request."""
        return self in {Ending.GIVEN_UP, Ending.ABANDONED}


def ending_of(status: int) -> Ending:
    """Return how an attempt ended whose whole answer came."""
    return Ending.FAILED if status >= _SERVER_ERROR else Ending.ANSWERED


class TargetKey(msgspec.Struct, frozen=True):
    """One incarnation of one target.

    A restarted target is a new process with free slots, so that what was in
    flight at its former incarnation doesn't count against the new one.  Each
    request looks several keys up, so that hashing must not run Python code.
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
    """Where a slot was taken from and goes back to."""

    def give_back(self, free_from_s: float) -> None:
        """Take one slot back that must stay unused until ``free_from_s``."""


@dataclasses.dataclass(slots=True)
class SlotPool:
    """Some equal slots of one target that one entry may fill.

    ``held_until_s`` has one moment for each slot whose request was given up
    while the target may still be working on it.
    """

    size: int
    in_use: int = 0
    held_until_s: list[float] = dataclasses.field(default_factory=list)

    def busy(self, now_s: float) -> int:
        """Return how many slots have, or may have, work at the target."""
        if self.held_until_s:
            self.held_until_s = [
                until_s for until_s in self.held_until_s if until_s > now_s
            ]
        return self.in_use + len(self.held_until_s)

    def take(self) -> None:
        """Fill one slot."""
        self.in_use += 1

    def give_back(self, free_from_s: float) -> None:
        """Free one slot, at the latest moment that its target may need it."""
        self.in_use -= 1
        self.held_until_s.append(free_from_s)
