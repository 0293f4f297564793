"""Find out which runs bring their workers down.

Answers tasks that crash each worker that starts them: such a worker just falls
silent, like one that is cut off or loses its power, so a task that is merely
begun again elsewhere takes down one worker after another, and all that runs
beside it.  What fell silent is doubted at once.  It is held against the runs of
a worker only if its VM has another worker afterwards (what is cut off comes back
as it was), if no order for that worker explains it, and if its rack or zone did
not go with it; a start that was never listed counts in each of these cases.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator

from wigeonreach.jobs import (
    CrashEvidence,
    JobStore,
    Run,
    RunCrashed,
    TaskKey,
)
from wigeonreach.observe import LogEvent
from wigeonreach.scheduling._evidence import LostRun, evidence_of
from wigeonreach.scheduling._incarnation import LEASE_MS, Incarnation
from wigeonreach.scheduling._losses import (
    FallenWorkers,
    WorkerLoss,
)
from wigeonreach.scheduling._notes import Note
from wigeonreach.scheduling._progress import ProgressWatch
from wigeonreach.scheduling._suspects import APART_FOR_S, Suspects
from wigeonreach.scheduling._vms import ORDER_LASTS_S
from wigeonreach.scheduling._workers import Workers

_MS_PER_S = 1000
_NEVER_S = float('-inf')
# A VM was seen to have another worker 3.2 s after a crash; longer than outages
# of racks last.
_BACK_WITHIN_S = 30.0
# For so long a loss that is not explained yet counts in what a task may risk: one
# whose workers come back late would be begun too often meanwhile.
_DOUBT_S = 15.0
# All workers that go on are heard so soon in a term.
_ALL_HEARD_S = 1.5
# A VM that lost its worker so short a time ago may itself be the cause.
_LATELY_S = 20.0


class CrashWatch:
    """What the leader of a term knows of workers that fell silent.

    Parameters
    ----------
    store
        What runs where; it is only read.
    workers
        Those that are heard.
    progress
        Since when runs are at work.
    now_s
        When the term began.

    Attributes
    ----------
    notes
        What came out of losses, not logged yet.
    """

    def __init__(
        self,
        store: JobStore,
        workers: Workers,
        progress: ProgressWatch,
        now_s: float,
    ) -> None:
        """Know of no loss."""
        self.notes: list[Note] = []
        self._store = store
        self._workers = workers
        self._progress = progress
        # Losses that are not explained yet, by worker; and all late ones.
        self._open: dict[str, WorkerLoss] = {}
        self._losses: dict[str, WorkerLoss] = {}
        self._found: dict[Run, RunCrashed] = {}
        # When tasks were lost last; before, if they were, no later than here.
        self._lost_s: dict[TaskKey, float] = {}
        self._began_s = now_s
        # When VMs lost a worker last, and when for no start on it.
        self._crashed_s: dict[str, float] = {}
        self._by_itself_s: dict[str, float] = {}
        # When the newest worker of each VM was heard first, and which it is.
        self._joined: dict[str, tuple[float, str]] = {}
        # When each worker was ordered to end, by a former leader before all
        # else; by the VM alone where no worker was known.
        self._inherited = frozenset(
            order.worker or vm for vm, order in store.vm_orders.items()
        )
        self._ordered_s = dict.fromkeys(self._inherited, now_s + _ALL_HEARD_S)

    def note_heard(self, incarnation: Incarnation) -> None:
        """Take note of a heartbeat: its worker goes on, if it was given up."""
        report = incarnation.report
        returned = self._open.pop(report.worker, None)
        if returned is not None:
            self._drop(returned)
        self._losses.pop(report.worker, None)
        joined = (incarnation.first_heard_s, report.worker)
        vm = report.vm_or_address
        if joined > self._joined.get(vm, (0.0, '')):
            self._joined[vm] = joined

    def note_vm_ordered(self, vm: str, worker: str, now_s: float) -> None:
        """Take note that an order is about to end a VM's worker.

        It explains nothing that befell earlier workers of the VM.

        Parameters
        ----------
        vm
            Which is ordered.
        worker
            The incarnation there; nothing if none is known.
        now_s
            Clock in seconds.
        """
        self._ordered_s = {
            ordered: ordered_s
            for ordered, ordered_s in self._ordered_s.items()
            if now_s - ordered_s <= _BACK_WITHIN_S
        }
        self._ordered_s[worker or vm] = now_s

    def note_lost(
        self,
        incarnation: Incarnation,
        runs: Iterable[Run],
        now_s: float,
    ) -> None:
        """Take note that runs are given up, as their worker fell silent.

        Parameters
        ----------
        incarnation
            The worker, as it was heard last.
        runs
            That are given up.
        now_s
            Clock in seconds.
        """
        worker = incarnation.report.worker
        loss = self._open.get(worker) or _loss_of(incarnation, now_s)
        self._charge(loss, incarnation, runs)
        self._lost_s.update(dict.fromkeys((key for key, _ in loss.runs), now_s))
        if incarnation.is_ending or self._was_ordered(incarnation):
            self._doubt_starts(loss)
            return
        self._doubt(loss)
        self._losses[worker] = loss

    def note_unheard(self, worker: str, now_s: float) -> None:
        """Take note that a worker of an earlier term is not heard in this."""
        held = self._store.held_by(worker)
        tasks = [self._store.task_of(key) for key in held]
        vm = next((task.vm for task in tasks if task is not None), '')
        if not vm or worker in self._open:
            return
        loss = WorkerLoss(worker, vm, _NEVER_S, now_s)
        loss.runs.update(
            dict.fromkeys(held.items(), CrashEvidence.UNCERTAIN),
        )
        # Nobody here knows whether it listed them.
        loss.at_start.update(held.items())
        self._lost_s.update(dict.fromkeys(held, now_s))
        if self._inherited.isdisjoint((vm, worker)):
            self._doubt(loss)
        else:
            self._doubt_starts(loss)

    def found(self, now_s: float) -> tuple[RunCrashed, ...]:
        """Return the crashes to be recorded; the same until they are."""
        over = [loss for loss in self._open.values() if self._is_over(loss)]
        if over:
            fallen = FallenWorkers(
                (*self._losses.values(), *self._silent(now_s)),
                self._workers.incarnations.values(),
            )
            for settled in over:
                self._open.pop(settled.worker)
                self._settle(settled, fallen, now_s)
        for waiting in tuple(self._open.values()):
            if now_s - waiting.noted_s > _BACK_WITHIN_S:
                self._drop(self._open.pop(waiting.worker))
                self._doubt_starts(waiting)
        if self._losses:
            self._losses = {
                worker: late
                for worker, late in self._losses.items()
                if now_s - late.noted_s <= _BACK_WITHIN_S
            }
        return tuple(self._found.values())

    def note_recorded(self, crashes: Iterable[RunCrashed]) -> None:
        """Take note that crashes are recorded for good."""
        for crashed in crashes:
            self._found.pop((crashed.task, crashed.run), None)

    def has_crashed_lately(self, vm: str, now_s: float) -> bool:
        """Whether a VM lost a worker for no cause but itself or its runs."""
        return now_s - self._crashed_s.get(vm, _NEVER_S) < _LATELY_S

    def suspects(self, now_s: float) -> Suspects:
        """Return the tasks that may bring their workers down."""
        doubtful = collections.Counter[TaskKey]()
        for loss in self._open.values():
            if now_s - loss.noted_s < _DOUBT_S:
                doubtful.update(key for key, _ in loss.runs)
        self._lost_s = {
            key: lost_s
            for key, lost_s in self._lost_s.items()
            if now_s - lost_s < APART_FOR_S
        }
        return Suspects(doubtful, self._lost_s, self._began_s, now_s)

    def _doubt(self, loss: WorkerLoss) -> None:
        """Have it recorded that a loss may be the fault of what ran there.

        A next leader knows nothing of it but that.
        """
        self._open[loss.worker] = loss
        for run, evidence in loss.runs.items():
            if evidence is not CrashEvidence.SOUND:
                mark = loss.mark(run, CrashEvidence.UNSETTLED)
                self._found[run] = mark

    def _doubt_starts(self, loss: WorkerLoss) -> None:
        """Hold a loss that is explained against nothing but starts on it.

        A task that crashes its workers may be begun just when a rack goes, or
        where an order was to be given that never came.
        """
        for run in loss.at_start:
            self._found[run] = loss.mark(run, CrashEvidence.UNCERTAIN)

    def _drop(self, loss: WorkerLoss) -> None:
        """Hold a loss against nothing that ran there."""
        for run in loss.runs:
            self._found[run] = loss.mark(run, CrashEvidence.EXPLAINED)

    def _charge(
        self,
        loss: WorkerLoss,
        incarnation: Incarnation,
        runs: Iterable[Run],
    ) -> None:
        """Note what a worker had, and what its crash would prove."""
        described = self._describe_all(incarnation)
        evidence = evidence_of(described)
        for run in described.keys() & set(runs):
            lost = described[run]
            loss.is_provoked |= lost.has_just_begun
            loss.runs[run] = evidence[run]
            if lost.is_at_start:
                loss.at_start.add(run)

    def _describe_all(self, incarnation: Incarnation) -> dict[Run, LostRun]:
        """Return the runs of a worker that may have brought it down.

        What it was never told of can't have; a former leader may have told it.
        """
        listed = {(row.task, row.run) for row in incarnation.running}
        held = self._store.held_by(incarnation.report.worker).items()
        begun = incarnation.told.union(
            run for run in held if not incarnation.surely_lacks(run)
        )
        return {
            run: self._describe(run, incarnation.heard_s, run in listed)
            for run in listed.union(begun.intersection(held))
        }

    def _describe(self, run: Run, heard_s: float, is_listed: bool) -> LostRun:
        key, _ = run
        task = self._store.task_of(key)
        return LostRun(
            key.job_id,
            self._progress.worked_s(run, heard_s),
            is_at_start=not is_listed,
            crashes=task.crash_count if task else 0,
        )

    def _was_ordered(self, incarnation: Incarnation) -> bool:
        """Whether an order for its VM may have ended a worker."""
        report = incarnation.report
        ordered_s = self._order_s(report.worker, report.vm)
        is_of_it = incarnation.first_heard_s <= ordered_s
        return is_of_it and incarnation.heard_s < ordered_s + ORDER_LASTS_S

    def _order_s(self, worker: str, vm: str) -> float:
        """Return when a worker was ordered to end, or its VM without one."""
        return max(
            self._ordered_s.get(worker, _NEVER_S),
            self._ordered_s.get(vm, _NEVER_S),
        )

    def _is_over(self, loss: WorkerLoss) -> bool:
        """Whether another worker joined on the VM of a lost one."""
        joined_s, worker = self._joined.get(loss.vm, (0.0, loss.worker))
        return worker != loss.worker and joined_s > loss.heard_s

    def _most_proved(
        self,
        loss: WorkerLoss,
        fallen: FallenWorkers,
        now_s: float,
    ) -> CrashEvidence:
        """Return what the crash of a worker proves of its runs at the most."""
        joined_s, _ = self._joined[loss.vm]
        if joined_s - loss.heard_s >= LEASE_MS / _MS_PER_S:
            # It may have been cut off, and have ended its runs before.
            return CrashEvidence.UNCERTAIN
        if fallen.has_company(loss) or fallen.domain_of(loss) is not None:
            return CrashEvidence.UNCERTAIN
        if now_s - self._by_itself_s.get(loss.vm, _NEVER_S) < _LATELY_S:
            # What runs there may be as sound as what ran before.
            return CrashEvidence.BESIDE_OTHERS
        return CrashEvidence.ALONE

    def _settle(
        self,
        loss: WorkerLoss,
        fallen: FallenWorkers,
        now_s: float,
    ) -> None:
        """Hold a loss against the runs of a worker, unless it is explained."""
        domain = fallen.domain_of(loss)
        if domain is not None and domain.is_proved:
            self._note(loss, f'{domain.name} went down with it')
            self._drop(loss)
            self._doubt_starts(loss)
            return
        joined_s, _ = self._joined[loss.vm]
        if loss.heard_s < self._order_s(loss.worker, loss.vm) < joined_s:
            self._note(loss, 'its VM was ordered while it was silent')
            self._drop(loss)
            self._doubt_starts(loss)
            return
        most = self._most_proved(loss, fallen, now_s)
        self._crashed_s[loss.vm] = now_s
        if not loss.is_provoked:
            self._by_itself_s[loss.vm] = now_s
        for run, evidence in loss.runs.items():
            self._found[run] = loss.mark(run, min(evidence, most))
        self._note(loss, f'{len(loss.runs)} runs may be the cause')

    def _silent(self, now_s: float) -> Iterator[WorkerLoss]:
        """Yield the workers that are about to be given up."""
        for incarnation in self._workers.incarnations.values():
            if not incarnation.is_silent(now_s) or incarnation.is_ending:
                continue
            if not self._was_ordered(incarnation):
                loss = _loss_of(incarnation, now_s)
                loss.is_provoked = any(
                    lost.has_just_begun
                    for lost in self._describe_all(incarnation).values()
                )
                yield loss

    def _note(self, loss: WorkerLoss, reason: str) -> None:
        self.notes.append(Note(LogEvent.WORKER_CRASHED, loss.worker, reason))


def _loss_of(incarnation: Incarnation, now_s: float) -> WorkerLoss:
    report = incarnation.report
    return WorkerLoss(
        report.worker,
        report.vm_or_address,
        incarnation.heard_s,
        now_s,
        report.service,
        report.zone,
        report.rack,
    )
