"""Invariants that are checked while a day is simulated."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from wigeonreach._resources import NO_RESOURCES
from wigeonreach.jobs import JobStore, TaskKey
from wigeonreach.scheduling._incarnation import resources_of
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import StartOrder


class BrokenRuleError(AssertionError):
    """An invariant of the scheduler was violated."""


def check_start(order: StartOrder, store: JobStore) -> None:
    """Check an order to start a run.

    Raises
    ------
    BrokenRuleError
        If the job has ended, its step may not start yet, the run is not
        recorded or the task has failed too often.
    """
    wrong = _start_violation(order, store)
    if wrong:
        raise BrokenRuleError(f'{order.task}: {wrong}')


def _start_violation(order: StartOrder, store: JobStore) -> str:
    """Return which invariant an order violates, or an empty string."""
    key = order.task
    job = store.job_of(key)
    task = job.task(key) if job else None
    if job is None or task is None or not job.is_active:
        return 'started after its job ended'
    if not job.may_start(key.occurrence, key.step):
        return 'started before its step may start'
    if order.run != task.run:
        return f'run {order.run} is not recorded'
    has_failed = task.failures >= job.queue.max_failures
    if has_failed and not job.step_spec(key).is_service:
        return 'started after its last allowed failure'
    return ''


def check_workers(workers: Iterable[StandInWorker], store: JobStore) -> None:
    """Check the runs of all workers at one moment.

    Raises
    ------
    BrokenRuleError
        If two runs of a task are active that must not be, or the runs of a
        worker exceed its capacity.
    """
    runs: collections.Counter[TaskKey] = collections.Counter()
    for worker in workers:
        runs.update(key for key, _ in worker.running)
        _check_capacity(worker, store)
    for key, count in runs.items():
        if count > 1 and not store.allows_copies(key):
            raise BrokenRuleError(f'{key}: {count} concurrent runs')


def _check_capacity(worker: StandInWorker, store: JobStore) -> None:
    specs = [store.spec_of(key) for key, _ in worker.running]
    needs = [spec.resources for spec in specs if spec is not None]
    if not resources_of(worker.last_report).covers(
        sum(needs, start=NO_RESOURCES)
    ):
        raise BrokenRuleError(f'{worker.vm}: runs exceed its capacity')
