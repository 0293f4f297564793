"""Hand out the slots of targets to attempts."""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Collection

from wigeonreach.entry._membership import Member, Membership


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


def ending_of(status: int) -> Ending:
    """Return how an attempt ended whose whole answer came."""
    return Ending.FAILED if status >= _SERVER_ERROR else Ending.ANSWERED


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """The right to have one request in flight at one target."""

    number: int
    service: str
    target_id: str
    incarnation_ns: int
    address: str
    acquired_s: float


class Router:
    """Choose targets and count what is in flight at each.

    Parameters
    ----------
    membership
        The targets that may be given new work.
    sharers
        How many entries share the slots of each target.
    rng
        Breaks ties, so that entries do not all choose alike.
    """

    def __init__(
        self,
        membership: Membership,
        sharers: int,
        rng: random.Random,
    ) -> None:
        """Start with nothing in flight."""
        self._membership = membership
        self._sharers = sharers
        self._rng = rng
        self._taken: dict[int, Member] = {}
        self._last_number = 0

    def acquire(
        self,
        service: str,
        now_s: float,
        exclude: Collection[str] = (),
    ) -> Slot | None:
        """Take a slot of the target that is best placed to work.

        Parameters
        ----------
        service
            Name of the service asked for.
        now_s
            Monotonic time of this process, in seconds.
        exclude
            Identities of targets that a retry shall avoid.

        Returns
        -------
        Slot or None
            The slot, which must be released; None if no slot is free.
        """
        free = [
            member
            for member in self._membership.serving(service, now_s)
            if self._free_slots(member) > 0
            and member.record.target_id not in exclude
        ]
        if not free:
            return None
        least = min(member.in_flight for member in free)
        chosen = self._rng.choice(
            [member for member in free if member.in_flight == least],
        )
        return self._take(chosen, now_s)

    def release(self, slot: Slot, ending: Ending, now_s: float) -> None:
        """Give a slot back once its attempt ended.

        Parameters
        ----------
        slot
            What ``acquire`` returned; a second release changes nothing.
        ending
            How the attempt ended.
        now_s
            Monotonic time of this process, in seconds.
        """
        member = self._taken.pop(slot.number, None)
        if member is not None:
            member.in_flight -= 1

    def is_served(self, service: str, now_s: float) -> bool:
        """Whether any target of a service may be given new work."""
        return bool(self._membership.serving(service, now_s))

    def usable_slots(self, service: str, now_s: float) -> int:
        """Return how many slots of a service this entry may fill in all."""
        return sum(
            member.record.slots // self._sharers
            for member in self._membership.serving(service, now_s)
        )

    def _take(self, member: Member, now_s: float) -> Slot:
        self._last_number += 1
        self._taken[self._last_number] = member
        member.in_flight += 1
        record = member.record
        return Slot(
            number=self._last_number,
            service=record.service,
            target_id=record.target_id,
            incarnation_ns=record.incarnation_ns,
            address=record.address,
            acquired_s=now_s,
        )

    def _free_slots(self, member: Member) -> int:
        # Shares are rounded down: their sum must never pass the target's slots.
        return member.record.slots // self._sharers - member.in_flight
