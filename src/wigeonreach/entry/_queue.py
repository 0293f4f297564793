"""Weighted fair queue of the requests that wait for one service."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterator

from sortedcontainers import SortedList


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Queue entry of one waiting request.

    ``due_s`` is the deadline in monotonic time, in seconds; ``weight`` is the
    team's weight in the fleet configuration.
    """

    number: int
    team: str
    weight: float
    is_urgent: bool
    due_s: float


class _TeamQueue:
    """The waiting requests of one team; urgent ones are taken first."""

    def __init__(self, team: str, weight: float, virtual_start: float) -> None:
        self.team = team
        self.weight = weight
        self.virtual_start = virtual_start
        self.urgent: collections.deque[Ticket] = collections.deque()
        self.ordinary: collections.deque[Ticket] = collections.deque()

    def __len__(self) -> int:
        return len(self.urgent) + len(self.ordinary)

    def __iter__(self) -> Iterator[Ticket]:
        yield from self.urgent
        yield from self.ordinary

    @property
    def weighted_length(self) -> float:
        return len(self) / self.weight

    def append(self, ticket: Ticket) -> None:
        waiting = self.urgent if ticket.is_urgent else self.ordinary
        waiting.append(ticket)

    def popleft(self) -> Ticket:
        return (self.urgent or self.ordinary).popleft()

    def drop_last(self) -> Ticket:
        return (self.ordinary or self.urgent).pop()

    def retain(self, kept_numbers: frozenset[int]) -> None:
        for waiting in (self.urgent, self.ordinary):
            remaining = [
                ticket for ticket in waiting if ticket.number in kept_numbers
            ]
            waiting.clear()
            waiting.extend(remaining)


def _scheduling_key(team_queue: _TeamQueue) -> tuple[float, str]:
    return team_queue.virtual_start, team_queue.team


class FairQueue:
    """A bounded queue that is shared between teams by weight.

    Implements start-time fair queueing: each team has a virtual start time
    that grows by ``1 / weight`` with each request taken, and the team with the
    lowest one is next.  A team that was idle starts ``1 / weight`` after the
    current virtual time, so that it can't accumulate credit.

    Parameters
    ----------
    max_length
        Maximum number of waiting requests.
    """

    def __init__(self, max_length: int) -> None:
        """Start empty."""
        self._max_length = max_length
        self._teams: dict[str, _TeamQueue] = {}
        self._order = SortedList(key=_scheduling_key)
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._length

    def push(self, ticket: Ticket) -> Ticket | None:
        """Add a request.

        Parameters
        ----------
        ticket
            The request to add.

        Returns
        -------
        Ticket or None
            The request that was dropped because the queue is full: the last
            ordinary one, or else the last urgent one, of the team with the
            most requests per weight.  It can be the one that was just added.
        """
        team_queue = self._teams.get(ticket.team) or self._add_team(ticket)
        team_queue.append(ticket)
        self._length += 1
        if self._length <= self._max_length:
            return None
        return self._drop_from(max(self._teams.values(), key=_weighted_length))

    def pop(self) -> Ticket | None:
        """Remove and return the next request, or None if the queue is empty."""
        if not self._order:
            return None
        team_queue = self._order.pop(0)
        ticket: Ticket = team_queue.popleft()
        self._length -= 1
        self._virtual_time = team_queue.virtual_start
        team_queue.virtual_start += 1 / team_queue.weight
        if team_queue:
            self._order.add(team_queue)
        else:
            self._teams.pop(team_queue.team)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove one request; does nothing if it is not queued."""
        team_queue = self._teams.get(ticket.team)
        if team_queue is not None and ticket in tuple(team_queue):
            self._remove_from(team_queue, [ticket])

    def remove_expired(self, before_s: float) -> list[Ticket]:
        """Remove every request whose deadline is before a given time.

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
        for team_queue in tuple(self._teams.values()):
            expired = [
                ticket for ticket in team_queue if ticket.due_s < before_s
            ]
            if expired:
                removed.extend(expired)
                self._remove_from(team_queue, expired)
        return removed

    def estimate_ahead(
        self, team: str, weight: float, *, is_urgent: bool
    ) -> float:
        """Estimate how many requests would be taken before a new one.

        Parameters
        ----------
        team, weight, is_urgent
            Properties of the new request.

        Returns
        -------
        float
            The requests of its own team before it, plus those that each other
            team's share allows in the meantime.
        """
        own = self._teams.get(team)
        own_ahead = 0
        if own is not None:
            own_ahead = len(own.urgent) if is_urgent else len(own)
        virtual_span = (own_ahead + 1) / weight
        from_others = sum(
            min(len(team_queue), virtual_span * team_queue.weight)
            for team_queue in self._teams.values()
            if team_queue is not own
        )
        return own_ahead + from_others

    def _add_team(self, ticket: Ticket) -> _TeamQueue:
        team_queue = _TeamQueue(ticket.team, ticket.weight, self._virtual_time)
        team_queue.virtual_start += 1 / ticket.weight
        self._teams[ticket.team] = team_queue
        self._order.add(team_queue)
        return team_queue

    def _drop_from(self, team_queue: _TeamQueue) -> Ticket:
        dropped = team_queue.drop_last()
        self._length -= 1
        self._remove_team_if_empty(team_queue)
        return dropped

    def _remove_from(
        self, team_queue: _TeamQueue, expired: list[Ticket]
    ) -> None:
        removed = {ticket.number for ticket in expired}
        team_queue.retain(
            frozenset(ticket.number for ticket in team_queue) - removed
        )
        self._length -= len(expired)
        self._remove_team_if_empty(team_queue)

    def _remove_team_if_empty(self, team_queue: _TeamQueue) -> None:
        if not team_queue:
            self._order.remove(team_queue)
            self._teams.pop(team_queue.team)


def _weighted_length(team_queue: _TeamQueue) -> float:
    return team_queue.weighted_length
