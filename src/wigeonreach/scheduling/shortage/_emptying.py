"""Choose busy VMs that late work gives back, and the runs to stop there.

A VM moves only once it is empty.  Its late batch runs may end by themselves, or
be stopped and started again elsewhere later.  Letting them end keeps the VM's
processors from work in time; stopping them throws away what they have done.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

from wigeonreach.jobs import JobStore, Run, StepSpec
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._objectives import task_estimate_s
from wigeonreach.scheduling.shortage._triage import OccurrenceId

# A task's first two runs may be stopped for other work; the third one ends.
_MAX_STOPPED_RUN = 2
_COMPLETE_PERCENT = 100


@dataclasses.dataclass(frozen=True, slots=True)
class EmptyingVm:
    """A VM that only runs late batch work.

    Attributes
    ----------
    vm
        Its name.
    empty_in_s
        When it is expected to be empty if its runs go on.
    runs
        All its runs.
    gained_s
        Processor seconds of the VM until then, which stopping the runs gives
        to work in time.
    lost_s
        Processor seconds of work that stopping the runs would throw away.
    may_stop
        Whether none of the runs was stopped often.
    """

    vm: str
    empty_in_s: float
    runs: tuple[Run, ...]
    gained_s: float
    lost_s: float
    may_stop: bool

    @property
    def stops(self) -> tuple[Run, ...]:
        """The runs to stop, none if it costs less to let them end."""
        return (
            self.runs if self.may_stop and self.lost_s < self.gained_s else ()
        )


def emptying_vm(
    worker: Incarnation,
    store: JobStore,
    late: Collection[OccurrenceId],
) -> EmptyingVm | None:
    """Return what emptying a worker's VM takes; None if it must not be emptied.

    Parameters
    ----------
    worker
        The worker.
    store
        The replicated state, which tells what runs where.
    late
        Occurrences that can't be on time, or that are deferred.
    """
    if not worker.is_proven_alive:
        return None
    runs = _batch_runs(worker, store)
    if not runs or any(run.occurrence_id not in late for run in runs):
        return None
    empty_in_s = max(run.left_s for run in runs)
    return EmptyingVm(
        vm=worker.report.vm,
        empty_in_s=empty_in_s,
        runs=tuple(run.run for run in runs),
        gained_s=worker.resources.processors * empty_in_s,
        lost_s=sum(run.lost_s for run in runs),
        may_stop=all(run.run[1] <= _MAX_STOPPED_RUN for run in runs),
    )


def emptying_order(vm: EmptyingVm) -> tuple[float, str]:
    """Sort key: VMs that are empty first come first."""
    return (0.0 if vm.stops else vm.empty_in_s), vm.vm


@dataclasses.dataclass(frozen=True, slots=True)
class _BatchRun:
    """A batch run, by its declared run time."""

    run: Run
    spec: StepSpec
    done_ratio: float

    @property
    def occurrence_id(self) -> OccurrenceId:
        key, _ = self.run
        return key.job_id, key.occurrence

    @property
    def processors(self) -> float:
        return self.spec.resources.processors

    @property
    def left_s(self) -> float:
        return task_estimate_s(self.spec) * (1 - self.done_ratio)

    @property
    def lost_s(self) -> float:
        """Processor seconds of its work that a stop would throw away."""
        if self.spec.saves_progress:
            return 0.0
        return self.processors * task_estimate_s(self.spec) * self.done_ratio


def _batch_runs(worker: Incarnation, store: JobStore) -> list[_BatchRun]:
    """Return the runs of a worker; none if some serve or are in a gang."""
    percents = {(row.task, row.run): row.percent for row in worker.running}
    # Runs that it does not list yet are about to start.
    for run in store.runs_of(worker.report.worker).items():
        percents.setdefault(run, 0)
    runs: list[_BatchRun] = []
    for run, percent in percents.items():
        spec = store.spec_of(run[0])
        if spec is None or spec.is_service or spec.is_gang:
            return []
        runs.append(_BatchRun(run, spec, percent / _COMPLETE_PERCENT))
    return runs
