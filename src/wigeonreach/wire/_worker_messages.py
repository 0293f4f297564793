"""Messages between workers and whoever decides for them."""

from __future__ import annotations

import msgspec

from wigeonreach.jobs._model import RunEnd, TaskKey

# Between a worker's id and its start; no id holds it.
START_MARK = '#'


def incarnation_name(worker_id: str, born_ms: int | None) -> str:
    """Return the name of one incarnation of a worker.

    A worker may start again under its id, and then counts its heartbeats and
    ends anew and has nothing of before: all that is known of it, or is told to
    it, goes by this name.

    Parameters
    ----------
    worker_id
        Of the worker.
    born_ms
        When it started, since 1970 by its own clock, which may step: a higher
        one need not be later.  None if it does not say; its id is its name then.
    """
    if born_ms is None:
        return worker_id
    return f'{worker_id}{START_MARK}{born_ms}'


def worker_id_of(incarnation: str) -> str:
    """Return the id of an incarnation's worker."""
    return incarnation.partition(START_MARK)[0]


def tells_start(incarnation: str) -> bool:
    """Whether an incarnation said when it started."""
    return START_MARK in incarnation


class RunningTask(msgspec.Struct, frozen=True, array_like=True):
    """A run on a worker, as the worker last saw it.

    Attributes
    ----------
    checkpoint
        The newest progress that it saved, or nothing.
    percent
        How much of the work is done; of a serving task, 100 once it serves.
    load
        A rough figure of the last half second: for a serving task the tail
        of its response times in milliseconds, else the processors in use in
        thousandths.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    load: int = 0


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that ended; ``number`` counts the ends of one worker's incarnation."""

    number: int
    task: TaskKey
    run: int
    end: RunEnd
    checkpoint: str = ''


class WorkerReport(msgspec.Struct, frozen=True, array_like=True):
    """What a worker says of itself in a heartbeat.

    Attributes
    ----------
    worker
        Name of one incarnation of a worker; a restart has another.
    vm
        The VM under it, which outlives it; nothing if it isn't told.
    sequence
        Grows with each heartbeat of one incarnation.
    drain_left_ms
        Least time that a draining worker still has.
    cold_ms
        How much longer it stays slow after its start.
    clock_ms
        What its steady clock said when it sent this; None if it doesn't tell.
    """

    worker: str
    vm: str
    service: str
    address: str
    zone: str
    sequence: int
    is_draining: bool = False
    drain_left_ms: int = 0
    cold_ms: int = 0
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
        """What outlives the worker: its VM, or its address where none is told."""
        return self.vm or self.address


class StartOrder(msgspec.Struct, frozen=True, array_like=True):
    """Begin a run, from a checkpoint if there is one."""

    task: TaskKey
    run: int
    payload: str
    checkpoint: str = ''
    ticket: str = ''


class StopOrder(msgspec.Struct, frozen=True, array_like=True):
    """End a run, after saving its progress where it can."""

    task: TaskKey
    run: int


class PaceOrder(msgspec.Struct, frozen=True, array_like=True):
    """Let a run work at a share of its speed."""

    task: TaskKey
    run: int
    percent: int


class WorkerOrders(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a heartbeat.

    Attributes
    ----------
    lease_ms
        How long all that runs may go on, from when the heartbeat was sent;
        0 extends no lease and starts nothing.
    fence
        The worker obeys no lower one any more.
    acknowledged
        Ends up to this number are noted for good.
    next_after_ms
        When the next heartbeat is wanted.
    next_core
        Who should get it, or nothing.
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
        """Return the same orders, with who should get the next heartbeat."""
        return msgspec.structs.replace(self, next_core=core)
