"""Share a pool's processors between teams by quota, with borrowing."""

from __future__ import annotations

import collections
from collections.abc import Iterator, Mapping

from sortedcontainers import SortedSet

# Used for teams without a quota, so that all their usage is borrowed.
_MIN_QUOTA = 1e-3


class QuotaTracker:
    """Processors used and jobs waiting, by team.

    Teams that use the smallest part of their quota come first.  A team above
    its quota borrows, and its jobs may be preempted for a waiting team below
    its quota.

    Parameters
    ----------
    quotas
        Processors by team.
    """

    def __init__(self, quotas: Mapping[str, float]) -> None:
        """Start without any usage or waiting jobs."""
        self._quotas = dict(quotas)
        self._used: dict[str, float] = {}
        self._waiting: dict[str, collections.OrderedDict[str, None]] = {}
        self._preemptible: dict[str, collections.OrderedDict[str, None]] = {}
        self._waiting_teams: SortedSet = SortedSet()
        self._borrowers: SortedSet = SortedSet()

    def replace_quotas(self, quotas: Mapping[str, float]) -> None:
        """Replace the quotas; teams that are left out lose theirs."""
        for team in self._quotas.keys() | quotas.keys():
            if self._quotas.get(team) != quotas.get(team):
                self._unindex_team(team)
                self._quotas[team] = quotas.get(team, 0)
                self._index_team(team)

    def usage_ratio(self, team: str) -> float:
        """Return the team's used processors divided by its quota."""
        quota = max(self._quotas.get(team, 0), _MIN_QUOTA)
        return self._used.get(team, 0) / quota

    def add_usage(self, team: str, processors: float) -> None:
        """Add to a team's used processors; a negative number subtracts."""
        self._unindex_team(team)
        # Rounding errors must not make the usage negative.
        self._used[team] = max(0, self._used.get(team, 0) + processors)
        self._index_team(team)

    def enqueue(
        self, team: str, job_id: str, *, is_first: bool = False
    ) -> None:
        """Append a job to its team's queue, or insert it at the head."""
        self._unindex_team(team)
        queue = self._waiting.setdefault(team, collections.OrderedDict())
        queue[job_id] = None
        if is_first:
            queue.move_to_end(job_id, last=False)
        self._index_team(team)

    def dequeue(self, team: str, job_id: str) -> None:
        """Remove a job from its team's queue, if it is there."""
        queue = self._waiting.get(team)
        if queue is None or job_id not in queue:
            return
        self._unindex_team(team)
        queue.pop(job_id)
        if not queue:
            self._waiting.pop(team)
        self._index_team(team)

    def mark_preemptible(
        self, team: str, job_id: str, *, is_running: bool
    ) -> None:
        """Record whether a job of a team is running and may be preempted."""
        self._unindex_team(team)
        running = self._preemptible.setdefault(team, collections.OrderedDict())
        if is_running:
            running[job_id] = None
        else:
            running.pop(job_id, None)
        self._index_team(team)

    def first_waiting(self, limit: int) -> list[str]:
        """Return the first waiting job of each team, lowest usage first."""
        teams = [entry[1] for entry in self._waiting_teams.islice(0, limit)]
        return [next(iter(self._waiting[team])) for team in teams]

    def waiting_jobs(self) -> int:
        """Return the number of waiting jobs."""
        return sum(len(queue) for queue in self._waiting.values())

    def borrowed_jobs(self, limit: int) -> Iterator[str]:
        """Yield preemptible jobs: largest borrower first, latest job first.

        Parameters
        ----------
        limit
            Largest number of jobs to yield.
        """
        remaining = limit
        for entry in reversed(self._borrowers):
            for job_id in reversed(self._preemptible[entry[1]]):
                if not remaining:
                    return
                remaining -= 1
                yield job_id

    def _index_team(self, team: str) -> None:
        ratio = self.usage_ratio(team)
        if self._waiting.get(team):
            self._waiting_teams.add((ratio, team))
        if ratio > 1 and self._preemptible.get(team):
            self._borrowers.add((ratio, team))

    def _unindex_team(self, team: str) -> None:
        entry = (self.usage_ratio(team), team)
        self._waiting_teams.discard(entry)
        self._borrowers.discard(entry)
