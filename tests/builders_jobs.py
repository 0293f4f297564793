"""Builders of manifests, jobs and workers, with a leader in memory."""

from __future__ import annotations

from collections.abc import Iterable

from wigeonreach import jobs as made
from wigeonreach.jobs import (
    AddJob,
    BeginTerm,
    JobSpec,
    JobStore,
    Manifest,
    QueueSpec,
    RecordVmStep,
    ServiceSpec,
    SetManifest,
    StartWave,
    StepSpec,
    TaskKey,
    VmStep,
)
from wigeonreach.lab import VirtualLead, commit
from wigeonreach.scheduling import SchedulingSettings
from wigeonreach.standins import StandInWorker

QUEUE = 'bookings'
SERVICE = 'desk'
TERM = 3
JOB = '00000000000000a1'
OTHER_JOB = '00000000000000b2'
_DEFAULTS = SchedulingSettings()


def queue(name: str = QUEUE, **changes: object) -> QueueSpec:
    """Return a queue of the service."""
    fields: dict[str, object] = {
        'name': name,
        'host': 'club.example',
        'path_prefix': f'/{name}/',
        'service': SERVICE,
        'timeout_ms': 3000,
        'max_failures': 2,
        'slack_factor': 1.6,
        'target_latency_ms': 3600,
    }
    fields.update(changes)
    return QueueSpec(**fields)  # type: ignore[arg-type]


def manifest(*queues: QueueSpec, version: int = 1) -> Manifest:
    """Return a manifest with one service."""
    return Manifest(
        version=version,
        queues=queues or (queue(),),
        services=(ServiceSpec(SERVICE),),
        document=b'{"version":%d}' % version,
    )


def step(count: int = 1, **changes: object) -> StepSpec:
    """Return a step of small tasks."""
    fields: dict[str, object] = {
        'count': count,
        'cpu_millicores': 1000,
        'memory_mb': 1024,
        'estimate_ms': 600,
    }
    fields.update(changes)
    return StepSpec(**fields)  # type: ignore[arg-type]


def serving_step(count: int = 3, **changes: object) -> StepSpec:
    """Return a step of serving tasks, one per worker."""
    fields: dict[str, object] = {
        'is_service': True,
        'spread_limit': 1,
        'max_unavailable': 1,
        'latency_target_ms': 100,
    }
    fields.update(changes)
    return step(count, **fields)


def job(*steps: StepSpec, job_id: str = JOB) -> JobSpec:
    """Return a job that runs once and is due at once."""
    return JobSpec(job_id, 'payload', steps or (step(),))


def key(index: int = 0, step_number: int = 0, job_id: str = JOB) -> TaskKey:
    """Return the key of a task of the first occurrence."""
    return TaskKey(job_id, 0, step_number, index)


def store_with(*jobs: JobSpec) -> JobStore:
    """Return a store with a manifest, a term and jobs of one queue."""
    store = JobStore()
    commit(store, SetManifest(manifest()))
    commit(store, BeginTerm(TERM))
    for spec in jobs:
        commit(store, AddJob(spec, QUEUE))
    return store


class FakeLead(VirtualLead):
    """A leader with stand-in workers, without a network.

    Parameters
    ----------
    store
        The replicated state.
    workers
        The workers that send it heartbeats.
    term
        Number of its term.
    now_s
        When the term begins, in seconds.
    settings
        Settings of the scheduler.
    """

    def __init__(
        self,
        store: JobStore,
        workers: Iterable[StandInWorker],
        term: int = TERM,
        now_s: float = 0.0,
        settings: SchedulingSettings = _DEFAULTS,
    ) -> None:
        """Begin the term."""
        super().__init__(store, term, now_s, settings)
        self.workers = {worker.name: worker for worker in workers}

    def round(self, passed_s: float = 0.1) -> None:
        """Process all heartbeats, plan, and deliver the orders."""
        self.now_s += passed_s
        for worker in self.workers.values():
            self.hear(worker)
        self.plan()
        for receiver in self.workers.values():
            name = receiver.last_report.worker
            incarnation = self.scheduler.workers.incarnations.get(name)
            if incarnation is not None:
                receiver.obey(
                    self.scheduler.answers.orders(incarnation, self.now_s)
                )

    def hear(self, worker: StandInWorker) -> None:
        """Process one heartbeat of a worker."""
        self.take(worker.report())

    def cancel(self, job_id: str = JOB) -> None:
        """Cancel a job."""
        commit(self.store, made.CancelJob(job_id))

    def start_wave(
        self,
        vms: Iterable[str],
        limit: int,
        due_after_s: float = 20.0,
    ) -> None:
        """Commit the start of maintenance wave 1."""
        commit(self.store, StartWave(1, tuple(vms), due_after_s, limit))

    def record_vm(self, vm: str, reached: VmStep, worker: str = '') -> None:
        """Record the step that a VM of wave 1 has reached."""
        commit(self.store, RecordVmStep(self.term, 1, vm, reached, worker))


def workers(count: int) -> list[StandInWorker]:
    """Return workers that each run on their own VM."""
    return [
        StandInWorker(f'w{number}', f'vm{number}') for number in range(count)
    ]
