"""Tell a bad worker from a bad job by who fails where."""

from __future__ import annotations

import collections
import dataclasses
import math

_SUSPECT_EVIDENCE = 1.5
_BAD_JOB_WORKERS = 3
_FIRST_REST_S = 60.0
_LONGEST_REST_S = 3600.0
_DEFAULT_CAP_RATIO = 0.1


@dataclasses.dataclass(slots=True)
class _Tally:
    finished: int = 0
    failed: int = 0


@dataclasses.dataclass(slots=True)
class _WorkerRecord:
    """What happened on a worker since its last success."""

    evidence: float = 0.0
    failed_families: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    rests: int = 0
    ends_s: float = 0.0
    is_resting: bool = False
    is_probed: bool = False


class Quarantine:
    """Workers that fail what runs well elsewhere.

    A failure counts against a worker by how often jobs of the same family
    succeed on other workers.  A family that fails everywhere therefore counts
    for next to nothing, and the share of a pool that may rest is capped.

    Parameters
    ----------
    cap_ratio
        Largest share of a pool's workers that may be in quarantine.
    """

    def __init__(self, cap_ratio: float = _DEFAULT_CAP_RATIO) -> None:
        """Start with no failure known."""
        self._cap_ratio = cap_ratio
        self._families: dict[str, _Tally] = {}
        self._workers: dict[str, _WorkerRecord] = {}
        self._resting: collections.Counter[str] = collections.Counter()
        self._failed_on: dict[str, set[str]] = {}
        self._losses: collections.Counter[str] = collections.Counter()

    def is_resting(self, worker: str) -> bool:
        """Whether a worker gets no ordinary work."""
        record = self._workers.get(worker)
        return record is not None and record.is_resting

    def is_bad_job(self, job_id: str) -> bool:
        """Whether a job failed on so many workers that it is to blame."""
        return len(self._failed_on.get(job_id, ())) >= _BAD_JOB_WORKERS

    def loses_workers(self, job_id: str) -> bool:
        """Whether so many workers were lost with a job that it is to blame."""
        return self._losses[job_id] >= _BAD_JOB_WORKERS

    def lost(self, job_id: str) -> None:
        """Take in that a worker was lost soon after it had started a job.

        It may be the same worker each time, as that comes back.
        """
        self._losses[job_id] += 1

    def failed_on(self, job_id: str) -> frozenset[str]:
        """Return the workers on which a job failed."""
        return frozenset(self._failed_on.get(job_id, ()))

    def forget_job(self, job_id: str) -> None:
        """Drop what is known of a job that is done."""
        self._failed_on.pop(job_id, None)
        self._losses.pop(job_id, None)

    def finished(self, pool: str, worker: str, family: str) -> bool:
        """Take a success in; return whether the worker left quarantine."""
        self._families.setdefault(family, _Tally()).finished += 1
        record = self._workers.pop(worker, None)
        if record is None or not record.is_resting:
            return False
        self._resting[pool] -= 1
        return True

    def failed(
        self,
        pool: str,
        pool_workers: int,
        worker: str,
        job_id: str,
        family: str,
        now_s: float,
    ) -> bool:
        """Take a failure in; return whether the worker is now resting."""
        self._failed_on.setdefault(job_id, set()).add(worker)
        record = self._workers.setdefault(worker, _WorkerRecord())
        record.evidence += self._weight(record, family)
        record.failed_families[family] += 1
        self._families.setdefault(family, _Tally()).failed += 1
        if record.is_resting:
            self._rest(record, now_s)
            return True
        cap = max(1, math.floor(pool_workers * self._cap_ratio))
        if record.evidence < _SUSPECT_EVIDENCE or self._resting[pool] >= cap:
            return False
        self._resting[pool] += 1
        self._rest(record, now_s)
        return True

    def due_for_probe(self, now_s: float) -> list[str]:
        """Return resting workers that may be given one job, once each."""
        due = [
            name
            for name, record in self._workers.items()
            if record.is_resting
            and not record.is_probed
            and record.ends_s <= now_s
        ]
        for name in due:
            self._workers[name].is_probed = True
        return due

    def probe_again(self, worker: str) -> None:
        """Note that a probe ended without telling anything."""
        record = self._workers.get(worker)
        if record is not None:
            record.is_probed = False

    def forget_worker(self, pool: str, worker: str) -> None:
        """Drop a worker that left or was rebooted."""
        record = self._workers.pop(worker, None)
        if record is not None and record.is_resting:
            self._resting[pool] -= 1

    def _weight(self, record: _WorkerRecord, family: str) -> float:
        tally = self._families.get(family, _Tally())
        failed_elsewhere = tally.failed - record.failed_families[family]
        # One success and one failure are assumed beforehand.
        return (tally.finished + 1) / (tally.finished + failed_elsewhere + 2)

    def _rest(self, record: _WorkerRecord, now_s: float) -> None:
        rest_s = min(_FIRST_REST_S * 2**record.rests, _LONGEST_REST_S)
        record.rests += 1
        record.ends_s = now_s + rest_s
        record.is_resting = True
        record.is_probed = False
