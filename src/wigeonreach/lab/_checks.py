"""Check, while a day is played, what must never happen."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from wigeonreach._room import NO_ROOM
from wigeonreach.jobs import JobStore, TaskKey
from wigeonreach.scheduling._incarnation import room_of
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import StartOrder


class BrokenRuleError(AssertionError):
    """Something happened that must never happen."""


def check_start(order: StartOrder, store: JobStore) -> None:
    """Check an order to start a run.

    Raises
    ------
    BrokenRuleError
        If its job has ended, its turn has not come or it failed too often.
    """
    wrong = _start_violation(order, store)
    if wrong:
        raise BrokenRuleError(f'{order.task}: {wrong}')


def _start_violation(order: StartOrder, store: JobStore) -> str:
    """Return what is wrong with an order, or nothing."""
    key = order.task
    job = store.job_of(key)
    task = job.task(key) if job else None
    if job is None or task is None or not job.is_active:
        return 'started after its job ended'
    if not job.may_start(key.occurrence, key.step):
        return 'started before its turn'
    if order.run != task.run:
        return f'run {order.run} is not recorded'
    has_failed = task.failures >= job.queue.max_failures
    if has_failed and not job.step_spec(key).is_service:
        return 'started too often'
    return ''


def check_workers(workers: Iterable[StandInWorker], store: JobStore) -> None:
    """Check what runs at one moment.

    Raises
    ------
    BrokenRuleError
        If two runs of one task do, or more on a worker than it holds.
    """
    runs: collections.Counter[TaskKey] = collections.Counter()
    for worker in workers:
        runs.update(key for key, _ in worker.running)
        _check_capacity(worker, store)
    for key, count in runs.items():
        if count > 1 and not store.may_run_twice(key):
            raise BrokenRuleError(f'{key}: {count} runs at once')


def _check_capacity(worker: StandInWorker, store: JobStore) -> None:
    specs = [store.spec_of(key) for key, _ in worker.running]
    needs = [spec.room for spec in specs if spec is not None]
    if not room_of(worker.last_report).holds(sum(needs, start=NO_ROOM)):
        raise BrokenRuleError(f'{worker.vm}: over its capacity')
