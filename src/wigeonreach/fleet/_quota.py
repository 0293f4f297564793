"""Share a pool's processors between teams by quota, with borrowing."""

from __future__ import annotations

import collections
from collections.abc import Iterator, Mapping

from sortedcontainers import SortedSet

# A team without a quota of its own only ever borrows.
_SMALLEST_QUOTA = 1e-3


class QuotaBook:
    """Processors used and jobs waiting, by team.

    Teams whose share of their quota is lowest come first; a team above its
    quota borrows, and gives way to one below that waits.

    Parameters
    ----------
    quotas
        Processors by team.
    """

    def __init__(self, quotas: Mapping[str, float]) -> None:
        """Start with nothing used and nothing waiting."""
        self._quotas = dict(quotas)
        self._used: dict[str, float] = {}
        self._waiting: dict[str, collections.OrderedDict[str, None]] = {}
        self._yielding: dict[str, collections.OrderedDict[str, None]] = {}
        self._hungry: SortedSet = SortedSet()
        self._borrowers: SortedSet = SortedSet()

    def change(self, quotas: Mapping[str, float]) -> None:
        """Take new quotas; those of teams that are left out end."""
        for team in self._quotas.keys() | quotas.keys():
            if self._quotas.get(team) != quotas.get(team):
                self._unlist(team)
                self._quotas[team] = quotas.get(team, 0)
                self._list(team)

    def share(self, team: str) -> float:
        """Return used processors as a ratio of the team's quota."""
        quota = max(self._quotas.get(team, 0), _SMALLEST_QUOTA)
        return self._used.get(team, 0) / quota

    def use(self, team: str, processors: float) -> None:
        """Add to a team's used processors, or take away if below zero."""
        self._unlist(team)
        # Sums of fractions must not leave a team below nothing.
        self._used[team] = max(0, self._used.get(team, 0) + processors)
        self._list(team)

    def wait(self, team: str, job_id: str, *, is_first: bool = False) -> None:
        """Put a job at the end of its team's queue, or at its head."""
        self._unlist(team)
        queue = self._waiting.setdefault(team, collections.OrderedDict())
        queue[job_id] = None
        if is_first:
            queue.move_to_end(job_id, last=False)
        self._list(team)

    def leave(self, team: str, job_id: str) -> None:
        """Take a job out of its team's queue, if it is there."""
        queue = self._waiting.get(team)
        if queue is None or job_id not in queue:
            return
        self._unlist(team)
        queue.pop(job_id)
        if not queue:
            self._waiting.pop(team)
        self._list(team)

    def yields(self, team: str, job_id: str, *, is_running: bool) -> None:
        """Note whether a running job of a team may give way."""
        self._unlist(team)
        running = self._yielding.setdefault(team, collections.OrderedDict())
        if is_running:
            running[job_id] = None
        else:
            running.pop(job_id, None)
        self._list(team)

    def heads(self, limit: int) -> list[str]:
        """Return the first waiting job of the teams furthest below quota."""
        teams = [entry[1] for entry in self._hungry.islice(0, limit)]
        return [next(iter(self._waiting[team])) for team in teams]

    def waiting_jobs(self) -> int:
        """Return how many jobs wait."""
        return sum(len(queue) for queue in self._waiting.values())

    def borrowed_jobs(self, limit: int) -> Iterator[str]:
        """Yield jobs that give way, the latest of the largest borrower first.

        Parameters
        ----------
        limit
            How many to yield at most.
        """
        left = limit
        for entry in reversed(self._borrowers):
            for job_id in reversed(self._yielding[entry[1]]):
                if not left:
                    return
                left -= 1
                yield job_id

    def _list(self, team: str) -> None:
        share = self.share(team)
        if self._waiting.get(team):
            self._hungry.add((share, team))
        if share > 1 and self._yielding.get(team):
            self._borrowers.add((share, team))

    def _unlist(self, team: str) -> None:
        entry = (self.share(team), team)
        self._hungry.discard(entry)
        self._borrowers.discard(entry)
