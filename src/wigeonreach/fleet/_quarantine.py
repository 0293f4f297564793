"""Distinguish faulty workers from faulty jobs by where failures occur."""

from __future__ import annotations

import collections
import dataclasses
import math

_QUARANTINE_EVIDENCE = 1.5
_FAULTY_JOB_WORKERS = 3
_FIRST_QUARANTINE_S = 60.0
_MAX_QUARANTINE_S = 3600.0
_DEFAULT_CAP_RATIO = 0.1


@dataclasses.dataclass(slots=True)
class _FamilyOutcomes:
    finished: int = 0
    failed: int = 0


@dataclasses.dataclass(slots=True)
class _WorkerRecord:
    """Failures of a worker since its last success."""

    evidence: float = 0.0
    failed_families: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    quarantines: int = 0
    ends_s: float = 0.0
    is_quarantined: bool = False
    is_probed: bool = False


class Quarantine:
    """Quarantine of workers whose jobs fail there but succeed elsewhere.

    A failure is weighted by how often jobs of the same family succeed, not
    counting their failures on this worker.  A family that fails everywhere
    therefore adds almost no evidence against a worker.  The share of a pool
    in quarantine is capped.

    Parameters
    ----------
    cap_ratio
        Largest share of a pool's workers that may be in quarantine; one
        worker always may.
    """

    def __init__(self, cap_ratio: float = _DEFAULT_CAP_RATIO) -> None:
        """Start without any recorded failures."""
        self._cap_ratio = cap_ratio
        self._families: dict[str, _FamilyOutcomes] = {}
        self._workers: dict[str, _WorkerRecord] = {}
        self._quarantined_by_pool: collections.Counter[str] = (
            collections.Counter()
        )
        self._failed_on: dict[str, set[str]] = {}
        self._losses: collections.Counter[str] = collections.Counter()

    def is_quarantined(self, worker: str) -> bool:
        """Whether a worker is in quarantine."""
        record = self._workers.get(worker)
        return record is not None and record.is_quarantined

    def failed_everywhere(self, job_id: str) -> bool:
        """Whether a job failed on enough workers to be considered faulty."""
        return len(self._failed_on.get(job_id, ())) >= _FAULTY_JOB_WORKERS

    def loses_workers(self, job_id: str) -> bool:
        """Whether enough workers were lost with a job to blame the job."""
        return self._losses[job_id] >= _FAULTY_JOB_WORKERS

    def note_worker_lost(self, job_id: str) -> None:
        """Record that a worker was lost soon after it had started a job.

        A worker that comes back and is lost again counts each time.
        """
        self._losses[job_id] += 1

    def failed_on(self, job_id: str) -> frozenset[str]:
        """Return the names of the workers on which a job failed."""
        return frozenset(self._failed_on.get(job_id, ()))

    def forget_job(self, job_id: str) -> None:
        """Delete the records of a job that is done."""
        self._failed_on.pop(job_id, None)
        self._losses.pop(job_id, None)

    def note_success(self, pool: str, worker: str, family: str) -> bool:
        """Record a success; return whether the worker left quarantine."""
        self._families.setdefault(family, _FamilyOutcomes()).finished += 1
        record = self._workers.pop(worker, None)
        if record is None or not record.is_quarantined:
            return False
        self._quarantined_by_pool[pool] -= 1
        return True

    def note_failure(
        self,
        pool: str,
        pool_workers: int,
        worker: str,
        job_id: str,
        family: str,
        now_s: float,
    ) -> bool:
        """Record a failure; return whether the worker is now quarantined."""
        self._failed_on.setdefault(job_id, set()).add(worker)
        record = self._workers.setdefault(worker, _WorkerRecord())
        record.evidence += self._weight(record, family)
        record.failed_families[family] += 1
        self._families.setdefault(family, _FamilyOutcomes()).failed += 1
        if record.is_quarantined:
            self._quarantine(record, now_s)
            return True
        cap = max(1, math.floor(pool_workers * self._cap_ratio))
        if (
            record.evidence < _QUARANTINE_EVIDENCE
            or self._quarantined_by_pool[pool] >= cap
        ):
            return False
        self._quarantined_by_pool[pool] += 1
        self._quarantine(record, now_s)
        return True

    def due_for_probe(self, now_s: float) -> list[str]:
        """Return the quarantined workers to probe with one job, once each."""
        due = [
            name
            for name, record in self._workers.items()
            if record.is_quarantined
            and not record.is_probed
            and record.ends_s <= now_s
        ]
        for name in due:
            self._workers[name].is_probed = True
        return due

    def allow_probe(self, worker: str) -> None:
        """Allow another probe after one that ended inconclusively."""
        record = self._workers.get(worker)
        if record is not None:
            record.is_probed = False

    def forget_worker(self, pool: str, worker: str) -> None:
        """Delete the record of a worker that joined its pool again."""
        record = self._workers.pop(worker, None)
        if record is not None and record.is_quarantined:
            self._quarantined_by_pool[pool] -= 1

    def _weight(self, record: _WorkerRecord, family: str) -> float:
        outcomes = self._families.get(family, _FamilyOutcomes())
        failed_elsewhere = outcomes.failed - record.failed_families[family]
        # Laplace smoothing: starts from one success and one failure.
        return (outcomes.finished + 1) / (
            outcomes.finished + failed_elsewhere + 2
        )

    def _quarantine(self, record: _WorkerRecord, now_s: float) -> None:
        duration_s = min(
            _FIRST_QUARANTINE_S * 2**record.quarantines, _MAX_QUARANTINE_S
        )
        record.quarantines += 1
        record.ends_s = now_s + duration_s
        record.is_quarantined = True
        record.is_probed = False
