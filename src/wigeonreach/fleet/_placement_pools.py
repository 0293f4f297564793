"""Registry of the pools of a placement and of the pool of each worker."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from wigeonreach.fleet._job_usage import UsageEstimator
from wigeonreach.fleet._placement_jobs import JobRecord
from wigeonreach.fleet._placement_scheduler import PoolScheduler
from wigeonreach.fleet._quarantine import Quarantine


class Pools:
    """Pools by name, created on first access.

    Parameters
    ----------
    jobs, estimator, quarantine
        Jobs by id, usage estimates and failure records, shared by all pools.
    quotas
        Processors by team.
    held_ratio
        Ratio of each worker's processors that only urgent and preemptible
        jobs may use.
    """

    def __init__(
        self,
        jobs: Mapping[str, JobRecord],
        quotas: Mapping[str, float],
        held_ratio: float,
        estimator: UsageEstimator,
        quarantine: Quarantine,
    ) -> None:
        """Start without pools."""
        self._jobs = jobs
        self._quotas = dict(quotas)
        self._held_ratio = held_ratio
        self._estimator = estimator
        self._quarantine = quarantine
        self._pools: dict[str, PoolScheduler] = {}
        self._pool_of_worker: dict[str, str] = {}

    def get(self, name: str) -> PoolScheduler:
        """Return a pool by name, creating it if necessary."""
        found = self._pools.get(name)
        if found is None:
            found = PoolScheduler(
                self._jobs,
                self._quotas,
                self._held_ratio,
                self._estimator,
                self._quarantine,
            )
            self._pools[name] = found
        return found

    def all(self) -> Iterable[PoolScheduler]:
        """Return all pools."""
        return self._pools.values()

    def of_worker(self, worker: str) -> PoolScheduler | None:
        """Return the pool of a worker, if the worker is known."""
        name = self._pool_of_worker.get(worker)
        return None if name is None else self._pools[name]

    def assign(self, worker: str, pool: str) -> None:
        """Record the pool of a worker."""
        self._pool_of_worker[worker] = pool

    def change_quotas(self, quotas: Mapping[str, float]) -> None:
        """Replace the quotas, in processors by team."""
        self._quotas = dict(quotas)
        for pool in self._pools.values():
            pool.quota.replace_quotas(quotas)
