"""Keep the pools of a placement and which one each worker is of."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from wigeonreach.fleet._learning import Learner
from wigeonreach.fleet._placement_jobs import JobRecord
from wigeonreach.fleet._placement_queue import PoolQueue
from wigeonreach.fleet._quarantine import Quarantine


class Pools:
    """Pools by name, made when they are first asked for.

    Parameters
    ----------
    jobs, learner, quarantine
        What all pools share.
    quotas
        Processors by team.
    held_ratio
        Part of each worker's processors that is held for urgent work.
    """

    def __init__(
        self,
        jobs: Mapping[str, JobRecord],
        quotas: Mapping[str, float],
        held_ratio: float,
        learner: Learner,
        quarantine: Quarantine,
    ) -> None:
        """Start without pools."""
        self._jobs = jobs
        self._quotas = dict(quotas)
        self._held_ratio = held_ratio
        self._learner = learner
        self._quarantine = quarantine
        self._pools: dict[str, PoolQueue] = {}
        self._pool_of_worker: dict[str, str] = {}

    def get(self, name: str) -> PoolQueue:
        """Return a pool by name."""
        found = self._pools.get(name)
        if found is None:
            found = PoolQueue(
                self._jobs,
                self._quotas,
                self._held_ratio,
                self._learner,
                self._quarantine,
            )
            self._pools[name] = found
        return found

    def all(self) -> Iterable[PoolQueue]:
        """Return every pool."""
        return self._pools.values()

    def of_worker(self, worker: str) -> PoolQueue | None:
        """Return the pool of a worker, if the worker is known."""
        name = self._pool_of_worker.get(worker)
        return None if name is None else self._pools[name]

    def assign(self, worker: str, pool: str) -> None:
        """Note of which pool a worker is."""
        self._pool_of_worker[worker] = pool

    def change_quotas(self, quotas: Mapping[str, float]) -> None:
        """Take new quotas, by team."""
        self._quotas = dict(quotas)
        for pool in self._pools.values():
            pool.quota.change(quotas)
