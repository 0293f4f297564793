"""Order the waiting requests of one service by team and urgency."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterator

from sortedcontainers import SortedList


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """The place of one waiting request.

    ``due_s`` is monotonic time; ``weight`` is the share of the team in the
    operator's text.
    """

    number: int
    team: str
    weight: float
    is_urgent: bool
    due_s: float


class _Lane:
    """The waiting requests of one team, urgent ones apart."""

    def __init__(self, team: str, weight: float, start: float) -> None:
        self.team = team
        self.weight = weight
        self.start = start
        self.urgent: collections.deque[Ticket] = collections.deque()
        self.ordinary: collections.deque[Ticket] = collections.deque()

    def __len__(self) -> int:
        return len(self.urgent) + len(self.ordinary)

    def __iter__(self) -> Iterator[Ticket]:
        yield from self.urgent
        yield from self.ordinary

    @property
    def excess(self) -> float:
        return len(self) / self.weight

    def append(self, ticket: Ticket) -> None:
        waiting = self.urgent if ticket.is_urgent else self.ordinary
        waiting.append(ticket)

    def popleft(self) -> Ticket:
        return (self.urgent or self.ordinary).popleft()

    def drop_last(self) -> Ticket:
        return (self.ordinary or self.urgent).pop()

    def keep(self, kept: frozenset[int]) -> None:
        for waiting in (self.urgent, self.ordinary):
            still = [ticket for ticket in waiting if ticket.number in kept]
            waiting.clear()
            waiting.extend(still)


def _order(lane: _Lane) -> tuple[float, str]:
    return lane.start, lane.team


class FairQueue:
    """A bounded queue that teams share by weight.

    Start-time fair queueing: each team has a virtual start time that grows
    by ``1 / weight`` with each request taken, and the team with the lowest
    one is next.  A team that was idle starts at the present virtual time, so
    that it can't save up a claim.

    Parameters
    ----------
    max_length
        How many requests may wait.
    """

    def __init__(self, max_length: int) -> None:
        """Start empty."""
        self._max_length = max_length
        self._lanes: dict[str, _Lane] = {}
        self._order = SortedList(key=_order)
        self._virtual = 0.0
        self._length = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return self._length

    def push(self, ticket: Ticket) -> Ticket | None:
        """Add a request.

        Parameters
        ----------
        ticket
            The request's place.

        Returns
        -------
        Ticket or None
            The request that has to go because the queue is full: the last
            ordinary one of the team furthest over its share, which can be
            the one that was just added.
        """
        lane = self._lanes.get(ticket.team) or self._open_lane(ticket)
        lane.append(ticket)
        self._length += 1
        if self._length <= self._max_length:
            return None
        return self._drop_from(max(self._lanes.values(), key=_excess))

    def pop(self) -> Ticket | None:
        """Return the request whose turn it is, or None if none waits."""
        if not self._order:
            return None
        lane = self._order.pop(0)
        ticket: Ticket = lane.popleft()
        self._length -= 1
        self._virtual = lane.start
        lane.start += 1 / lane.weight
        if lane:
            self._order.add(lane)
        else:
            self._lanes.pop(lane.team)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove one request; nothing changes if it does not wait."""
        lane = self._lanes.get(ticket.team)
        if lane is not None and ticket in tuple(lane):
            self._remove_from(lane, [ticket])

    def remove_due(self, before_s: float) -> list[Ticket]:
        """Remove every request that is due before a moment.

        Parameters
        ----------
        before_s
            Monotonic time, in seconds.

        Returns
        -------
        list of Ticket
            The removed requests.
        """
        removed: list[Ticket] = []
        for lane in tuple(self._lanes.values()):
            late = [ticket for ticket in lane if ticket.due_s < before_s]
            if late:
                removed.extend(late)
                self._remove_from(lane, late)
        return removed

    def ahead_of(self, team: str, weight: float, *, is_urgent: bool) -> float:
        """Estimate how many requests would be taken before a new one.

        Parameters
        ----------
        team, weight, is_urgent
            Of the new request.

        Returns
        -------
        float
            Those of its own team before it, and of each other team what its
            share takes in the meantime.
        """
        own = self._lanes.get(team)
        before = 0
        if own is not None:
            before = len(own.urgent) if is_urgent else len(own)
        turns = (before + 1) / weight
        others = sum(
            min(len(lane), turns * lane.weight)
            for lane in self._lanes.values()
            if lane is not own
        )
        return before + others

    def _open_lane(self, ticket: Ticket) -> _Lane:
        lane = _Lane(ticket.team, ticket.weight, self._virtual)
        lane.start += 1 / ticket.weight
        self._lanes[ticket.team] = lane
        self._order.add(lane)
        return lane

    def _drop_from(self, lane: _Lane) -> Ticket:
        dropped = lane.drop_last()
        self._length -= 1
        self._close_if_empty(lane)
        return dropped

    def _remove_from(self, lane: _Lane, late: list[Ticket]) -> None:
        gone = {ticket.number for ticket in late}
        lane.keep(frozenset(one.number for one in lane) - gone)
        self._length -= len(late)
        self._close_if_empty(lane)

    def _close_if_empty(self, lane: _Lane) -> None:
        if not lane:
            self._order.remove(lane)
            self._lanes.pop(lane.team)


def _excess(lane: _Lane) -> float:
    return lane.excess
