"""Reports of workers and the orders that the leader answers them with."""

from __future__ import annotations

import msgspec

from wigeonreach.jobs._model import Run, RunEnd, TaskKey

# Separates a worker's id from its start time; ids can't contain it.
START_SEPARATOR = '#'
# A heartbeat lists at most this many ended runs; the others follow once these
# are acknowledged.
MAX_LISTED_ENDS = 500


def incarnation_name(worker_id: str, born_ms: int | None) -> str:
    """Return the name of one incarnation of a worker.

    A worker may restart under the same id.  It then counts its heartbeats and
    ended runs from the start again and has lost its tasks, so all state of a
    worker and all orders to it are keyed by this name.

    Parameters
    ----------
    worker_id
        Id of the worker.
    born_ms
        Start time in milliseconds since 1970 by the worker's own clock.  That
        clock may step, so a higher value need not be later.  None if the
        worker does not report it; the name is then the id.
    """
    if born_ms is None:
        return worker_id
    return f'{worker_id}{START_SEPARATOR}{born_ms}'


def worker_id_of(incarnation: str) -> str:
    """Return the worker's id, given the name of an incarnation."""
    return incarnation.partition(START_SEPARATOR)[0]


def tells_start(incarnation: str) -> bool:
    """Whether an incarnation reported its start time."""
    return START_SEPARATOR in incarnation


class RunningTask(msgspec.Struct, frozen=True, array_like=True):
    """A run on a worker, as the worker last reported it.

    Attributes
    ----------
    checkpoint
        The newest checkpoint that it saved, or empty.
    percent
        Share of the work that is done; 100 for a serving task that serves.
    load
        A rough measurement over the last half second: for a serving task the
        tail of its response times in milliseconds, otherwise the processors
        in use in thousandths.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    load: int = 0


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that ended.

    ``number`` counts the ended runs of one incarnation of a worker.
    """

    number: int
    task: TaskKey
    run: int
    end: RunEnd
    checkpoint: str = ''


class WorkerReport(msgspec.Struct, frozen=True, array_like=True):
    """State that a worker reports in a heartbeat.

    Attributes
    ----------
    worker
        Name of the worker's incarnation; a restarted worker has another.
    vm
        The VM that the worker runs on, which outlives it; empty if not
        reported.
    sequence
        Increases with each heartbeat of one incarnation.
    drain_left_ms
        Minimum time that a draining worker has left.
    cold_remaining_ms
        How much longer the worker stays slow after its start.
    clock_ms
        The worker's monotonic clock when it sent the heartbeat; None if not
        reported.
    """

    worker: str
    vm: str
    service: str
    address: str
    zone: str
    sequence: int
    is_draining: bool = False
    drain_left_ms: int = 0
    cold_remaining_ms: int = 0
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    labels: tuple[str, ...] = ()
    rack: str = ''
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    clock_ms: int | None = None

    @property
    def vm_or_address(self) -> str:
        """The worker's VM, or its address if no VM is reported.

        Both outlive the worker.
        """
        return self.vm or self.address

    def listed_runs(self) -> set[Run]:
        """Return the runs that are listed as running or as ended."""
        listed = {(row.task, row.run) for row in self.running}
        listed.update((ended.task, ended.run) for ended in self.ended)
        return listed


class StartOrder(msgspec.Struct, frozen=True, array_like=True):
    """Start a run, from a checkpoint if there is one."""

    task: TaskKey
    run: int
    payload: str
    checkpoint: str = ''
    ticket: str = ''


class StopOrder(msgspec.Struct, frozen=True, array_like=True):
    """Stop a run, saving a checkpoint first if the task supports it."""

    task: TaskKey
    run: int


class PaceOrder(msgspec.Struct, frozen=True, array_like=True):
    """Throttle a run to a percentage of its full speed."""

    task: TaskKey
    run: int
    percent: int


class WorkerOrders(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a heartbeat.

    Attributes
    ----------
    lease_ms
        How long all runs of the worker may continue, counted from when the
        heartbeat was sent; 0 extends no lease and starts nothing; ends are still
        acknowledged and runs stopped, if ``fence`` is set.
    fence
        Fencing token; the worker ignores orders with a lower one from now on.
    acknowledged
        Ended runs up to this number are durably recorded.
    next_after_ms
        Delay until the next heartbeat.
    next_core
        Address of the core process for the next heartbeat; empty to keep the
        current one.
    """

    lease_ms: int = 0
    fence: int = 0
    acknowledged: int = 0
    next_after_ms: int = 0
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[StopOrder, ...] = ()
    paces: tuple[PaceOrder, ...] = ()
    next_core: str = ''

    def towards(self, core: str) -> WorkerOrders:
        """Return the same orders, directing the next heartbeat to ``core``."""
        return msgspec.structs.replace(self, next_core=core)
