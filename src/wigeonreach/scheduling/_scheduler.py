"""Decide, as the leader of one term, what runs on which worker."""

from __future__ import annotations

import collections
import dataclasses

from wigeonreach.jobs import (
    JobBook,
    RunEnd,
    RunEnded,
    RunStarted,
    TaskKey,
    TaskPhase,
)
from wigeonreach.observe import LogEvent
from wigeonreach.scheduling._advice import AdviceBook
from wigeonreach.scheduling._health import WorkerHealth
from wigeonreach.scheduling._maintenance import Maintenance
from wigeonreach.scheduling._moving_out import movable_now
from wigeonreach.scheduling._notes import Note
from wigeonreach.scheduling._orders import Tickets, not_begun, orders_for
from wigeonreach.scheduling._pacing import Pacing
from wigeonreach.scheduling._placing import Plan
from wigeonreach.scheduling._pools import Move, PoolPlanner
from wigeonreach.scheduling._preempting import Run, victims_for
from wigeonreach.scheduling._progress import ProgressWatch
from wigeonreach.scheduling._ready import ReadyStep, ReadySteps
from wigeonreach.scheduling._room_book import WorkerRoom, room_left
from wigeonreach.scheduling._workers import WorkerLife, Workers
from wigeonreach.wire._worker_messages import WorkerOrders, WorkerReport

# Where a platform does not tell: a VM that only changes its pool is not
# rebooted.
_MOVE_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """What a heartbeat brought.

    ``ends`` have to be recorded before they are acknowledged.  ``still`` are
    runs without progress, which are being stopped.
    """

    life: WorkerLife
    ends: tuple[RunEnded, ...]
    still: tuple[Run, ...] = ()


class Scheduler:
    """What the leader of a term knows beside the replicated state.

    Parameters
    ----------
    book
        The replicated state; it is only read.
    term
        Of this leader.
    now_s
        When the term began, on a clock that also counts suspended time.
    move_s
        How long a VM is away while it moves to another pool.

    Attributes
    ----------
    notes
        Changes of belief that nobody logged yet.
    """

    def __init__(
        self,
        book: JobBook,
        term: int,
        now_s: float,
        move_s: float = _MOVE_S,
    ) -> None:
        """Know no worker yet."""
        self.term = term
        self.workers = Workers(now_s)
        self.pacing = Pacing()
        self.health = WorkerHealth()
        self.progress = ProgressWatch()
        self.advice = AdviceBook()
        self.notes: list[Note] = []
        self.maintenance = Maintenance(book, self.workers)
        self.pools = PoolPlanner(book, self.workers, move_s, now_s)
        self.stopping: set[Run] = set()
        self.ready = ReadySteps()
        self._book = book
        book.changed.update(book.jobs)
        self.ready.refresh(book, now_s)

    def hear(
        self,
        report: WorkerReport,
        now_s: float,
    ) -> Heard | None:
        """Take a heartbeat; return None if it counts no more."""
        known = self.workers.lives.get(report.worker)
        was_draining = known is not None and known.report.is_draining
        life = self.workers.hear(report, now_s)
        if life is None:
            return None
        if report.is_draining and not was_draining:
            left = f'has {report.drain_left_ms} ms left'
            self._note(LogEvent.WORKER_DRAINING, life, left)
        paced = self.pacing.note(life, self._book)
        self._note(LogEvent.WORKER_PACED, life, paced)
        ends = (*self._new_ends(life), *self._withdrawn(life))
        for ended in ends:
            self._note_end(ended, now_s)
        still = self._stop_still(life, now_s)
        if report.is_draining:
            self._move_out(life)
        return Heard(life, ends, still)

    def lost(self, now_s: float) -> tuple[RunEnded, ...]:
        """Return the runs of workers that are over, to be given on."""
        ended = self.workers.ended(now_s)
        for gone, why in ended.items():
            self.notes.append(Note(LogEvent.WORKER_ENDED, gone, why))
        over = set(ended)
        for worker in over:
            self.pacing.forget(worker)
            self.health.forget(worker)
            self.progress.forget(worker, self._book.assigned.get(worker, {}))
        self._forget_stopped()
        over.update(
            worker
            for worker in self._book.assigned
            if self.workers.is_over(worker, now_s)
        )
        lost = tuple(
            RunEnded(key, run, worker, RunEnd.LOST, self._saved(key))
            for worker in sorted(over)
            for key, run in self._book.assigned.get(worker, {}).items()
        )
        for run_lost in lost:
            self._stop_gang(run_lost.task)
        return lost

    def plan(self, now_s: float, wall_ms: float) -> tuple[RunStarted, ...]:
        """Return what is to be started now."""
        for service, work_s in self.ready.refresh(self._book, now_s):
            self.pools.note_accepted(service, work_s, now_s)
        steps = self.ready.in_order(now_s, wall_ms)
        if not steps:
            return ()
        rooms = self.rooms(now_s)
        plan = Plan(self._book, rooms, self.advice, now_s)
        plan.place(steps)
        self._make_room(plan.unplaced, rooms)
        return tuple(plan.starts)

    def moves(self, now_s: float) -> list[Move]:
        """Return the VMs that are to go to another pool now."""
        taken = self.maintenance.cordoned
        return self.pools.step(
            self.ready.backlog(),
            self.ready.serving(),
            taken,
            now_s,
        )

    def orders(self, life: WorkerLife, now_s: float) -> WorkerOrders:
        """Return what a worker is to be told."""
        return orders_for(
            life,
            self._book,
            self.pacing,
            self.stopping,
            Tickets(self.advice, now_s),
            self.term,
        )

    def has_batch(self, life: WorkerLife) -> bool:
        """Whether work that ends by itself is on a worker."""
        keys = (
            *self._book.assigned.get(life.report.worker, {}),
            *(row.task for row in life.running),
        )
        return any(not self._book.is_serving(key) for key in keys)

    def _new_ends(self, life: WorkerLife) -> list[RunEnded]:
        listed = {(row.task, row.run) for row in life.running}
        return [
            RunEnded(
                ended.task,
                ended.run,
                life.report.worker,
                ended.end,
                ended.checkpoint,
            )
            for ended in life.report.ended
            if ended.number > life.noted
            # A second order for what runs already is refused.
            and not _is_repeat(ended.end, (ended.task, ended.run), listed)
        ]

    def _withdrawn(self, life: WorkerLife) -> list[RunEnded]:
        """Give on what a worker did not begin and shall not begin."""
        return [
            RunEnded(key, run, life.report.worker, RunEnd.REFUSED)
            for key, run in not_begun(life, self._book)
            if self._is_unwanted(life, key, run)
        ]

    def _is_unwanted(self, life: WorkerLife, key: TaskKey, run: int) -> bool:
        job = self._book.job_of(key)
        is_active = job is not None and job.is_active
        if life.report.is_draining or not is_active:
            return True
        # A worker that waits for a ticket holds room for nothing.
        needs = job is not None and job.queue.advice is not None
        ticket = self.advice.ticket(key, life.report.worker, life.heard_s)
        return (key, run) in self.stopping or (needs and not ticket)

    def _forget_stopped(self) -> None:
        held = {
            run
            for assigned in self._book.assigned.values()
            for run in assigned.items()
        }
        self.stopping &= held

    def _saved(self, key: TaskKey) -> str:
        job = self._book.job_of(key)
        task = job.task(key) if job else None
        return task.checkpoint if task else ''

    def _stop_still(self, life: WorkerLife, now_s: float) -> tuple[Run, ...]:
        """Stop runs without progress, and trust their worker less."""
        worker = life.report.worker
        pace = self.pacing.pace(worker)
        still = [
            run
            for run in self.progress.note(life, self._book, pace, now_s)
            if run not in self.stopping
        ]
        for run in still:
            self.stopping.add(run)
            self._distrust(worker, run[0].job_id, now_s)
        return tuple(still)

    def _move_out(self, life: WorkerLife) -> None:
        """Let serving tasks leave a worker that leaves."""
        runs = movable_now(
            life,
            self.workers.lives,
            self._book,
            self.stopping,
        )
        self.stopping.update(runs)

    def _note_end(self, ended: RunEnded, now_s: float) -> None:
        run = (ended.task, ended.run)
        self.stopping.discard(run)
        if ended.end is RunEnd.DONE:
            self.health.note_done(ended.worker)
            self.progress.note_done(ended.worker, run, self._book, now_s)
        elif ended.end is RunEnd.FAILED:
            self._distrust(ended.worker, ended.task.job_id, now_s)
        self.progress.forget_run(run)
        if ended.end is not RunEnd.DONE:
            self._stop_gang(ended.task)

    def _stop_gang(self, key: TaskKey) -> None:
        """Stop the members of a gang that would wait for one in vain."""
        job = self._book.job_of(key)
        spec = self._book.spec_of(key)
        if job is None or spec is None or not spec.is_gang:
            return
        for index, member in enumerate(job.step_tasks(key)):
            if index != key.index and member.phase is TaskPhase.ASSIGNED:
                other = TaskKey(key.job_id, key.occurrence, key.step, index)
                self.stopping.add((other, member.run))

    def _distrust(self, worker: str, job_id: str, now_s: float) -> None:
        if self.health.note_failed(worker, job_id, now_s):
            reason = 'failed or held up runs of several jobs in a row'
            self.notes.append(Note(LogEvent.WORKER_RESTS, worker, reason))

    def _note(self, event: LogEvent, life: WorkerLife, reason: str) -> None:
        if reason:
            self.notes.append(Note(event, life.report.worker, reason))

    def rooms(self, now_s: float) -> dict[str, list[WorkerRoom]]:
        """Return what each worker that may take something has left."""
        by_service: dict[str, list[WorkerLife]] = collections.defaultdict(list)
        cordoned = self.maintenance.cordoned | self.pools.cordoned
        for life in self.workers.lives.values():
            if life.may_take(now_s) and life.report.vm not in cordoned:
                by_service[life.report.service].append(life)
        rooms: dict[str, list[WorkerRoom]] = {}
        for service, lives in by_service.items():
            names = [life.report.worker for life in lives]
            resting = self.health.resting(names, now_s)
            rooms[service] = [
                room_left(life, self._book, self.stopping)
                for life in lives
                if life.report.worker not in resting
            ]
            slow = self.progress.slow(names)
            for room in rooms[service]:
                worker = room.life.report.worker
                room.is_slow = worker in slow or self.pacing.is_paced(worker)
        return rooms

    def _make_room(
        self,
        unplaced: list[ReadyStep],
        rooms: dict[str, list[WorkerRoom]],
    ) -> None:
        for step in unplaced:
            if not step.spec.is_service:
                continue
            service = self._book.service_of(step.job)
            found = victims_for(
                step,
                rooms.get(service, []),
                self._book,
                self.stopping,
            )
            if found is not None:
                room, runs = found
                self.stopping.update(runs)
                rooms[service].remove(room)


def _is_repeat(
    end: RunEnd,
    run: Run,
    listed: set[Run],
) -> bool:
    return end is RunEnd.REFUSED and run in listed
